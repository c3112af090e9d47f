#include "Core/Control/change_acceptance.h"

#include <utility>

namespace daisyroad {

ChangeAcceptance::ChangeAcceptance(ChangeProposal proposal)
    : requested(std::move(proposal)) {}

std::vector<ChangeAction> ChangeAcceptance::Start(
    const ControlDocument& current,
    const PeerContacts& contacts,
    MonotonicTime now) {
  if (!IsReappliedOnConflict(this->requested.change) &&
      current.version() != this->requested.base_version) {
    return this->FinishWithConflict(current.Head());
  }
  return this->Prepare(current, contacts, now);
}

std::vector<ChangeAction> ChangeAcceptance::Prepare(
    const ControlDocument& current,
    const PeerContacts& contacts,
    MonotonicTime now) {
  Result<ControlDocument> result =
      ApplyChange(current, this->requested.change, this->requested.id);
  if (!result) {
    return this->FinishWithError(result.error());
  }
  this->base = current;
  this->next = std::move(result).value();
  this->step = Step::kWaiting;
  return this->WriteIfReady(contacts, now);
}

std::vector<ChangeAction> ChangeAcceptance::OnTick(const PeerContacts& contacts,
                                                   MonotonicTime now) {
  if (this->step == Step::kWaiting) {
    return this->WriteIfReady(contacts, now);
  }
  if (this->step != Step::kWritten && this->step != Step::kAccepted) {
    return {};
  }
  std::vector<ChangeAction> actions;
  this->CheckAcceptance(contacts, now, actions);
  return actions;
}

std::vector<ChangeAction> ChangeAcceptance::WriteIfReady(
    const PeerContacts& contacts,
    MonotonicTime now) {
  const Roster& roster = this->base.roster();
  const std::set<ZoneName> indeterminate =
      contacts.IndeterminateZones(roster.members, now);
  if (!indeterminate.empty()) {
    std::set<EntryName> members;
    for (const std::pair<const EntryName, RosterMember>& entry :
         roster.members) {
      if (indeterminate.count(entry.second.zone) != 0) {
        members.insert(entry.first);
      }
    }
    return this->AskIfDue(members, now);
  }
  if (ChangesRoster(this->requested.change) &&
      !ExcludesOutage(roster,
                      contacts.MembersInformedOf(this->base.version()))) {
    return this->AskIfDue(
        contacts.MembersBehind(roster.members, this->base.version()), now);
  }
  return this->Write();
}

std::vector<ChangeAction> ChangeAcceptance::AskIfDue(
    const std::set<EntryName>& members,
    MonotonicTime now) {
  constexpr Milliseconds kInterval{250};
  if (members.empty() ||
      (this->last_request_at && now - *this->last_request_at < kInterval)) {
    return {};
  }
  this->last_request_at = now;
  return {AskMembers{members}};
}

std::vector<ChangeAction> ChangeAcceptance::Write() {
  this->step = Step::kWriting;
  return {WriteVersion{this->base.version(), this->next.Head(),
                       this->next.Parts()}};
}

std::vector<ChangeAction> ChangeAcceptance::OnWriteAnswered(
    WriteAnswer answer,
    const PeerContacts& contacts,
    MonotonicTime now) {
  if (this->step != Step::kWriting) {
    return {};
  }
  if (answer == WriteAnswer::kWritten) {
    return this->HandleWritten(this->next.version(), contacts, now);
  }
  // A conflict needs the read as well: an earlier attempt to write this change
  // may have succeeded.
  this->step = Step::kReadingBack;
  return {ReadHeadBack{}};
}

std::vector<ChangeAction> ChangeAcceptance::OnHeadRead(
    const ControlHead& head,
    const PeerContacts& contacts,
    MonotonicTime now) {
  if (this->step != Step::kReadingBack) {
    return {};
  }
  for (const RecordedChange& change : head.recent) {
    if (change.id == this->requested.id) {
      return this->HandleWritten(change.version, contacts, now);
    }
  }
  if (head.version < this->base.version()) {
    return {ReadHeadBack{}};
  }
  if (head.version == this->base.version()) {
    // Not written yet. If the earlier attempt still takes effect, this one
    // ends in a conflict.
    return this->Write();
  }
  if (head.version - this->base.version() > ControlHead::kRecentChanges) {
    return this->FinishWithError(
        Error{Errc::kTimeout, "control.read_back", "",
              "the answer to the write was lost and too many changes followed, "
              "so it is not known whether the change was written"});
  }
  if (!IsReappliedOnConflict(this->requested.change)) {
    return this->FinishWithConflict(head);
  }
  this->step = Step::kCatchingUp;
  this->catch_up_version = head.version;
  return {CatchUp{head.version}};
}

std::vector<ChangeAction> ChangeAcceptance::OnDocument(
    const ControlDocument& document,
    const PeerContacts& contacts,
    MonotonicTime now) {
  if (this->step != Step::kCatchingUp ||
      document.version() < this->catch_up_version) {
    return {};
  }
  return this->Prepare(document, contacts, now);
}

std::vector<ChangeAction> ChangeAcceptance::HandleWritten(
    std::uint64_t version,
    const PeerContacts& contacts,
    MonotonicTime now) {
  this->step = Step::kWritten;
  this->written_version = version;
  std::vector<ChangeAction> actions{TellWritten{version}};
  this->CheckAcceptance(contacts, now, actions);
  return actions;
}

void ChangeAcceptance::CheckAcceptance(const PeerContacts& contacts,
                                       MonotonicTime now,
                                       std::vector<ChangeAction>& actions) {
  const Roster& roster = this->next.roster();
  if (this->step == Step::kWritten &&
      ExcludesOutage(roster,
                     contacts.MembersInformedOf(this->written_version))) {
    this->step = Step::kAccepted;
    actions.push_back(TellAccepted{this->written_version});
  }
  if (this->step == Step::kAccepted) {
    this->CheckZones(contacts, now, actions);
  }
  if (this->step != Step::kFinished) {
    const std::vector<ChangeAction> ask = this->AskIfDue(
        contacts.MembersBehind(roster.members, this->written_version), now);
    actions.insert(actions.end(), ask.begin(), ask.end());
  }
}

void ChangeAcceptance::CheckZones(const PeerContacts& contacts,
                                  MonotonicTime now,
                                  std::vector<ChangeAction>& actions) {
  const Roster& roster = this->next.roster();
  std::set<ZoneName> zones;
  for (const std::pair<const EntryName, RosterMember>& member :
       roster.members) {
    zones.insert(member.second.zone);
  }
  for (const ZoneName& zone : zones) {
    if (this->zones_in_force.count(zone) == 0 &&
        contacts.IsInForce(roster.members, zone, this->written_version, now)) {
      this->zones_in_force.insert(zone);
      actions.push_back(TellInForce{zone, this->written_version});
    }
  }
  if (this->zones_in_force == zones) {
    this->step = Step::kFinished;
  }
}

std::vector<ChangeAction> ChangeAcceptance::FinishWithConflict(
    const ControlHead& head) {
  this->step = Step::kFinished;
  const ChangeId winning_change =
      head.recent.empty() ? ChangeId() : head.recent.back().id;
  return {TellConflict{head.version, winning_change}};
}

std::vector<ChangeAction> ChangeAcceptance::FinishWithError(Error error) {
  this->step = Step::kFinished;
  return {TellRefused{std::move(error)}};
}

}  // namespace daisyroad

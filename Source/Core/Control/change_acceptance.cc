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
    return this->Lose(current.Head());
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
    return this->Refuse(result.error());
  }
  this->base = current;
  this->next = std::move(result).value();
  this->step = Step::kWaiting;
  return this->WriteIfSettled(contacts, now);
}

std::vector<ChangeAction> ChangeAcceptance::OnTick(const PeerContacts& contacts,
                                                   MonotonicTime now) {
  if (this->step == Step::kWaiting) {
    return this->WriteIfSettled(contacts, now);
  }
  if (this->step != Step::kWritten && this->step != Step::kAccepted) {
    return {};
  }
  std::vector<ChangeAction> actions;
  this->Acknowledge(contacts, now, actions);
  return actions;
}

std::vector<ChangeAction> ChangeAcceptance::WriteIfSettled(
    const PeerContacts& contacts,
    MonotonicTime now) {
  const Roster& roster = this->base.roster();
  const std::set<ZoneName> unsettled =
      contacts.UnsettledZones(roster.members, now);
  if (!unsettled.empty()) {
    std::set<EntryName> members;
    for (const std::pair<const EntryName, RosterMember>& entry :
         roster.members) {
      if (unsettled.count(entry.second.zone) != 0) {
        members.insert(entry.first);
      }
    }
    return this->Ask(members, now);
  }
  if (ChangesRoster(this->requested.change) &&
      !ExcludesOutage(roster, contacts.InformedOf(this->base.version()))) {
    return this->Ask(contacts.Behind(roster.members, this->base.version()),
                     now);
  }
  return this->Write();
}

std::vector<ChangeAction> ChangeAcceptance::Ask(
    const std::set<EntryName>& members,
    MonotonicTime now) {
  constexpr Milliseconds kInterval{250};
  if (members.empty() ||
      (this->asked_at && now - *this->asked_at < kInterval)) {
    return {};
  }
  this->asked_at = now;
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
    return this->Written(this->next.version(), contacts, now);
  }
  // After a conflict too: an earlier attempt of this change may have won.
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
      return this->Written(change.version, contacts, now);
    }
  }
  if (head.version < this->base.version()) {
    return {ReadHeadBack{}};
  }
  if (head.version == this->base.version()) {
    // Not written yet; an attempt still under way makes this one conflict.
    return this->Write();
  }
  if (head.version - this->base.version() > ControlHead::kRecentChanges) {
    return this->Refuse(
        Error{Errc::kTimeout, "control.read_back", "",
              "the answer to the write was lost and too many changes followed; "
              "whether it was written is not known"});
  }
  if (!IsReappliedOnConflict(this->requested.change)) {
    return this->Lose(head);
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

std::vector<ChangeAction> ChangeAcceptance::Written(
    std::uint64_t version,
    const PeerContacts& contacts,
    MonotonicTime now) {
  this->step = Step::kWritten;
  this->written_version = version;
  std::vector<ChangeAction> actions{TellWritten{version}};
  this->Acknowledge(contacts, now, actions);
  return actions;
}

void ChangeAcceptance::Acknowledge(const PeerContacts& contacts,
                                   MonotonicTime now,
                                   std::vector<ChangeAction>& actions) {
  const Roster& roster = this->next.roster();
  if (this->step == Step::kWritten &&
      ExcludesOutage(roster, contacts.InformedOf(this->written_version))) {
    this->step = Step::kAccepted;
    actions.push_back(TellAccepted{this->written_version});
  }
  if (this->step == Step::kAccepted) {
    this->AcknowledgeZones(contacts, now, actions);
  }
  if (this->step != Step::kFinished) {
    const std::vector<ChangeAction> ask =
        this->Ask(contacts.Behind(roster.members, this->written_version), now);
    actions.insert(actions.end(), ask.begin(), ask.end());
  }
}

void ChangeAcceptance::AcknowledgeZones(const PeerContacts& contacts,
                                        MonotonicTime now,
                                        std::vector<ChangeAction>& actions) {
  const Roster& roster = this->next.roster();
  std::set<ZoneName> zones;
  for (const std::pair<const EntryName, RosterMember>& member :
       roster.members) {
    zones.insert(member.second.zone);
  }
  for (const ZoneName& zone : zones) {
    if (this->acknowledged.count(zone) == 0 &&
        contacts.InForce(roster.members, zone, this->written_version, now)) {
      this->acknowledged.insert(zone);
      actions.push_back(TellInForce{zone, this->written_version});
    }
  }
  if (this->acknowledged == zones) {
    this->step = Step::kFinished;
  }
}

std::vector<ChangeAction> ChangeAcceptance::Lose(const ControlHead& head) {
  this->step = Step::kFinished;
  const ChangeId winner =
      head.recent.empty() ? ChangeId() : head.recent.back().id;
  return {TellConflict{head.version, winner}};
}

std::vector<ChangeAction> ChangeAcceptance::Refuse(Error error) {
  this->step = Step::kFinished;
  return {TellRefused{std::move(error)}};
}

}  // namespace daisyroad

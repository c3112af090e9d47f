// Roster membership: joining, leaving and removing unresponsive instances.

#include "Core/Entry/control_service.h"

#include <algorithm>
#include <utility>

#include "Core/Common/logging.h"
#include "Core/Control/control_document.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/peer_service.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kRosterRetryDelay{1000};
// A member that has not been live for this long is removed from the roster. By
// then it has been silent for about 5 s (design 3.8).
constexpr Milliseconds kSilentMemberTimeout{3500};

}  // namespace

void ControlService::JoinRoster() {
  const RosterMembers& members = this->document().roster().members;
  if (this->is_joining || this->is_leaving ||
      members.count(this->context->self) != 0 ||
      this->Assess().state != AuthorityState::kConfirmed) {
    return;
  }
  this->is_joining = true;
  this->Submit(RosterJoin{RosterMember{this->context->self, this->context->zone,
                                       this->context->settings.peers_address}},
               this->document().version(), this->context->self.str(),
               [this](const Result<ChangeOutcome>& result) {
                 if (!result.ok()) {
                   CLOG(WARNING, kControlLog) << result.error().ToString();
                 }
                 this->context->loop->After(
                     kRosterRetryDelay, [this]() { this->is_joining = false; });
               });
}

void ControlService::Leave(std::function<void()> callback) {
  this->is_leaving = true;
  if (this->document().roster().members.count(this->context->self) == 0) {
    callback();
    return;
  }
  this->Submit(RosterLeave{this->context->self}, this->document().version(),
               this->context->self.str(),
               [callback = std::move(callback)](const Result<ChangeOutcome>&) {
                 callback();
               });
}

void ControlService::RemoveUnresponsiveMembers() {
  const MonotonicTime now = Now();
  const std::vector<EntryName> live = this->peers->LiveNames();
  const bool is_elected =
      *std::min_element(live.begin(), live.end()) == this->context->self;
  for (const std::pair<const EntryName, RosterMember>& member :
       this->document().roster().members) {
    const EntryName& name = member.first;
    if (std::find(live.begin(), live.end(), name) != live.end()) {
      this->silent_since.erase(name);
      continue;
    }
    const std::string& address = member.second.address;
    const auto peer = this->peers->known().find(address);
    // An address serves one process at a time, so another incarnation that
    // answers there proves that this one has ended.
    const bool is_replaced =
        address == this->context->settings.peers_address ||
        (peer != this->peers->known().end() && peer->second.name != name);
    if (is_replaced && this->ended_instances.insert(name).second) {
      this->contacts.OnEnded(name);
    }
    const MonotonicTime since =
        this->silent_since.try_emplace(name, now).first->second;
    // A silent member without such proof may only be partitioned. Its claim
    // logs are sealed, but it keeps its allotments, see LimitService.
    if (is_elected && (is_replaced || now - since > kSilentMemberTimeout)) {
      this->RemoveMember(name);
    }
  }
}

void ControlService::RemoveMember(const EntryName& name) {
  if (this->Assess().state != AuthorityState::kConfirmed ||
      !this->members_being_removed.insert(name).second) {
    return;
  }
  this->Submit(RosterLeave{name}, this->document().version(),
               this->context->self.str(),
               [this, name](const Result<ChangeOutcome>&) {
                 this->context->loop->After(kRosterRetryDelay, [this, name]() {
                   this->members_being_removed.erase(name);
                 });
               });
}

}  // namespace daisyroad

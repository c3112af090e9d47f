// The roster: joining, leaving and the removal of ended instances.

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

constexpr Milliseconds kRejoinPause{1000};
// A member leaves the roster when it has been suspected for this long; by then
// it has been silent for about 5 s (design 3.8).
constexpr Milliseconds kSilentMember{3500};

}  // namespace

void ControlService::JoinRoster() {
  const RosterMembers& members = this->document().roster().members;
  if (this->joining || this->leaving ||
      members.count(this->context->self) != 0 ||
      this->Assess().state != AuthorityState::kConfirmed) {
    return;
  }
  this->joining = true;
  this->Submit(RosterJoin{RosterMember{this->context->self, this->context->zone,
                                       this->context->settings.peers_address}},
               this->document().version(), this->context->self.str(),
               [this](const Result<ChangeOutcome>& result) {
                 if (!result.ok()) {
                   CLOG(WARNING, kControlLog) << result.error().ToString();
                 }
                 this->context->loop->After(
                     kRejoinPause, [this]() { this->joining = false; });
               });
}

void ControlService::Leave(std::function<void()> callback) {
  this->leaving = true;
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

void ControlService::ReapMembers() {
  const MonotonicTime now = Now();
  const std::vector<EntryName> live = this->peers->LiveNames();
  const bool elected =
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
    // An address serves one process at a time: another incarnation that
    // answers there proves that this one has ended.
    const bool replaced =
        address == this->context->settings.peers_address ||
        (peer != this->peers->known().end() && peer->second.name != name);
    if (replaced && this->ended.insert(name).second) {
      this->contacts.OnEnded(name);
    }
    const MonotonicTime since =
        this->silent_since.try_emplace(name, now).first->second;
    // A silent member without such a proof may be cut off: its claim logs are
    // sealed, but its allotments stay its own, see LimitService.
    if (elected && (replaced || now - since > kSilentMember)) {
      this->RemoveMember(name);
    }
  }
}

void ControlService::RemoveMember(const EntryName& name) {
  if (this->Assess().state != AuthorityState::kConfirmed ||
      !this->removing.insert(name).second) {
    return;
  }
  this->Submit(
      RosterLeave{name}, this->document().version(), this->context->self.str(),
      [this, name](const Result<ChangeOutcome>&) {
        this->context->loop->After(
            kRejoinPause, [this, name]() { this->removing.erase(name); });
      });
}

}  // namespace daisyroad

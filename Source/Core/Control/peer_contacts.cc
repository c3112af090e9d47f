#include "Core/Control/peer_contacts.h"

#include <algorithm>
#include <utility>

#include "Core/Control/authority_tracker.h"

namespace daisyroad {
namespace {

// A zone is in contact if it has replied within this time.
constexpr Milliseconds kContactWindow{1000};
// A zone that has not replied for this time is not waited for.
constexpr Milliseconds kSilencePeriod = kFreshness + Milliseconds(1000);

}  // namespace

PeerContacts::PeerContacts(EntryName self, ZoneName zone, MonotonicTime start)
    : own_name(std::move(self)), own_zone(std::move(zone)), started(start) {}

void PeerContacts::OnPeerReply(const PeerReport& report,
                               MonotonicTime request_sent) {
  Contact& contact = this->contacts[report.name];
  contact.version = std::max(contact.version, report.version);
  contact.known_version = std::max(
      contact.known_version, std::max(report.version, report.known_version));
  contact.last_reply = std::max(contact.last_reply, request_sent);
  MonotonicTime& zone = this->zone_last_reply[report.zone];
  zone = std::max(zone, request_sent);
}

void PeerContacts::OnEnded(const EntryName& name) {
  this->ended_members.insert(name);
  this->contacts.erase(name);
}

std::set<EntryName> PeerContacts::MembersInformedOf(
    std::uint64_t version) const {
  std::set<EntryName> informed = this->ended_members;
  informed.insert(this->own_name);
  for (const std::pair<const EntryName, Contact>& entry : this->contacts) {
    if (entry.second.known_version >= version) {
      informed.insert(entry.first);
    }
  }
  return informed;
}

bool PeerContacts::IsInForce(const RosterMembers& members,
                             const ZoneName& zone,
                             std::uint64_t version,
                             MonotonicTime now) const {
  bool has_current_member = false;
  for (const std::pair<const EntryName, RosterMember>& entry : members) {
    if (entry.second.zone != zone) {
      continue;
    }
    if (entry.first == this->own_name) {
      if (this->own_version < version) {
        return false;
      }
      has_current_member = true;
      continue;
    }
    const auto contact = this->contacts.find(entry.first);
    if (contact == this->contacts.end() ||
        now - contact->second.last_reply > kFreshness) {
      continue;
    }
    if (contact->second.version < version) {
      return false;
    }
    has_current_member = true;
  }
  return has_current_member;
}

std::set<ZoneName> PeerContacts::IndeterminateZones(
    const RosterMembers& members,
    MonotonicTime now) const {
  std::set<ZoneName> indeterminate;
  for (const std::pair<const EntryName, RosterMember>& entry : members) {
    const ZoneName& zone = entry.second.zone;
    if (zone == this->own_zone) {
      continue;
    }
    const auto found = this->zone_last_reply.find(zone);
    const bool has_replied = found != this->zone_last_reply.end();
    const Duration age = now - (has_replied ? found->second : this->started);
    if (age < kSilencePeriod && (!has_replied || age > kContactWindow)) {
      indeterminate.insert(zone);
    }
  }
  return indeterminate;
}

std::set<EntryName> PeerContacts::MembersBehind(const RosterMembers& members,
                                                std::uint64_t version) const {
  std::set<EntryName> behind;
  for (const std::pair<const EntryName, RosterMember>& entry : members) {
    const auto contact = this->contacts.find(entry.first);
    const bool has_version =
        contact != this->contacts.end() && contact->second.version >= version;
    if (!has_version && entry.first != this->own_name &&
        this->ended_members.count(entry.first) == 0) {
      behind.insert(entry.first);
    }
  }
  return behind;
}

}  // namespace daisyroad

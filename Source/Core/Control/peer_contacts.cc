#include "Core/Control/peer_contacts.h"

#include <algorithm>
#include <utility>

#include "Core/Control/authority_tracker.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kContact{1000};
constexpr Milliseconds kSilence = kFreshness + Milliseconds(1000);

}  // namespace

PeerContacts::PeerContacts(EntryName self, ZoneName zone, MonotonicTime start)
    : own_name(std::move(self)), own_zone(std::move(zone)), started(start) {}

void PeerContacts::OnPeerReply(const PeerReport& report,
                               MonotonicTime request_sent) {
  Contact& contact = this->contacts[report.name];
  contact.version = std::max(contact.version, report.version);
  contact.known_version = std::max(
      contact.known_version, std::max(report.version, report.known_version));
  contact.at = std::max(contact.at, request_sent);
  MonotonicTime& zone = this->zones[report.zone];
  zone = std::max(zone, request_sent);
}

void PeerContacts::OnEnded(const EntryName& name) {
  this->ended.insert(name);
  this->contacts.erase(name);
}

std::set<EntryName> PeerContacts::InformedOf(std::uint64_t version) const {
  std::set<EntryName> informed = this->ended;
  informed.insert(this->own_name);
  for (const std::pair<const EntryName, Contact>& entry : this->contacts) {
    if (entry.second.known_version >= version) {
      informed.insert(entry.first);
    }
  }
  return informed;
}

bool PeerContacts::InForce(const RosterMembers& members,
                           const ZoneName& zone,
                           std::uint64_t version,
                           MonotonicTime now) const {
  bool any = false;
  for (const std::pair<const EntryName, RosterMember>& entry : members) {
    if (entry.second.zone != zone) {
      continue;
    }
    if (entry.first == this->own_name) {
      if (this->own_version < version) {
        return false;
      }
      any = true;
      continue;
    }
    const auto contact = this->contacts.find(entry.first);
    if (contact == this->contacts.end() ||
        now - contact->second.at > kFreshness) {
      continue;
    }
    if (contact->second.version < version) {
      return false;
    }
    any = true;
  }
  return any;
}

std::set<ZoneName> PeerContacts::UnsettledZones(const RosterMembers& members,
                                                MonotonicTime now) const {
  std::set<ZoneName> unsettled;
  for (const std::pair<const EntryName, RosterMember>& entry : members) {
    const ZoneName& zone = entry.second.zone;
    if (zone == this->own_zone) {
      continue;
    }
    const auto found = this->zones.find(zone);
    const bool heard = found != this->zones.end();
    const Duration age = now - (heard ? found->second : this->started);
    if (age < kSilence && (!heard || age > kContact)) {
      unsettled.insert(zone);
    }
  }
  return unsettled;
}

std::set<EntryName> PeerContacts::Behind(const RosterMembers& members,
                                         std::uint64_t version) const {
  std::set<EntryName> behind;
  for (const std::pair<const EntryName, RosterMember>& entry : members) {
    const auto contact = this->contacts.find(entry.first);
    const bool has =
        contact != this->contacts.end() && contact->second.version >= version;
    if (!has && entry.first != this->own_name &&
        this->ended.count(entry.first) == 0) {
      behind.insert(entry.first);
    }
  }
  return behind;
}

}  // namespace daisyroad

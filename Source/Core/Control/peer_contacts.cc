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

bool PeerContacts::EveryZoneSettled(const RosterMembers& members,
                                    MonotonicTime now) const {
  std::set<ZoneName> others;
  for (const std::pair<const EntryName, RosterMember>& entry : members) {
    if (entry.second.zone != this->own_zone) {
      others.insert(entry.second.zone);
    }
  }
  return std::all_of(
      others.begin(), others.end(), [this, now](const ZoneName& zone) {
        const auto found = this->zones.find(zone);
        const bool heard = found != this->zones.end();
        const Duration age = now - (heard ? found->second : this->started);
        return (heard && age <= kContact) || age >= kSilence;
      });
}

}  // namespace daisyroad

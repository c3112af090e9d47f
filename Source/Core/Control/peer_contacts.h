#ifndef SOURCE_CORE_CONTROL_PEER_CONTACTS_H_
#define SOURCE_CORE_CONTROL_PEER_CONTACTS_H_

#include <cstdint>
#include <map>
#include <set>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Control/peer_report.h"
#include "Core/Control/roster.h"

namespace daisyroad {

// What roster members have said of their version, and when.
class PeerContacts {
 public:
  PeerContacts(EntryName self, ZoneName zone, MonotonicTime start);

  void OnPeerReply(const PeerReport& report, MonotonicTime request_sent);
  void OnOwnVersion(std::uint64_t version) { this->own_version = version; }
  // The instance is known to have ended, for example because the instance list
  // no longer names it. It can support no outage and is not waited for. Calling
  // this for an instance that still runs breaks the freshness bound.
  void OnEnded(const EntryName& name);

  // Members that know `version` or have ended, and this instance.
  std::set<EntryName> InformedOf(std::uint64_t version) const;
  // Every member of the zone that has replied within kFreshness, and this
  // instance, has `version` or a later one in force, and at least one has.
  bool InForce(const RosterMembers& members,
               const ZoneName& zone,
               std::uint64_t version,
               MonotonicTime now) const;
  // The condition before a write: every zone of `members` but the own one has
  // replied within the last second or been silent for kFreshness + 1 s.
  // Returns the zones that are neither.
  std::set<ZoneName> UnsettledZones(const RosterMembers& members,
                                    MonotonicTime now) const;
  // Members that are not known to have the version in force.
  std::set<EntryName> Behind(const RosterMembers& members,
                             std::uint64_t version) const;

  const EntryName& self() const { return this->own_name; }
  const ZoneName& zone() const { return this->own_zone; }

 private:
  struct Contact {
    std::uint64_t version = 0;
    std::uint64_t known_version = 0;
    MonotonicTime at;
  };

  EntryName own_name;
  ZoneName own_zone;
  MonotonicTime started;
  std::uint64_t own_version = 0;
  std::map<EntryName, Contact> contacts;
  std::map<ZoneName, MonotonicTime> zones;
  std::set<EntryName> ended;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_PEER_CONTACTS_H_

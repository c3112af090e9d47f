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

// The latest versions that other roster members have reported, and when they
// last replied.
class PeerContacts {
 public:
  PeerContacts(EntryName self, ZoneName zone, MonotonicTime start);

  void OnPeerReply(const PeerReport& report, MonotonicTime request_sent);
  void OnOwnVersion(std::uint64_t version) { this->own_version = version; }
  // The instance is known to have ended, for example because the instance list
  // no longer contains it. It is not waited for and cannot support an outage.
  // Calling this for a running instance violates the freshness bound.
  void OnEnded(const EntryName& name);

  // This instance and the members that know `version` or have ended.
  std::set<EntryName> MembersInformedOf(std::uint64_t version) const;
  // Whether every member of the zone that has replied within kFreshness, this
  // instance included, has `version` or a later one in force. False if there is
  // no such member.
  bool IsInForce(const RosterMembers& members,
                 const ZoneName& zone,
                 std::uint64_t version,
                 MonotonicTime now) const;
  // Zones that delay a write: those of `members`, other than the own zone, that
  // have neither replied within the last second nor been silent for at least
  // kFreshness + 1 s.
  std::set<ZoneName> IndeterminateZones(const RosterMembers& members,
                                        MonotonicTime now) const;
  // Other members that have not ended and are not known to have `version` or a
  // later one in force.
  std::set<EntryName> MembersBehind(const RosterMembers& members,
                                    std::uint64_t version) const;

  const EntryName& self() const { return this->own_name; }
  const ZoneName& zone() const { return this->own_zone; }

 private:
  struct Contact {
    std::uint64_t version = 0;
    std::uint64_t known_version = 0;
    MonotonicTime last_reply;
  };

  EntryName own_name;
  ZoneName own_zone;
  MonotonicTime started;
  std::uint64_t own_version = 0;
  std::map<EntryName, Contact> contacts;
  std::map<ZoneName, MonotonicTime> zone_last_reply;
  std::set<EntryName> ended_members;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONTROL_PEER_CONTACTS_H_

#include "Core/Claims/outage_witnesses.h"

namespace daisyroad {

bool MayHaveAgreedOutage(const ClaimRoster& roster,
                         const std::set<EntryName>& witnesses) {
  std::size_t others = 0;
  std::set<ZoneName> zones;
  std::set<ZoneName> zones_of_others;
  for (const ClaimMember& member : roster.members) {
    zones.insert(member.zone);
    if (!witnesses.contains(member.incarnation)) {
      ++others;
      zones_of_others.insert(member.zone);
    }
  }
  return others * 2 > roster.members.size() &&
         zones_of_others.size() == zones.size();
}

}  // namespace daisyroad

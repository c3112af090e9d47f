#include "Core/Claims/outage_proof.h"

#include <algorithm>
#include <set>

namespace daisyroad {
namespace {

using Absences = std::map<EntryName, std::vector<StoreAbsence>>;

bool WasWithoutStore(const std::vector<StoreAbsence>& stretches,
                     MonotonicTime from,
                     MonotonicTime to) {
  return std::any_of(stretches.begin(), stretches.end(),
                     [from, to](const StoreAbsence& absence) {
                       return absence.from <= to && absence.to >= from;
                     });
}

bool MaySupport(const ClaimRoster& roster,
                const Absences& absences,
                MonotonicTime from,
                MonotonicTime to) {
  std::size_t supporters = 0;
  std::set<ZoneName> zones;
  std::set<ZoneName> zones_of_supporters;
  for (const ClaimMember& member : roster.members) {
    zones.insert(member.zone);
    const Absences::const_iterator known = absences.find(member.incarnation);
    if (known == absences.end() || WasWithoutStore(known->second, from, to)) {
      ++supporters;
      zones_of_supporters.insert(member.zone);
    }
  }
  return supporters * 2 > roster.members.size() &&
         zones_of_supporters.size() == zones.size();
}

}  // namespace

bool MayHaveAgreedOutage(const ClaimRoster& roster,
                         const Absences& absences,
                         Duration freshness) {
  // The sets change where stretches begin and end; the first moment of each
  // largest set is a beginning. The epoch stands for all times without any.
  std::vector<MonotonicTime> moments{MonotonicTime()};
  for (const ClaimMember& member : roster.members) {
    const Absences::const_iterator known = absences.find(member.incarnation);
    if (known == absences.end()) {
      continue;
    }
    for (const StoreAbsence& absence : known->second) {
      moments.push_back(absence.from);
      moments.push_back(absence.from + freshness);
    }
  }
  return std::any_of(
      moments.begin(), moments.end(),
      [&roster, &absences, freshness](MonotonicTime moment) {
        return MaySupport(roster, absences, moment - freshness, moment) &&
               MaySupport(roster, absences, moment - 2 * freshness,
                          moment - freshness);
      });
}

}  // namespace daisyroad

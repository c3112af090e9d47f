#include "Core/Claims/outage_proof.h"

#include <algorithm>
#include <set>

namespace daisyroad {
namespace {

using Absences = std::map<EntryName, std::vector<StoreAbsence>>;

bool WasStoreUnreachable(const std::vector<StoreAbsence>& intervals,
                         MonotonicTime from,
                         MonotonicTime to) {
  return std::any_of(intervals.begin(), intervals.end(),
                     [from, to](const StoreAbsence& absence) {
                       return absence.from <= to && absence.to >= from;
                     });
}

// Whether the members that were or may have been without the store at some time
// in [from, to] form a quorum.
bool MayHaveQuorum(const ClaimRoster& roster,
                   const Absences& absences,
                   MonotonicTime from,
                   MonotonicTime to) {
  std::size_t unreachable_members = 0;
  std::set<ZoneName> zones;
  std::set<ZoneName> covered_zones;
  for (const ClaimMember& member : roster.members) {
    zones.insert(member.zone);
    const Absences::const_iterator known = absences.find(member.incarnation);
    if (known == absences.end() ||
        WasStoreUnreachable(known->second, from, to)) {
      ++unreachable_members;
      covered_zones.insert(member.zone);
    }
  }
  return unreachable_members * 2 > roster.members.size() &&
         covered_zones.size() == zones.size();
}

}  // namespace

bool MayHaveAgreedOutage(const ClaimRoster& roster,
                         const Absences& absences,
                         Duration freshness) {
  // A set of members grows only where an interval enters one of the two time
  // windows: at its start the later window, and `freshness` after that the
  // earlier one. Checking these times covers every largest set. The default
  // time stands for all times outside of any interval.
  std::vector<MonotonicTime> candidate_times{MonotonicTime()};
  for (const ClaimMember& member : roster.members) {
    const Absences::const_iterator known = absences.find(member.incarnation);
    if (known == absences.end()) {
      continue;
    }
    for (const StoreAbsence& absence : known->second) {
      candidate_times.push_back(absence.from);
      candidate_times.push_back(absence.from + freshness);
    }
  }
  return std::any_of(candidate_times.begin(), candidate_times.end(),
                     [&roster, &absences, freshness](MonotonicTime candidate) {
                       return MayHaveQuorum(roster, absences,
                                            candidate - freshness, candidate) &&
                              MayHaveQuorum(roster, absences,
                                            candidate - 2 * freshness,
                                            candidate - freshness);
                     });
}

}  // namespace daisyroad

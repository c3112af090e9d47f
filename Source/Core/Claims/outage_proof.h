#ifndef SOURCE_CORE_CLAIMS_OUTAGE_PROOF_H_
#define SOURCE_CORE_CLAIMS_OUTAGE_PROOF_H_

#include <map>
#include <vector>

#include "Core/Claims/registrar_choice.h"
#include "Core/Claims/store_absences.h"
#include "Core/Common/identifiers.h"

namespace daisyroad {

// Returns whether members of the roster may have agreed on a store outage and
// therefore kept claims in memory only. `absences` holds the intervals in which
// each member did not reach the store. A member without an entry is assumed to
// have been without the store at any time.
//
// An agreed outage requires a quorum: more than half of the members, among them
// one of every zone (design 3.4, `store_outage`). It must last for `freshness`,
// and a member counts by a report of at most that age. An agreement at time T
// is thus possible only if the members of one quorum were each without the
// store at some time in [T - freshness, T], and those of a quorum, maybe a
// different one, in [T - 2 * freshness, T - freshness].
bool MayHaveAgreedOutage(
    const ClaimRoster& roster,
    const std::map<EntryName, std::vector<StoreAbsence>>& absences,
    Duration freshness);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_OUTAGE_PROOF_H_

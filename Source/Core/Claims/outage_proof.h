#ifndef SOURCE_CORE_CLAIMS_OUTAGE_PROOF_H_
#define SOURCE_CORE_CLAIMS_OUTAGE_PROOF_H_

#include <map>
#include <vector>

#include "Core/Claims/registrar_choice.h"
#include "Core/Claims/store_absences.h"
#include "Core/Common/identifiers.h"

namespace daisyroad {

// Whether members of the roster may have agreed on an outage of the store, and
// so kept claims in memory only. `absences` holds the stretches in which
// members did not reach the store; members that are not named may have been
// without it at any time.
//
// An agreed outage takes more than half of the members and one of every zone
// (design 3.4, `store_outage`), for the time `freshness`, in which a member is
// counted by a report as old as that: so at some time T such a set was without
// the store at some moment between T - freshness and T, and such a set, maybe
// another one, in the time of that length before.
bool MayHaveAgreedOutage(
    const ClaimRoster& roster,
    const std::map<EntryName, std::vector<StoreAbsence>>& absences,
    Duration freshness);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_OUTAGE_PROOF_H_

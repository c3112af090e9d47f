#ifndef SOURCE_CORE_CLAIMS_OUTAGE_WITNESSES_H_
#define SOURCE_CORE_CLAIMS_OUTAGE_WITNESSES_H_

#include <set>

#include "Core/Claims/registrar_choice.h"
#include "Core/Common/identifiers.h"

namespace daisyroad {

// Whether members of the roster may have agreed on an outage of the store, and
// so kept claims in memory only, although `witnesses` always reached it. An
// agreed outage takes more than half of the members and one of every zone that
// do not reach the store (design 3.4, `store_outage`).
bool MayHaveAgreedOutage(const ClaimRoster& roster,
                         const std::set<EntryName>& witnesses);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CLAIMS_OUTAGE_WITNESSES_H_

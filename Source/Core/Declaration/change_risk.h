#ifndef SOURCE_CORE_DECLARATION_CHANGE_RISK_H_
#define SOURCE_CORE_DECLARATION_CHANGE_RISK_H_

#include <string>

#include "Core/Declaration/declaration.h"

namespace daisyroad {

// Return why replacing `before` with `after` is risky, or an empty string.

std::string PoolRisk(const Pool& before, const Pool& after);

// Compares the number of workers that may be down, computed from the pool
// sizes, so that a fraction can be compared with a count.
std::string BudgetRisk(const Declaration& before,
                       const Declaration& after,
                       const Service& old_service,
                       const Service& new_service);

std::string LimitRisk(const Team& before, const Team& after);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_CHANGE_RISK_H_

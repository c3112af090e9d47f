#ifndef SOURCE_CORE_DECLARATION_CHANGE_RISK_H_
#define SOURCE_CORE_DECLARATION_CHANGE_RISK_H_

#include <string>

#include "Core/Declaration/declaration.h"

namespace daisyroad {

// Why replacing the first item by the second is risky; empty if it is not.

std::string PoolRisk(const Pool& before, const Pool& after);

// Compares the workers that may be down given the sizes of the pools, so that
// a fraction and a count can be compared.
std::string BudgetRisk(const Declaration& before,
                       const Declaration& after,
                       const Service& old_service,
                       const Service& new_service);

std::string LimitRisk(const Team& before, const Team& after);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_CHANGE_RISK_H_

#ifndef SOURCE_LOAD_DEMAND_PLAN_H_
#define SOURCE_LOAD_DEMAND_PLAN_H_

#include <vector>

#include "Load/demand_settings.h"
#include "Load/planned_call.h"

namespace daisyroad {

struct Declaration;

// Returns the calls of a whole run, ordered by time. Deterministic for the same
// arguments.
std::vector<PlannedCall> PlanDemand(const Declaration& declaration,
                                    const DemandSettings& settings);

}  // namespace daisyroad

#endif  // SOURCE_LOAD_DEMAND_PLAN_H_

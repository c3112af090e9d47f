#ifndef SOURCE_CORE_MAINTENANCE_BASELINE_PLANNER_H_
#define SOURCE_CORE_MAINTENANCE_BASELINE_PLANNER_H_

#include "Core/Maintenance/maintenance_plan.h"

namespace daisyroad {

// Simple plans that MaintenancePlanner is compared with. They are executed
// under the same budgets.
class BaselinePlanner {
 public:
  // One instance per wave.
  static MaintenancePlan OneAtATime(const MaintenanceInput& input);
  // `fraction` of the instances per wave, at least one, in order of name.
  static MaintenancePlan FixedFraction(const MaintenanceInput& input,
                                       double fraction);
  static MaintenancePlan OneRackPerWave(const MaintenanceInput& input);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MAINTENANCE_BASELINE_PLANNER_H_

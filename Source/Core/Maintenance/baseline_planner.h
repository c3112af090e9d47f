#ifndef SOURCE_CORE_MAINTENANCE_BASELINE_PLANNER_H_
#define SOURCE_CORE_MAINTENANCE_BASELINE_PLANNER_H_

#include "Core/Maintenance/maintenance_plan.h"

namespace daisyroad {

// Simple plans that MaintenancePlanner is compared with. They are carried out
// under the same budgets.
class BaselinePlanner {
 public:
  static MaintenancePlan OneAtATime(const MaintenanceInput& input);
  // `fraction` of the fleet per wave, in order of name.
  static MaintenancePlan FixedFraction(const MaintenanceInput& input,
                                       double fraction);
  static MaintenancePlan OneRackPerWave(const MaintenanceInput& input);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MAINTENANCE_BASELINE_PLANNER_H_

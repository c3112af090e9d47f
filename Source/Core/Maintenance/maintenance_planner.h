#ifndef SOURCE_CORE_MAINTENANCE_MAINTENANCE_PLANNER_H_
#define SOURCE_CORE_MAINTENANCE_MAINTENANCE_PLANNER_H_

#include "Core/Common/time.h"
#include "Core/Maintenance/maintenance_plan.h"
#include "Core/Maintenance/maintenance_windows.h"

namespace daisyroad {

// Result of checking a plan against the maintenance interval.
struct IntervalFit {
  Duration finish = Duration::zero();  // offset at which the last one returns
  Duration slack = Duration::zero();   // negative: does not fit
};

// Orders the instances of the fleet into waves. In a pool they follow zone,
// rack and name, so that a wave touches few racks and one zone of it; between
// pools the service that has most left to do for its budget goes first.
class MaintenancePlanner {
 public:
  // All instances, maintained or not: progress is in the records, so the plan
  // does not change while it is carried out.
  static MaintenancePlan Plan(const MaintenanceInput& input);

  // No schedule that keeps the budgets can be shorter, if each instance is down
  // for at least `downtime`. Open time; windows are applied by Fit.
  static Duration LowerBound(const MaintenanceInput& input, Duration downtime);

  // Where a plan ends that needs `open_time` within the windows.
  static IntervalFit Fit(const MaintenanceWindows& windows,
                         Duration open_time,
                         Duration interval);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MAINTENANCE_MAINTENANCE_PLANNER_H_

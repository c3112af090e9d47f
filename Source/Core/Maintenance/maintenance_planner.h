#ifndef SOURCE_CORE_MAINTENANCE_MAINTENANCE_PLANNER_H_
#define SOURCE_CORE_MAINTENANCE_MAINTENANCE_PLANNER_H_

#include "Core/Common/time.h"
#include "Core/Maintenance/maintenance_plan.h"
#include "Core/Maintenance/maintenance_windows.h"

namespace daisyroad {

// Result of checking a plan against the maintenance interval.
struct IntervalFit {
  // Offset at which the last instance returns.
  Duration finish = Duration::zero();
  Duration slack = Duration::zero();  // negative if the plan does not fit
};

// Divides the instances of the fleet into waves. Within a pool, instances are
// ordered by zone, rack and name, so that a wave covers few racks of the pool
// and mostly one zone. Among pools, those come first whose services have the
// most instances left relative to their budget.
class MaintenancePlanner {
 public:
  // Plans all instances, whether already maintained or not. Progress is kept in
  // the records, so the plan stays the same while it is executed.
  static MaintenancePlan Plan(const MaintenanceInput& input);

  // Returns a lower bound on the duration of any schedule within the budgets,
  // if each instance is down for at least `downtime`. It is time within the
  // windows; Fit converts it.
  static Duration LowerBound(const MaintenanceInput& input, Duration downtime);

  // Computes when a plan ends that needs `open_time` within the windows, and
  // whether that is within `interval`.
  static IntervalFit Fit(const MaintenanceWindows& windows,
                         Duration open_time,
                         Duration interval);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MAINTENANCE_MAINTENANCE_PLANNER_H_

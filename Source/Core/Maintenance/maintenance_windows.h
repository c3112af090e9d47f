#ifndef SOURCE_CORE_MAINTENANCE_MAINTENANCE_WINDOWS_H_
#define SOURCE_CORE_MAINTENANCE_MAINTENANCE_WINDOWS_H_

#include "Core/Common/time.h"

namespace daisyroad {

// A maintenance window that recurs every period and is open in [begin, end) of
// each. Offsets are relative to the start of the maintenance interval.
class MaintenanceWindows {
 public:
  // A window that is always open.
  MaintenanceWindows() = default;
  // Requires 0 <= from < until <= every.
  MaintenanceWindows(Duration every, Duration from, Duration until);

  bool IsOpen(Duration offset) const;
  // Offset at which the windows have been open for `work` since `start`.
  Duration Finish(Duration start, Duration work) const;

 private:
  Duration period = std::chrono::hours(24);
  Duration begin = Duration::zero();
  Duration end = std::chrono::hours(24);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MAINTENANCE_MAINTENANCE_WINDOWS_H_

#ifndef SOURCE_CORE_MAINTENANCE_MAINTENANCE_WINDOWS_H_
#define SOURCE_CORE_MAINTENANCE_MAINTENANCE_WINDOWS_H_

#include "Core/Common/time.h"

namespace daisyroad {

// A window that recurs every `period`, open in [begin, end) of it. Offsets are
// from the start of the maintenance interval.
class MaintenanceWindows {
 public:
  // Always open.
  MaintenanceWindows() = default;
  // Requires 0 <= begin < end <= period.
  MaintenanceWindows(Duration every, Duration from, Duration until);

  bool IsOpen(Duration offset) const;
  // Offset at which `work` of open time has passed since `start`.
  Duration Finish(Duration start, Duration work) const;

 private:
  Duration period = std::chrono::hours(24);
  Duration begin = Duration::zero();
  Duration end = std::chrono::hours(24);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MAINTENANCE_MAINTENANCE_WINDOWS_H_

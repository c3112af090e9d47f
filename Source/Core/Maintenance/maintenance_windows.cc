#include "Core/Maintenance/maintenance_windows.h"

#include <algorithm>

namespace daisyroad {

MaintenanceWindows::MaintenanceWindows(Duration every,
                                       Duration from,
                                       Duration until)
    : period(every), begin(from), end(until) {}

bool MaintenanceWindows::IsOpen(Duration offset) const {
  const Duration phase = offset % this->period;
  return phase >= this->begin && phase < this->end;
}

Duration MaintenanceWindows::Finish(Duration start, Duration work) const {
  Duration day = start - start % this->period;
  Duration from = std::max(start, day + this->begin);
  while (from + work > day + this->end) {
    work -= std::max(Duration::zero(), day + this->end - from);
    day += this->period;
    from = day + this->begin;
  }
  return from + work;
}

}  // namespace daisyroad

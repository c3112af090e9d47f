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
  Duration period_start = start - start % this->period;
  Duration open_from = std::max(start, period_start + this->begin);
  while (open_from + work > period_start + this->end) {
    work -= std::max(Duration::zero(), period_start + this->end - open_from);
    period_start += this->period;
    open_from = period_start + this->begin;
  }
  return open_from + work;
}

}  // namespace daisyroad

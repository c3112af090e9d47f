#ifndef SOURCE_CORE_DECLARATION_MAINTENANCE_WINDOW_H_
#define SOURCE_CORE_DECLARATION_MAINTENANCE_WINDOW_H_

#include <chrono>

namespace daisyroad {

// Weekly time span in which maintenance may start, in UTC. A window whose end
// is not after its start runs past midnight into the next day.
struct MaintenanceWindow {
  std::chrono::weekday weekday;
  std::chrono::minutes start{0};  // since 00:00 of the weekday, [0, 1440)
  std::chrono::minutes end{0};    // since 00:00, (0, 1440]

  // Length of the window, positive and at most one day.
  std::chrono::minutes Length() const {
    const std::chrono::minutes length = this->end - this->start;
    return length.count() > 0 ? length : length + std::chrono::hours(24);
  }

  bool operator==(const MaintenanceWindow&) const = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_MAINTENANCE_WINDOW_H_

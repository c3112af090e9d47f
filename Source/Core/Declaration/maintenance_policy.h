#ifndef SOURCE_CORE_DECLARATION_MAINTENANCE_POLICY_H_
#define SOURCE_CORE_DECLARATION_MAINTENANCE_POLICY_H_

#include <chrono>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Declaration/maintenance_window.h"

namespace daisyroad {

// When and how often workers are maintained.
struct MaintenancePolicy {
  // Every worker is maintained once per interval; 7 weeks per design 1.4.
  std::chrono::hours interval{24 * 49};
  std::vector<MaintenanceWindow> windows;  // empty: at any time
  // Time for which a drain waits for running tasks before it checkpoints them.
  Milliseconds patience{600'000};

  bool operator==(const MaintenancePolicy&) const = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_MAINTENANCE_POLICY_H_

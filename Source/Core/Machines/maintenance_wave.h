#ifndef SOURCE_CORE_MACHINES_MAINTENANCE_WAVE_H_
#define SOURCE_CORE_MACHINES_MAINTENANCE_WAVE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "Core/Platform/machine_client.h"

namespace daisyroad {

// Machines that operators want maintained within a time limit.
struct MaintenanceWave {
  std::int64_t number = 0;
  std::vector<MachineName> machines;
  std::chrono::seconds duration{0};  // from the request
  int most_at_once = 1;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MACHINES_MAINTENANCE_WAVE_H_

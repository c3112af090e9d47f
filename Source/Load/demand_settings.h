#ifndef SOURCE_LOAD_DEMAND_SETTINGS_H_
#define SOURCE_LOAD_DEMAND_SETTINGS_H_

#include <cstdint>
#include <string>

#include "Core/Common/time.h"

namespace daisyroad {

// Shape of a site's demand. Each queue in turn asks for `overload` times what
// its pool holds, about five times its mean, and for a twentieth of its mean in
// between.
struct DemandSettings {
  std::uint64_t seed = 1;
  std::string label = "run";  // start of each echo, different in each run
  Milliseconds length{60000};
  Milliseconds burst{6000};  // of one queue, then the next one has its turn
  double overload = 1.3;
  Milliseconds urgent_run{500};  // mean run time of urgent tasks
  Milliseconds long_run{3000};   // mean run time of long tasks
  Milliseconds longest_deadline{20000};
  double without_key = 0.2;       // fraction of the idempotent calls
  double wrongly_declared = 0.1;  // four times too many or too few cores
  double failing = 0.01;
  double wave = 0.3;  // fraction of the bursts with a wave of cancellations
  double cancelled_in_wave = 0.5;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_DEMAND_SETTINGS_H_

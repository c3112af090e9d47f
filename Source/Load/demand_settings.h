#ifndef SOURCE_LOAD_DEMAND_SETTINGS_H_
#define SOURCE_LOAD_DEMAND_SETTINGS_H_

#include <cstdint>
#include <string>

#include "Core/Common/time.h"

namespace daisyroad {

// Shape of the demand on a site. The queues burst in turn: during its burst a
// queue requests `overload` times the capacity of its pool, about five times
// its mean rate, and otherwise a twentieth of its mean rate.
struct DemandSettings {
  std::uint64_t seed = 1;
  std::string label = "run";  // prefix of each echo; unique for each run
  Milliseconds length{60000};
  Milliseconds burst{6000};  // length of the burst of one queue
  double overload = 1.3;
  Milliseconds mean_urgent_run{500};  // mean run time of urgent tasks
  Milliseconds mean_long_run{3000};   // mean run time of long tasks
  Milliseconds max_deadline{20000};
  double without_key_fraction = 0.2;  // of the idempotent calls
  double misdeclared_fraction = 0.1;  // declare 4 times too many or few cores
  double failing_fraction = 0.01;
  double wave_fraction = 0.3;  // of the bursts; they get many cancellations
  double cancelled_in_wave_fraction = 0.5;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_DEMAND_SETTINGS_H_

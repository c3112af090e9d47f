#ifndef SOURCE_BENCH_SHARES_SIMULATION_H_
#define SOURCE_BENCH_SHARES_SIMULATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Shares/fair_task.h"

namespace daisyroad {

// One cell and the demand on it.
struct SharesSite {
  std::string name;
  std::size_t workers = 0;
  Resources worker;
  std::vector<double> weights;  // one team each
  // Mean demand over the capacity of the cell.
  double urgent_load = 0.0;
  double long_load = 0.0;
};

enum class SharesPolicy { kFair, kFirstCome, kRoundRobin, kStaticSplit };

struct SharesOutcome {
  std::vector<double> deviations;  // relative, per team and 30 s window
  std::vector<double> full_waits;  // seconds, urgent tasks, no room on arrival
  std::vector<double> room_waits;  // seconds, urgent tasks, room on arrival
  double long_throughput = 0.0;    // useful work over what remains for it
  double urgent_done = 0.0;        // fraction of urgent tasks started
  std::size_t checkpoints = 0;
  double next_microseconds = 0.0;  // mean time of one decision
};

// Runs ten minutes of virtual time. The same seed gives the same arrivals for
// every policy.
SharesOutcome SimulateShares(const SharesSite& site,
                             SharesPolicy policy,
                             std::uint64_t seed);

// The value below which the given fraction of the values lies; 0 if empty.
double SharesQuantile(std::vector<double> values, double fraction);

}  // namespace daisyroad

#endif  // SOURCE_BENCH_SHARES_SIMULATION_H_

#ifndef SOURCE_BENCH_SHARES_SIMULATION_H_
#define SOURCE_BENCH_SHARES_SIMULATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Shares/fair_task.h"

namespace daisyroad {

// One cell (the workers of one pool in one zone) and its load.
struct SharesScenario {
  std::string name;
  std::size_t workers = 0;
  Resources worker_capacity;
  std::vector<double> weights;  // one per team
  // Mean demand as a fraction of the capacity of the cell.
  double urgent_load = 0.0;
  double long_load = 0.0;
};

enum class SharesPolicy {
  kFair,
  kFirstComeFirstServed,
  kRoundRobin,
  kStaticSplit
};

struct SharesOutcome {
  std::vector<double> deviations;  // relative, per team and 30 s window
  // Seconds that urgent tasks waited, by whether the cell had a free slot when
  // they arrived.
  std::vector<double> waits_without_free_slot;
  std::vector<double> waits_with_free_slot;
  double long_throughput = 0.0;  // useful time / available slot time
  double urgent_started_fraction = 0.0;
  std::size_t checkpoints = 0;
  double mean_decision_microseconds = 0.0;  // per FairQueue::Next call
};

// Simulates ten minutes of virtual time. A seed produces the same arrivals for
// every policy.
SharesOutcome SimulateShares(const SharesScenario& scenario,
                             SharesPolicy policy,
                             std::uint64_t seed);

// Returns the quantile of `values` at `fraction`, or 0 if `values` is empty.
double SharesQuantile(std::vector<double> values, double fraction);

}  // namespace daisyroad

#endif  // SOURCE_BENCH_SHARES_SIMULATION_H_

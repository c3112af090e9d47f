#ifndef SOURCE_BENCH_SHARES_ARRIVALS_H_
#define SOURCE_BENCH_SHARES_ARRIVALS_H_

#include <cstdint>
#include <vector>

#include "Bench/shares_simulation.h"
#include "Core/Shares/fair_task.h"

namespace daisyroad {

struct SharesArrival {
  FairTask task;
  std::size_t team = 0;
  double time = 0.0;  // seconds
  double run_seconds = 0.0;
};

// Generates the arrivals of the first `end` seconds, sorted by time. As in
// design 1.3, each queue receives five times its mean rate during bursts and a
// twentieth of it between them.
std::vector<SharesArrival> MakeSharesArrivals(const SharesScenario& scenario,
                                              double end,
                                              std::uint64_t seed);

}  // namespace daisyroad

#endif  // SOURCE_BENCH_SHARES_ARRIVALS_H_

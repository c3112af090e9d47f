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
  double work = 0.0;  // seconds of run time
};

// The demand of design 1.3 until `end` seconds, in order of time: each queue
// asks for five times its mean in bursts and for a twentieth in between.
std::vector<SharesArrival> MakeSharesArrivals(const SharesSite& site,
                                              double end,
                                              std::uint64_t seed);

}  // namespace daisyroad

#endif  // SOURCE_BENCH_SHARES_ARRIVALS_H_

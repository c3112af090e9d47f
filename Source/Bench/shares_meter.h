#ifndef SOURCE_BENCH_SHARES_METER_H_
#define SOURCE_BENCH_SHARES_METER_H_

#include <cstddef>
#include <vector>

#include "Bench/shares_simulation.h"

namespace daisyroad {

constexpr double kSharesWarmUp = 60.0;  // seconds that are not measured
// Seconds between samples and between reclaim decisions.
constexpr double kSharesTick = 0.05;

// Compares what each team has with its entitlement, which it computes from the
// weights on its own and not with the code that it measures.
class SharesMeter {
 public:
  explicit SharesMeter(const SharesSite& cell);

  // All vectors hold one value a team; `running` is in slots.
  void Sample(double now,
              const std::vector<std::size_t>& waiting,
              const std::vector<std::size_t>& long_waiting,
              const std::vector<double>& running,
              double urgent_running);

  // Relative deviations over each window of 30 s, every 5 s, throughout which
  // the team had work waiting.
  std::vector<double> Deviations() const;
  // Slot-seconds that urgent work left over while long work was there.
  double long_available() const { return this->available; }

 private:
  struct Tick {
    double received;  // slot-seconds
    double entitled;
    bool backlogged;
  };

  std::vector<double> weights;
  double slots;
  std::vector<std::vector<Tick>> ticks;  // per team
  double available = 0.0;
  double last = 0.0;
};

}  // namespace daisyroad

#endif  // SOURCE_BENCH_SHARES_METER_H_

#ifndef SOURCE_BENCH_SHARES_METER_H_
#define SOURCE_BENCH_SHARES_METER_H_

#include <cstddef>
#include <vector>

#include "Bench/shares_simulation.h"

namespace daisyroad {

constexpr double kSharesWarmUp = 60.0;  // seconds excluded from the measures
// Seconds between two samples and between two reclaim decisions.
constexpr double kSharesSampleInterval = 0.05;

// Compares the slots that each team uses with its entitlement. The entitlement
// is computed from the weights here, independently of the scheduler under test.
class SharesMeter {
 public:
  explicit SharesMeter(const SharesScenario& cell);

  // All vectors hold one value per team; `running` is in slots.
  void Sample(double now,
              const std::vector<std::size_t>& waiting,
              const std::vector<std::size_t>& long_waiting,
              const std::vector<double>& running,
              double urgent_running);

  // Relative deviations from the entitlement, one per team and 30 s window in
  // which the team had waiting tasks throughout. Windows start every 5 s.
  std::vector<double> Deviations() const;
  // Slot-seconds available to long tasks: while long tasks are waiting, all
  // slots that urgent tasks do not use, otherwise the slots that long tasks
  // use.
  double long_available_slot_seconds() const {
    return this->available_slot_seconds;
  }

 private:
  struct ShareSample {
    double received;  // slot-seconds
    double entitled;
    bool backlogged;
  };

  std::vector<double> weights;
  double slots;
  std::vector<std::vector<ShareSample>> samples;  // per team
  double available_slot_seconds = 0.0;
  double last_sample_time = 0.0;
};

}  // namespace daisyroad

#endif  // SOURCE_BENCH_SHARES_METER_H_

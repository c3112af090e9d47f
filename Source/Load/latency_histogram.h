#ifndef SOURCE_LOAD_LATENCY_HISTOGRAM_H_
#define SOURCE_LOAD_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// Log-linear histogram of durations: 64 steps for each power of two, so a
// percentile is at most 1.6% above the true value. Microseconds up to 2^40.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(Duration latency);
  std::uint64_t count() const { return this->total; }
  // Upper end of the step that holds the value at `fraction` in [0, 1]; zero if
  // nothing was added.
  std::chrono::microseconds Percentile(double fraction) const;

 private:
  std::vector<std::uint64_t> steps;
  std::uint64_t total = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_LATENCY_HISTOGRAM_H_

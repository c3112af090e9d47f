#ifndef SOURCE_LOAD_LATENCY_HISTOGRAM_H_
#define SOURCE_LOAD_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// Log-linear histogram of durations in microseconds up to 2^40. It has 64
// buckets for each power of two, so a percentile is at most 1.6% above the true
// value.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(Duration latency);
  std::uint64_t count() const { return this->total; }
  // Returns the upper bound of the bucket that holds the value at `fraction` in
  // [0, 1], or zero if the histogram is empty.
  std::chrono::microseconds Percentile(double fraction) const;

 private:
  std::vector<std::uint64_t> buckets;
  std::uint64_t total = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_LATENCY_HISTOGRAM_H_

#ifndef SOURCE_CORE_COMMON_LATENCY_HISTOGRAM_H_
#define SOURCE_CORE_COMMON_LATENCY_HISTOGRAM_H_

#include <string>
#include <vector>

#include "Core/Common/metrics_registry.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Prometheus histogram of durations with fixed buckets from 1 ms to 10 s. The
// sum is in milliseconds. Thread-safe.
class LatencyHistogram {
 public:
  // `name` has no suffix, for example daisyroad_request_ms; `labels` are as in
  // MetricsRegistry::Counter. `metrics` must outlive this object.
  LatencyHistogram(MetricsRegistry* metrics,
                   const std::string& name,
                   const std::string& labels = "");

  void Observe(Duration duration) const;

 private:
  // One for each bound, and one without a bound.
  std::vector<MetricsRegistry::Value*> buckets;
  MetricsRegistry::Value* count;
  MetricsRegistry::Value* sum;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_LATENCY_HISTOGRAM_H_

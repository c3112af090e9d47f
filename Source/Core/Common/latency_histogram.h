#ifndef SOURCE_CORE_COMMON_LATENCY_HISTOGRAM_H_
#define SOURCE_CORE_COMMON_LATENCY_HISTOGRAM_H_

#include <string>

#include "Core/Common/metrics_registry.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Counts durations in fixed buckets from 1 ms to 10 s, in the form that
// Prometheus has for histograms. The sum is in milliseconds. Thread-safe.
class LatencyHistogram {
 public:
  // `name` without suffix, for example daisyroad_request_ms; `labels` as for
  // counters. `metrics` must outlive this object.
  LatencyHistogram(MetricsRegistry* metrics,
                   const std::string& name,
                   const std::string& labels = "");

  void Observe(Duration duration);

 private:
  MetricsRegistry* metrics;
  std::string name;
  std::string labels;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_LATENCY_HISTOGRAM_H_

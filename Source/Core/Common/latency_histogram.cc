#include "Core/Common/latency_histogram.h"

namespace daisyroad {
namespace {

constexpr std::int64_t kBucketBoundsMs[] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

}  // namespace

LatencyHistogram::LatencyHistogram(MetricsRegistry* metrics,
                                   const std::string& name,
                                   const std::string& labels)
    : count(&metrics->Counter(name + "_count", labels)),
      sum(&metrics->Counter(name + "_sum", labels)) {
  const std::string prefix = labels.empty() ? "" : labels + ",";
  for (const std::int64_t bound : kBucketBoundsMs) {
    this->buckets.push_back(&metrics->Counter(
        name + "_bucket", prefix + "le=\"" + std::to_string(bound) + "\""));
  }
  this->buckets.push_back(
      &metrics->Counter(name + "_bucket", prefix + "le=\"+Inf\""));
}

void LatencyHistogram::Observe(Duration duration) const {
  const std::int64_t value =
      std::chrono::duration_cast<Milliseconds>(duration).count();
  for (std::size_t i = 0; i + 1 < this->buckets.size(); ++i) {
    if (value <= kBucketBoundsMs[i]) {
      ++*this->buckets[i];
    }
  }
  ++*this->buckets.back();
  ++*this->count;
  *this->sum += value;
}

}  // namespace daisyroad

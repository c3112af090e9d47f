#include "Core/Common/latency_histogram.h"

namespace daisyroad {
namespace {

constexpr std::int64_t kBucketBoundsMs[] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

}  // namespace

LatencyHistogram::LatencyHistogram(MetricsRegistry* metrics,
                                   const std::string& name,
                                   const std::string& labels)
    : metrics(metrics), name(name), labels(labels) {}

void LatencyHistogram::Observe(Duration duration) {
  const std::int64_t value =
      std::chrono::duration_cast<Milliseconds>(duration).count();
  const std::string prefix = this->labels.empty() ? "" : this->labels + ",";
  for (const std::int64_t bound : kBucketBoundsMs) {
    if (value <= bound) {
      ++this->metrics->Counter(this->name + "_bucket",
                               prefix + "le=\"" + std::to_string(bound) + "\"");
    }
  }
  ++this->metrics->Counter(this->name + "_bucket", prefix + "le=\"+Inf\"");
  ++this->metrics->Counter(this->name + "_count", this->labels);
  this->metrics->Counter(this->name + "_sum", this->labels) += value;
}

}  // namespace daisyroad

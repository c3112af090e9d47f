#include "Load/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace daisyroad {
namespace {

constexpr int kSubBucketBits = 6;
constexpr std::uint64_t kSubBuckets = 1U << kSubBucketBits;
constexpr int kMaxValueBits = 40;

// Values below kSubBuckets have a bucket each. For larger values the
// kSubBucketBits bits after the leading one select the bucket.
std::size_t BucketIndex(std::uint64_t value) {
  if (value < kSubBuckets) {
    return value;
  }
  const int shift =
      static_cast<int>(std::bit_width(value)) - 1 - kSubBucketBits;
  return kSubBuckets * static_cast<std::size_t>(shift) + (value >> shift);
}

std::uint64_t BucketUpperBound(std::size_t bucket) {
  if (bucket < 2 * kSubBuckets) {
    return bucket;
  }
  const std::size_t shift = bucket / kSubBuckets - 1;
  return ((kSubBuckets + bucket % kSubBuckets + 1) << shift) - 1;
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : buckets(kSubBuckets * (kMaxValueBits - kSubBucketBits + 2)) {}

void LatencyHistogram::Add(Duration latency) {
  const std::int64_t value =
      std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
  const std::uint64_t bounded = static_cast<std::uint64_t>(
      std::clamp<std::int64_t>(value, 0, (1LL << kMaxValueBits) - 1));
  ++this->buckets[BucketIndex(bounded)];
  ++this->total;
}

std::chrono::microseconds LatencyHistogram::Percentile(double fraction) const {
  const std::uint64_t rank = std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(
             std::ceil(fraction * static_cast<double>(this->total))));
  std::uint64_t cumulative_count = 0;
  for (std::size_t i = 0; i < this->buckets.size(); ++i) {
    cumulative_count += this->buckets[i];
    if (cumulative_count >= rank && this->total > 0) {
      return std::chrono::microseconds(BucketUpperBound(i));
    }
  }
  return std::chrono::microseconds(0);
}

}  // namespace daisyroad

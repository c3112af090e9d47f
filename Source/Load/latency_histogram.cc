#include "Load/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace daisyroad {
namespace {

constexpr int kStepBits = 6;
constexpr std::uint64_t kSteps = 1U << kStepBits;
constexpr int kLargestBit = 40;

// Values below kSteps have a step each; above, the top kStepBits bits after the
// leading one select the step.
std::size_t StepOf(std::uint64_t value) {
  if (value < kSteps) {
    return value;
  }
  const int shift = static_cast<int>(std::bit_width(value)) - 1 - kStepBits;
  return kSteps * static_cast<std::size_t>(shift) + (value >> shift);
}

std::uint64_t UpperEnd(std::size_t step) {
  if (step < 2 * kSteps) {
    return step;
  }
  const std::size_t shift = step / kSteps - 1;
  return ((kSteps + step % kSteps + 1) << shift) - 1;
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : steps(kSteps * (kLargestBit - kStepBits + 2)) {}

void LatencyHistogram::Add(Duration latency) {
  const std::int64_t value =
      std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
  const std::uint64_t bounded = static_cast<std::uint64_t>(
      std::clamp<std::int64_t>(value, 0, (1LL << kLargestBit) - 1));
  ++this->steps[StepOf(bounded)];
  ++this->total;
}

std::chrono::microseconds LatencyHistogram::Percentile(double fraction) const {
  const std::uint64_t rank = std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(
             std::ceil(fraction * static_cast<double>(this->total))));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < this->steps.size(); ++i) {
    seen += this->steps[i];
    if (seen >= rank && this->total > 0) {
      return std::chrono::microseconds(UpperEnd(i));
    }
  }
  return std::chrono::microseconds(0);
}

}  // namespace daisyroad

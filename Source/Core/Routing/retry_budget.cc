#include "Core/Routing/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace daisyroad {
namespace {

constexpr Milliseconds kFirstBackoff{50};
constexpr Milliseconds kLongestBackoff{5000};
constexpr int kMaximumDoublings = 10;
// Ten additions of a tenth stay just below one in binary.
constexpr double kTolerance = 1e-9;

}  // namespace

void RetryBudget::OnRequest() {
  this->tokens = std::min(kCapacity, this->tokens + kFraction);
}

bool RetryBudget::TryRetry(MonotonicTime now) {
  if (this->refilled_at) {
    const double elapsed =
        std::chrono::duration<double>(now - *this->refilled_at).count();
    this->tokens =
        std::min(kCapacity, this->tokens + elapsed * kFloorPerSecond);
  }
  this->refilled_at = now;
  if (this->tokens < 1.0 - kTolerance) {
    return false;
  }
  this->tokens = std::max(0.0, this->tokens - 1.0);
  return true;
}

Duration RetryBudget::Backoff(int attempt, Random& random) {
  const int doublings = std::clamp(attempt - 1, 0, kMaximumDoublings);
  const Duration bound =
      std::min<Duration>(kFirstBackoff * (1 << doublings), kLongestBackoff);
  return random.DurationBelow(bound);
}

}  // namespace daisyroad

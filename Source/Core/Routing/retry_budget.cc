#include "Core/Routing/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace daisyroad {
namespace {

constexpr Milliseconds kInitialBackoff{50};
constexpr Milliseconds kMaximumBackoff{5000};
constexpr int kMaximumDoublings = 10;
// Ten additions of 0.1 result in slightly less than 1 in binary floating point.
constexpr double kTolerance = 1e-9;

}  // namespace

void RetryBudget::OnRequest() {
  this->tokens = std::min(kMaximumTokens, this->tokens + kRetryFraction);
}

bool RetryBudget::TryRetry(MonotonicTime now) {
  if (this->refilled_at) {
    const double elapsed =
        std::chrono::duration<double>(now - *this->refilled_at).count();
    this->tokens = std::min(kMaximumTokens,
                            this->tokens + elapsed * kMinimumRetriesPerSecond);
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
  const Duration maximum_wait =
      std::min<Duration>(kInitialBackoff * (1 << doublings), kMaximumBackoff);
  return random.DurationBelow(maximum_wait);
}

}  // namespace daisyroad

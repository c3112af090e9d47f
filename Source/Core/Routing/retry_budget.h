#ifndef SOURCE_CORE_ROUTING_RETRY_BUDGET_H_
#define SOURCE_CORE_ROUTING_RETRY_BUDGET_H_

#include <optional>

#include "Core/Common/random.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Limits retries to a fraction of requests, so that retries cannot multiply the
// load of an outage. Used only at the receiving instance.
class RetryBudget {
 public:
  static constexpr double kFraction = 0.1;
  // Retries a second that are allowed without new requests: accepted work that
  // waits for a retry must not depend on later callers.
  static constexpr double kFloorPerSecond = 1.0;
  // Retries that may be saved up; lets an instance with little load retry.
  static constexpr double kCapacity = 10.0;

  void OnRequest();
  // True if one more retry may be sent; takes it from the budget.
  bool TryRetry(MonotonicTime now);
  // Wait before the retry; `attempt` is 1 for the first. Uniform between zero
  // and 50 ms doubled with each attempt, at most 5 s (full jitter).
  static Duration Backoff(int attempt, Random& random);

 private:
  double tokens = kCapacity;
  std::optional<MonotonicTime> refilled_at;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ROUTING_RETRY_BUDGET_H_

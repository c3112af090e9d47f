#ifndef SOURCE_CORE_ROUTING_RETRY_BUDGET_H_
#define SOURCE_CORE_ROUTING_RETRY_BUDGET_H_

#include <optional>

#include "Core/Common/random.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Token bucket that limits retries to a fraction of the requests, so that
// retries cannot multiply the load during an outage. Used only by the instance
// that received the request.
class RetryBudget {
 public:
  static constexpr double kRetryFraction = 0.1;
  // Retries per second that are allowed without new requests, because the retry
  // of an accepted task must not depend on later requests.
  static constexpr double kMinimumRetriesPerSecond = 1.0;
  // Capacity of the bucket; lets an instance with few requests retry.
  static constexpr double kMaximumTokens = 10.0;

  void OnRequest();
  // Consumes one token and returns true if a retry may be sent.
  bool TryRetry(MonotonicTime now);
  // Delay before retry number `attempt`, counted from 1: exponential backoff
  // with full jitter, uniform between zero and 50 ms doubled with each attempt,
  // at most 5 s.
  static Duration Backoff(int attempt, Random& random);

 private:
  double tokens = kMaximumTokens;
  std::optional<MonotonicTime> refilled_at;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ROUTING_RETRY_BUDGET_H_

#ifndef SOURCE_CORE_JOBS_QUEUE_POLICY_H_
#define SOURCE_CORE_JOBS_QUEUE_POLICY_H_

#include <optional>

#include "Core/Common/time.h"

namespace daisyroad {

// Response time of the placement advisor of a queue, and validity of its
// tickets.
struct AdvicePolicy {
  Milliseconds decide{0};      // fixed part of the response time
  Milliseconds per_worker{0};  // added for each worker in the request
  Milliseconds valid_for{0};   // validity of the returned tickets
};

// The declared properties of a queue that scheduling uses.
struct QueuePolicy {
  int priority = 0;  // 0 is the highest
  int max_attempts = 3;
  // The target completion time of a job is `stretch` times the length of its
  // critical path plus `slack` after its start.
  double stretch = 1.0;
  Milliseconds slack{0};
  std::optional<AdvicePolicy> advice;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_QUEUE_POLICY_H_

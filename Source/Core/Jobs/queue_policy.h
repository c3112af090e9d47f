#ifndef SOURCE_CORE_JOBS_QUEUE_POLICY_H_
#define SOURCE_CORE_JOBS_QUEUE_POLICY_H_

#include <optional>

#include "Core/Common/time.h"

namespace daisyroad {

// Cost of asking the placement advisor of a queue.
struct AdvicePolicy {
  Milliseconds decide{0};      // fixed part of an answer's time
  Milliseconds per_worker{0};  // for each worker named
  Milliseconds valid_for{0};   // of the tickets it gives
};

// What operators declare of a queue as far as scheduling needs it.
struct QueuePolicy {
  int priority = 0;  // 0 goes first
  int max_attempts = 3;
  // The objective of a job is `stretch` times its longest chain of work, and
  // `slack` more.
  double stretch = 1.0;
  Milliseconds slack{0};
  std::optional<AdvicePolicy> advice;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_QUEUE_POLICY_H_

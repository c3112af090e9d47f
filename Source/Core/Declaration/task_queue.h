#ifndef SOURCE_CORE_DECLARATION_TASK_QUEUE_H_
#define SOURCE_CORE_DECLARATION_TASK_QUEUE_H_

#include <cstdint>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

enum class QueueClass { kUrgent, kLong };

// Whether a queue starts new tasks in an isolated zone (design 3.4).
enum class WhenIsolated { kServe, kRefuse };

// A queue of tasks for one service.
struct TaskQueue {
  QueueName name;
  ServiceName service;
  QueueClass queue_class = QueueClass::kLong;
  bool idempotent = false;   // a task may run more than once
  bool open_to_all = false;  // accepts requests without a team key
  WhenIsolated when_isolated = WhenIsolated::kRefuse;
  Milliseconds default_deadline{60'000};  // for requests without one
  std::int64_t max_payload_bytes = 65'536;
  std::int64_t queue_bound = 1'000;  // waiting tasks per cell
  // Time for which a task on a borrowed share may continue running before it
  // is checkpointed.
  Milliseconds checkpoint_patience{5'000};

  bool operator==(const TaskQueue&) const = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_TASK_QUEUE_H_

#ifndef SOURCE_CORE_DIAGNOSIS_TASK_TIMELINE_H_
#define SOURCE_CORE_DIAGNOSIS_TASK_TIMELINE_H_

#include <optional>
#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

struct TaskTimeline {
  TaskId task;
  QueueName queue;
  WorkerName worker;  // empty if the task was never assigned
  MonotonicTime queued;
  std::optional<MonotonicTime> started;
  std::optional<MonotonicTime> ended;
  Milliseconds deadline{0};  // relative to `queued`
  std::string outcome;       // task state as listed in docs/api.md
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_TASK_TIMELINE_H_

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
  WorkerName worker;  // empty if it never started
  MonotonicTime queued;
  std::optional<MonotonicTime> started;
  std::optional<MonotonicTime> ended;
  Milliseconds deadline{0};  // from `queued`
  std::string outcome;       // state of the task, see docs/api.md
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_TASK_TIMELINE_H_

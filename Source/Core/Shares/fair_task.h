#ifndef SOURCE_CORE_SHARES_FAIR_TASK_H_
#define SOURCE_CORE_SHARES_FAIR_TASK_H_

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Shares/resources.h"

namespace daisyroad {

enum class TaskClass { kUrgent, kLong };

// A task as the caller declared it.
struct FairTask {
  TaskId id;
  TeamName team;
  QueueName queue;
  TaskClass task_class = TaskClass::kUrgent;
  Resources declared;
  MonotonicTime deadline = MonotonicTime::max();  // latest start
  bool idempotent = false;
  bool checkpointable = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_FAIR_TASK_H_

#ifndef SOURCE_CORE_DIAGNOSIS_SHORT_DEADLINE_H_
#define SOURCE_CORE_DIAGNOSIS_SHORT_DEADLINE_H_

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// A caller set a deadline shorter than the usual run time of the queue's tasks.
struct ShortDeadline {
  TaskId task;
  QueueName queue;
  Milliseconds deadline{0};
  Milliseconds usual_run{0};
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_SHORT_DEADLINE_H_

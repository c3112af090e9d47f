#ifndef SOURCE_CORE_OVERLOAD_WAITING_JOB_H_
#define SOURCE_CORE_OVERLOAD_WAITING_JOB_H_

#include "Core/Common/time.h"

namespace daisyroad {

// An open job, as the order under load depends on it. Durations and work are as
// declared and may be far off. Work is the time for which the whole pool would
// be busy with it, in milliseconds.
struct WaitingJob {
  int priority = 0;                  // 0 is the highest
  Milliseconds time_left{0};         // until the objective; negative after it
  Milliseconds objective_length{0};  // from the start until the objective
  Milliseconds critical_path{0};     // remaining
  double waiting_work = 0.0;         // of tasks that have not started
  double running_work = 0.0;         // of tasks that run
  double whole_work = 0.0;
  // `whole_work` relative to the mean of the jobs in its queue.
  double relative_size = 1.0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_OVERLOAD_WAITING_JOB_H_

#ifndef SOURCE_CORE_JOBS_PREVIOUS_RUN_H_
#define SOURCE_CORE_JOBS_PREVIOUS_RUN_H_

namespace daisyroad {

// What the scheduler knows of the previous run of a task when it starts the
// task again.
enum class PreviousRun {
  kNone,         // the task had no run under this scheduler
  kNotFound,     // an earlier scheduler may have started one; none was found
  kEnded,        // its worker reported the end
  kMissing,      // its worker reported without it
  kRefused,      // its worker refused the start order
  kWorkerGone,   // the process of its worker has ended
  kLeaseExpired  // its worker was silent until the lease had expired
};

const char* ToString(PreviousRun previous);

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_PREVIOUS_RUN_H_

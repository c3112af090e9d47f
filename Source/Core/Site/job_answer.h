#ifndef SOURCE_CORE_SITE_JOB_ANSWER_H_
#define SOURCE_CORE_SITE_JOB_ANSWER_H_

#include <string>
#include <variant>

#include "Core/Common/time.h"
#include "Core/Jobs/job_progress.h"

namespace daisyroad {

// Answers to a caller's request.
struct JobAccepted {};
struct JobCancelled {};
struct JobStatusAnswer {
  JobStatus status = JobStatus::kQueued;
};
struct PendingAnswer {
  int jobs = 0;
};
// The job does not exist.
struct JobUnknown {};
// The active declaration has no such queue.
struct QueueUnknown {};
struct CallerUnauthorized {};
struct RequestInvalid {
  std::string reason;
};
// The request had no effect and will have none.
struct RequestRefused {
  std::string reason;
  Milliseconds retry_after{0};
};
// The request may have taken effect.
struct OutcomeUnknown {
  std::string reason;
};

using JobAnswer = std::variant<JobAccepted,
                               JobCancelled,
                               JobStatusAnswer,
                               PendingAnswer,
                               JobUnknown,
                               QueueUnknown,
                               CallerUnauthorized,
                               RequestInvalid,
                               RequestRefused,
                               OutcomeUnknown>;

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_JOB_ANSWER_H_

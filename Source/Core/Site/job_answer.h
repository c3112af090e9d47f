#ifndef SOURCE_CORE_SITE_JOB_ANSWER_H_
#define SOURCE_CORE_SITE_JOB_ANSWER_H_

#include <string>
#include <variant>

#include "Core/Common/time.h"
#include "Core/Jobs/job_progress.h"

namespace daisyroad {

// What a caller is told.
struct JobAccepted {};
struct JobCancelled {};
struct JobStatusAnswer {
  JobStatus status = JobStatus::kQueued;
};
struct PendingAnswer {
  int jobs = 0;
};
// No such job.
struct JobUnknown {};
// No such queue in the declaration in force.
struct QueueUnknown {};
struct CallerUnauthorized {};
struct RequestInvalid {
  std::string reason;
};
// Nothing was done, and nothing of this request will be.
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

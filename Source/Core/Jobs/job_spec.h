#ifndef SOURCE_CORE_JOBS_JOB_SPEC_H_
#define SOURCE_CORE_JOBS_JOB_SPEC_H_

#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/strong_string.h"
#include "Core/Common/time.h"
#include "Core/Jobs/step_spec.h"

namespace daisyroad {

using JobId = StrongString<struct JobIdTag>;

// Definition of a job as submitted by a caller.
struct JobSpec {
  std::string payload;  // passed to each task
  std::vector<StepSpec> steps;
  // Number of occurrences of a scheduled job; 0 for a job that runs once,
  // immediately.
  int occurrences = 0;
  WallMilliseconds first_due;
  Milliseconds interval{0};
};

// An accepted job, as kept in the store.
struct AcceptedJob {
  JobId id;
  QueueName queue;
  PoolName pool;
  TeamName team;
  WallTime accepted_at;
  JobSpec spec;
};

// Returns false and sets `reason` if the job can never run: it has no steps, a
// step has no tasks or too many, or a step depends on itself, on a later step
// or on one that does not exist.
bool IsRunnable(const JobSpec& spec, std::string* reason);

// Returns false and sets `reason` if the job exceeds a limit of job_limits.h.
// Jobs that an earlier version has accepted may exceed them.
bool IsWithinLimits(const JobSpec& spec, std::string* reason);

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_JOB_SPEC_H_

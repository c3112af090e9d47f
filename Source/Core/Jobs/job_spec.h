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

// What a caller submitted.
struct JobSpec {
  std::string payload;  // handed to each task
  std::vector<StepSpec> steps;
  // Scheduled jobs: number of occurrences, 0 for a job that runs once, now.
  int occurrences = 0;
  WallTime first_due;
  Milliseconds interval{0};
};

// A job that was accepted, as kept in the store.
struct AcceptedJob {
  JobId id;
  QueueName queue;
  PoolName pool;
  TeamName team;
  WallTime accepted_at;
  JobSpec spec;
};

// False with a reason if no worker could ever be asked to run the job: no
// steps, steps without tasks, or steps that wait for later ones.
bool IsRunnable(const JobSpec& spec, std::string* reason);

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_JOB_SPEC_H_

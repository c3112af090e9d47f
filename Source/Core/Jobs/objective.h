#ifndef SOURCE_CORE_JOBS_OBJECTIVE_H_
#define SOURCE_CORE_JOBS_OBJECTIVE_H_

#include "Core/Common/time.h"
#include "Core/Jobs/job_progress.h"
#include "Core/Jobs/job_state.h"
#include "Core/Jobs/queue_policy.h"

namespace daisyroad {

// Sums over the declared durations of a job, which may be far off.

// Longest chain of steps that are not done yet.
Milliseconds RemainingChain(const JobState& job);
// Millicore-seconds of the tasks that are not done yet, those that last
// excepted.
double RemainingWork(const JobState& job);
// When the job should be complete; for scheduled jobs, the first occurrence.
WallTime ObjectiveOf(const AcceptedJob& job, const QueuePolicy& policy);

// What a run of the step takes from its worker's capacity.
Resources ReservedBy(const StepSpec& step);
OccurrenceState NewOccurrence(const JobSpec& spec);
// What must be stored of the job.
JobProgress ProgressOf(const JobState& job);

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_OBJECTIVE_H_

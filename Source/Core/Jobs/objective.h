#ifndef SOURCE_CORE_JOBS_OBJECTIVE_H_
#define SOURCE_CORE_JOBS_OBJECTIVE_H_

#include "Core/Common/time.h"
#include "Core/Jobs/job_progress.h"
#include "Core/Jobs/job_state.h"
#include "Core/Jobs/queue_policy.h"

namespace daisyroad {

// Sums over the declared durations of a job, which may be far off.

// Sets what is left of the job: its longest chain of steps that are not done
// yet, and the work of the tasks that are not, those that last excepted. To be
// called after each change of what is done.
void RefreshRemaining(JobState* job);
// When the job should be complete; for scheduled jobs, the first occurrence.
WallTime ObjectiveOf(const AcceptedJob& job, const QueuePolicy& policy);

// What a run of the step takes from its worker's capacity.
Resources ReservedBy(const StepSpec& step);
OccurrenceState NewOccurrence(const JobSpec& spec);
// What must be stored of the job.
JobProgress ProgressOf(const JobState& job);

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_OBJECTIVE_H_

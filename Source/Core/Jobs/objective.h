#ifndef SOURCE_CORE_JOBS_OBJECTIVE_H_
#define SOURCE_CORE_JOBS_OBJECTIVE_H_

#include "Core/Common/time.h"
#include "Core/Jobs/job_progress.h"
#include "Core/Jobs/job_state.h"
#include "Core/Jobs/queue_policy.h"

namespace daisyroad {

// Functions that use the declared durations of a job, which may be far off.

// Updates the remaining critical path and work of the first incomplete
// occurrence; service steps do not count as work. Must be called whenever a
// task is done or an occurrence opens.
void RefreshRemaining(JobState* job);
// Work of one occurrence of the job, in millicore-seconds; service steps do not
// count.
double WholeWork(const JobSpec& spec);
// Returns the target completion time of the job, or that of the first
// occurrence of a scheduled job.
WallMilliseconds ObjectiveOf(const AcceptedJob& job, const QueuePolicy& policy);

// Resources that a run of the step reserves on its worker.
Resources ReservedBy(const StepSpec& step);
OccurrenceState NewOccurrence(const JobSpec& spec);

// Number of times that the steps run; 1 for an unscheduled job.
int CountOccurrences(const JobSpec& spec);
// Number of occurrences that may start; the only one of an unscheduled job
// always may.
int CountDueOccurrences(const JobSpec& spec, WallTime wall);
// Time from the first occurrence until the given one is due.
Milliseconds DueOffset(const JobSpec& spec, int occurrence);
// Whether the job has such a task.
bool HasTask(const JobSpec& spec, const TaskRef& task);
// Returns the part of the job's state that must be saved.
JobProgress ProgressOf(const JobState& job);

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_OBJECTIVE_H_

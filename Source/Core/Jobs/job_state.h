#ifndef SOURCE_CORE_JOBS_JOB_STATE_H_
#define SOURCE_CORE_JOBS_JOB_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/index_ranges.h"
#include "Core/Jobs/job_progress.h"
#include "Core/Jobs/job_spec.h"
#include "Core/Jobs/step_advice.h"
#include "Core/Jobs/task_table.h"

namespace daisyroad {

struct StepState {
  explicit StepState(int task_count) : tasks(task_count) {}

  TaskTable tasks;
  StepAdvice advice;  // for queues with a placement advisor
};

// Progress of one execution of all steps of a job.
struct OccurrenceState {
  std::vector<StepState> steps;
  int steps_done = 0;
  int runs = 0;  // of all its tasks

  bool IsFinished() const {
    return this->steps_done == static_cast<int>(this->steps.size());
  }
};

struct JobState {
  AcceptedJob job;
  JobStatus status = JobStatus::kQueued;
  std::size_t share_account = 0;  // of its team, see TeamShares
  // The open occurrences: those that are not finished or have runs.
  std::map<int, OccurrenceState> occurrences;
  // All occurrences that were opened, and those that are finished.
  IndexRanges opened;
  IndexRanges finished;
  // Some occurrences are due and wait until others have ended.
  bool has_backlog = false;
  int runs = 0;  // of all its tasks
  bool has_started = false;
  // Target completion time, derived from the policy of the queue.
  WallMilliseconds objective;
  // Remaining length of the critical path and remaining work
  // (millicore-seconds), from declared durations; see RefreshRemaining().
  Milliseconds remaining_critical_path{0};
  double remaining_work = 0.0;
  // Work as submitted (millicore-seconds), and relative to the mean of the jobs
  // in the queue.
  double whole_work = 0.0;
  double relative_size = 1.0;
  // The job gives way to others for lack of room, and has done so before.
  bool gives_way = false;
  bool is_owed = false;  // see DelayPlan
  bool was_delayed = false;
  // The job was accepted under an earlier scheduler and may have runs on
  // workers that have not reported to this one yet.
  bool may_have_unknown_runs = false;
  // The job was added while another scheduler may have been the leader; it does
  // not start until this scheduler is known to be the only one.
  bool is_unconfirmed = false;
  // Revisions of the progress that must be saved: the latest, the one being
  // written, and the one in the store.
  std::int64_t revision = 0;
  std::int64_t revision_being_saved = 0;
  std::int64_t saved_revision = 0;
  bool is_being_saved = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_JOB_STATE_H_

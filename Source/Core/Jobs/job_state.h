#ifndef SOURCE_CORE_JOBS_JOB_STATE_H_
#define SOURCE_CORE_JOBS_JOB_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/index_ranges.h"
#include "Core/Jobs/job_progress.h"
#include "Core/Jobs/job_spec.h"
#include "Core/Jobs/previous_run.h"

namespace daisyroad {

enum class RunState {
  kStartSent,       // the start order was sent and is not answered yet
  kActive,          // the worker has confirmed the run
  kStartUncertain,  // the start order got no answer; the run is being stopped
  kStopping,        // a stop order was sent
};

// One attempt to run a task on a worker.
struct RunRecord {
  std::int64_t number = 0;
  WorkerName worker;
  RunState state = RunState::kStartSent;
  MonotonicTime ordered_at;
  // When the worker confirmed the run. Every report requested later must
  // contain it.
  std::optional<MonotonicTime> confirmed_at;
  std::optional<MonotonicTime> stop_sent_at;
  // When the worker's present process answered the stop order. From then on it
  // refuses a start order for this run that arrives late.
  std::optional<MonotonicTime> stop_answered_at;
  // Until this time, a run that this scheduler adopted may still end because an
  // earlier scheduler ordered it to stop.
  std::optional<MonotonicTime> adoption_uncertain_until;
  // Time of the first report that shows the run at full speed.
  std::optional<MonotonicTime> ready_since;
  // The process of the worker that got the start order has crashed.
  bool is_process_lost = false;
  // Number of the last report from the worker that contains the run.
  std::int64_t last_report_seen = 0;
  // Time of the first report in the current unbroken series without load.
  std::optional<MonotonicTime> idle_since;
  std::optional<MonotonicTime> last_seen_at;
  int percent = 100;
  int target_percent = 100;
  std::int64_t load = 0;  // see ActiveRun::load
};

struct TaskState {
  bool is_done = false;
  std::set<std::int64_t> failed_runs;
  std::int64_t last_run = 0;
  PreviousRun previous = PreviousRun::kNone;
  std::string checkpoint;
  WorkerName failed_on;  // worker of the last run that failed or stalled
  CrashRecord crashes;
  // Revision of the job that contains `crashes`.
  std::int64_t crash_revision = 0;
  // Crashes of workers that were lost together are disregarded once.
  bool was_in_joint_loss = false;
  std::vector<RunRecord> runs;
};

struct StepState {
  std::vector<TaskState> tasks;
  int done = 0;
  // Number of tasks that are done or have runs.
  int done_or_running = 0;
  // Tickets by worker, for queues with a placement advisor.
  std::map<WorkerName, std::string> tickets;
  MonotonicTime tickets_valid_until;
  bool is_advice_pending = false;
  MonotonicTime next_advice;
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
  bool has_started = false;
  // Target completion time, derived from the policy of the queue.
  WallTime objective;
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

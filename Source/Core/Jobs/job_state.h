#ifndef SOURCE_CORE_JOBS_JOB_STATE_H_
#define SOURCE_CORE_JOBS_JOB_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/job_progress.h"
#include "Core/Jobs/job_spec.h"

namespace daisyroad {

enum class RunState {
  kOrdered,   // the order to start was sent, no answer yet
  kActive,    // the worker has confirmed it
  kUnsure,    // the order was not answered; it is being stopped
  kStopping,  // the worker was told to stop it
};

// One start of a task on a worker.
struct RunRecord {
  std::int64_t number = 0;
  WorkerName worker;
  RunState state = RunState::kOrdered;
  MonotonicTime ordered_at;
  // Time since which the worker's word includes the run: reports asked for
  // later must show it.
  std::optional<MonotonicTime> confirmed_at;
  std::optional<MonotonicTime> stop_sent_at;
  // The worker has answered the order to stop: the run is or was there, or
  // never will be.
  std::optional<MonotonicTime> stop_answered_at;
  // A run found by a new scheduler is not known to stay before this time.
  std::optional<MonotonicTime> adopted_until;
  // First report that shows the run at work at full speed.
  std::optional<MonotonicTime> at_work_since;
  // Number of the last report of its worker that shows the run.
  std::int64_t shown_in_report = 0;
  // First report of an uninterrupted series that shows no progress.
  std::optional<MonotonicTime> idle_since;
  int percent = 100;
  int wanted_percent = 100;
  std::int64_t load = 0;  // see ActiveRun
};

struct TaskState {
  bool is_done = false;
  std::set<std::int64_t> failed_runs;
  std::int64_t last_run = 0;
  std::string checkpoint;
  WorkerName failed_on;  // where the last run failed
  std::vector<RunRecord> runs;
};

struct StepState {
  std::vector<TaskState> tasks;
  int done = 0;
  // Tickets of the placement advisor, where the queue has one.
  std::map<WorkerName, std::string> tickets;
  MonotonicTime tickets_until;
  bool is_advice_pending = false;
  MonotonicTime next_advice;
};

// One pass through the steps of a job.
struct OccurrenceState {
  std::vector<StepState> steps;
  int steps_done = 0;
};

struct JobState {
  AcceptedJob job;
  JobStatus status = JobStatus::kQueued;
  std::map<int, OccurrenceState> occurrences;
  int occurrences_done = 0;
  bool has_started = false;
  // From the queue's policy.
  WallTime objective;
  // Declared durations and work (millicore-seconds) that are left; see
  // RefreshRemaining().
  Milliseconds remaining_chain{0};
  double remaining_work = 0.0;
  // Known since; jobs found at a change of the scheduler may have runs
  // on workers that have not answered yet.
  bool may_have_unknown_runs = false;
  // Became known while another scheduler may have led.
  bool is_unconfirmed = false;
  // Changes of what must be stored: all, those being written, those stored.
  std::int64_t changes = 0;
  std::int64_t changes_in_flight = 0;
  std::int64_t saved_changes = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_JOB_STATE_H_

#ifndef SOURCE_CORE_JOBS_TASK_STATE_H_
#define SOURCE_CORE_JOBS_TASK_STATE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/job_progress.h"
#include "Core/Jobs/previous_run.h"

namespace daisyroad {

enum class RunState {
  kStartSent,       // the start order was sent and is not answered yet
  kActive,          // the worker has confirmed the run
  kStartUncertain,  // the start order got no answer, and no report shows the
                    // run yet
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
  // When the start order of a service was given up without an answer. A report
  // requested later shows the run if it began, unless the order is executed
  // late.
  std::optional<MonotonicTime> given_up_at;
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
  // The speed may have been set, by this scheduler or an earlier one.
  bool is_paced = false;
  MonotonicTime pace_sent_at;
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

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_TASK_STATE_H_

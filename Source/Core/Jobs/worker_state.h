#ifndef SOURCE_CORE_JOBS_WORKER_STATE_H_
#define SOURCE_CORE_JOBS_WORKER_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "Core/Common/time.h"
#include "Core/Jobs/resources.h"
#include "Core/Jobs/task_ref.h"
#include "Core/Jobs/worker_listing.h"

namespace daisyroad {

// A run end that was reported before the progress of its job was saved. It may
// be acknowledged once `job_revision` of the job is in the store.
struct UnsavedEnd {
  std::int64_t sequence = 0;
  JobId job;
  std::int64_t job_revision = 0;
};

// State that a PoolScheduler keeps for one worker.
struct WorkerState {
  WorkerListing listing;
  bool is_listed = false;
  // Start time of the worker's latest known process, which may not be the one
  // that the listing describes; 0 if unknown.
  std::int64_t incarnation = 0;
  // The worker is recorded in the store, so the next scheduler asks it for its
  // runs.
  bool is_remembered = false;
  // An earlier scheduler stored the worker, so it may have runs of that one.
  bool may_have_unknown_runs = false;
  // The worker has reported to this scheduler since it last restarted. It
  // therefore rejects orders from earlier schedulers, and all its runs are
  // known.
  bool has_reported = false;
  // The worker process has certainly ended and the worker has not reported
  // since.
  bool is_gone = false;
  // The worker is being emptied for planned work on its machine.
  bool is_vacating = false;
  // The worker has restarted while another scheduler may have been the leader.
  bool has_restarted_unled = false;
  // The worker was emptied, so its process may have ended since its last
  // report.
  bool needs_report = false;
  // The worker will be emptied for planned work later.
  bool is_vacate_planned = false;

  // Resources reserved by the runs on this worker. Runs that use idle capacity
  // reserve no CPU.
  Resources used;
  std::set<std::pair<TaskRef, std::int64_t>> runs;
  // Number of service runs, and what they reserve.
  int service_runs = 0;
  Resources service_use;
  // Number of runs that use idle capacity, and of runs with a latency target.
  int idle_capacity_runs = 0;
  int latency_target_runs = 0;

  // The worker's clock in its latest answer, and the local time at which that
  // answer arrived.
  Milliseconds clock{0};
  MonotonicTime clock_at;
  // Latest lease expiry granted, on the worker's clock, and the local time at
  // which that lease has expired even if the worker's clock runs slow.
  Milliseconds lease_until{0};
  MonotonicTime lease_over_at;

  // When a later process of the worker was noticed last.
  MonotonicTime process_changed_at;
  std::int64_t report_count = 0;
  bool is_report_pending = false;
  MonotonicTime next_report;
  MonotonicTime last_report_at;
  // When the last report was requested. The worker may have answered any time
  // since.
  MonotonicTime last_report_asked_at;
  int missed_reports = 0;
  std::int64_t last_received_end = 0;
  // Sequence numbers of run ends: the latest that the worker may discard, the
  // latest acknowledged in a report request, and the latest acknowledged in a
  // request that the worker answered.
  std::int64_t acknowledged_end = 0;
  std::int64_t sent_acknowledgement = 0;
  std::int64_t delivered_acknowledgement = 0;
  MonotonicTime last_end_at;
  std::deque<UnsavedEnd> unsaved_ends;

  // When the worker was last draining or being emptied.
  std::optional<MonotonicTime> planned_end_at;
  // Runs that were dropped when their lease expired, until the next report
  // shows whether the worker's process went on.
  std::set<std::pair<TaskRef, std::int64_t>> expired_runs;
  // The task whose trial the worker is kept free for or runs.
  std::optional<TaskRef> trial;
  // The worker has reported lately. Whether a start that gets no answer crashed
  // its worker is only known on such a worker.
  bool is_report_fresh = false;
  // Number of runs of tasks with crashes.
  int suspect_runs = 0;

  int consecutive_failures = 0;
  MonotonicTime no_starts_before;

  // Whether the listing describes the present process. A later process may have
  // other labels and another capacity, or belong to another pool.
  bool IsListingCurrent() const {
    return this->listing.incarnation == 0 || this->incarnation == 0 ||
           this->listing.incarnation == this->incarnation;
  }
  bool IsReachable() const { return this->missed_reports < 2; }
  // Whether its runs of earlier schedulers, if any, are not known.
  bool AreRunsUnknown() const {
    return this->may_have_unknown_runs && !this->has_reported && !this->is_gone;
  }
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_WORKER_STATE_H_

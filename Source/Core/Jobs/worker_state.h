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

// An end whose job was not written to the store when it was reported.
struct UnsavedEnd {
  std::int64_t sequence = 0;
  JobId job;
  std::int64_t change = 0;
};

// What the scheduler of a pool knows of one worker.
struct WorkerState {
  WorkerListing listing;
  bool is_listed = false;
  // A later scheduler would ask this worker what it runs.
  bool is_remembered = false;
  // The worker has answered this scheduler, so it refuses orders of earlier
  // ones, and all that it runs is known.
  bool is_known = false;
  // Its life is over for certain and it has not answered since.
  bool is_gone = false;
  // Planned work on the worker's machine waits for it to be empty.
  bool is_vacating = false;
  // It will, but not yet.
  bool is_due = false;

  // Reserved by the runs on it; runs that use idle capacity reserve no
  // processor.
  Resources used;
  std::set<std::pair<TaskRef, std::int64_t>> runs;
  // Number of runs of tasks that last, and what they reserve.
  int service_runs = 0;
  std::int64_t service_millicores = 0;
  // Number of runs that use idle capacity, and of service runs with a target.
  int idle_capacity_runs = 0;
  int targeted_runs = 0;

  // The worker's clock when its last answer was sent, and when that arrived.
  Milliseconds clock{0};
  MonotonicTime clock_at;
  // Latest end of a lease given, on the worker's clock, and the local time by
  // which it has passed for certain.
  Milliseconds lease_until{0};
  MonotonicTime lease_over_at;

  std::int64_t report_count = 0;
  bool is_report_pending = false;
  MonotonicTime next_report;
  MonotonicTime last_report_at;
  int missed_reports = 0;
  std::int64_t seen_end = 0;
  // Latest end that may be forgotten; that the last report asked for told the
  // worker to forget; that an answered one did.
  std::int64_t acknowledged_end = 0;
  std::int64_t asked_end = 0;
  std::int64_t delivered_end = 0;
  MonotonicTime last_end_at;
  std::deque<UnsavedEnd> unsaved_ends;

  int failures_in_row = 0;
  MonotonicTime no_starts_before;

  bool IsReachable() const { return this->missed_reports < 2; }
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_WORKER_STATE_H_

// How the scheduler keeps in touch with its workers: leases that end, reports
// to be asked for, orders to be repeated, and workers to be left alone.

#include <algorithm>

#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {

void PoolScheduler::ExpireLeases(MonotonicTime now) {
  if (!this->is_sole) {
    return;
  }
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    WorkerState& worker = entry.second;
    if (worker.runs.empty() || worker.IsReachable() ||
        now < worker.lease_over_at) {
      continue;
    }
    this->Note("leases_over", TaskRef(), 0, entry.first,
               std::to_string(worker.runs.size()) + " runs lapsed");
    const std::set<std::pair<TaskRef, std::int64_t>> runs = worker.runs;
    for (const std::pair<TaskRef, std::int64_t>& run : runs) {
      this->RemoveRun(run.first, run.second);
    }
  }
}

void PoolScheduler::AskReports(MonotonicTime now) {
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    WorkerState& worker = entry.second;
    const bool owes_ends =
        worker.delivered_end < worker.acknowledged_end &&
        now >= worker.last_end_at + this->settings.acknowledge_pause;
    const bool is_needed = !worker.is_known || !worker.runs.empty() ||
                           !worker.IsReachable() || owes_ends;
    // A worker answers at once while ends are not acknowledged.
    const bool awaits_save =
        worker.acknowledged_end < worker.seen_end &&
        now < worker.last_report_at + this->settings.unsaved_pause;
    if (worker.is_report_pending || now < worker.next_report || !is_needed ||
        awaits_save) {
      continue;
    }
    AskReport ask;
    ask.worker = entry.first;
    // After a missed answer the worker may be in a new life, with ends of its
    // own under the same numbers.
    ask.acknowledged = worker.missed_reports == 0 ? worker.acknowledged_end : 0;
    worker.asked_end = ask.acknowledged;
    if (worker.is_known && worker.missed_reports == 0 && !worker.runs.empty() &&
        !this->HasRunThatMayNeverCome(worker)) {
      ask.wait = this->settings.report_wait;
    }
    // A worker that does not answer may still hear: its leases must end.
    if (worker.is_known && !worker.runs.empty() && worker.missed_reports == 0) {
      ask.lease_until = this->LeaseFor(&worker, now);
    }
    worker.is_report_pending = true;
    this->orders.emplace_back(ask);
  }
}

bool PoolScheduler::HasRunThatMayNeverCome(const WorkerState& worker) {
  for (const std::pair<TaskRef, std::int64_t>& key : worker.runs) {
    const RunRecord* const run = this->FindRun(key.first, key.second);
    if (run->state == RunState::kUnsure && run->stop_answered_at) {
      return true;
    }
  }
  return false;
}

void PoolScheduler::RepeatStops(MonotonicTime now) {
  if (!this->has_open_stops) {
    return;
  }
  this->has_open_stops = false;
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    for (const std::pair<TaskRef, std::int64_t>& key : entry.second.runs) {
      RunRecord* const run = this->FindRun(key.first, key.second);
      if (!run->stop_sent_at || run->stop_answered_at) {
        continue;
      }
      this->has_open_stops = true;
      if (now - *run->stop_sent_at >= this->settings.stop_retry) {
        run->stop_sent_at = now;
        this->orders.emplace_back(StopRun{entry.first, key.first, key.second});
      }
    }
  }
}

void PoolScheduler::ForgetEmptyWorkers(MonotonicTime now) {
  const bool may_run_unknown = now < this->unknown_runs_over_at;
  std::erase_if(
      this->workers,
      [may_run_unknown](const std::pair<const WorkerName, WorkerState>& entry) {
        const WorkerState& worker = entry.second;
        return !worker.is_listed && worker.runs.empty() &&
               (worker.is_known || worker.is_gone || !may_run_unknown);
      });
}

void PoolScheduler::CountOutcome(WorkerState* worker,
                                 bool is_failure,
                                 MonotonicTime now) {
  if (!is_failure) {
    worker->failures_in_row = 0;
    return;
  }
  if (++worker->failures_in_row < this->settings.failures_before_suspension) {
    return;
  }
  // A cause that most workers share is not the workers' fault.
  const std::ptrdiff_t suspended = std::count_if(
      this->workers.begin(), this->workers.end(),
      [now](const std::pair<const WorkerName, WorkerState>& entry) {
        return entry.second.no_starts_before > now;
      });
  if (2 * suspended < static_cast<std::ptrdiff_t>(this->workers.size())) {
    worker->no_starts_before = now + this->settings.suspension;
    this->Note("worker_suspended", TaskRef(), 0, worker->listing.name,
               std::to_string(worker->failures_in_row) + " failures in a row");
  }
}

}  // namespace daisyroad

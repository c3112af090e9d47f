// Contact between the scheduler and its workers: expired leases, report
// requests, repeated stop orders, and suspension of failing workers.

#include <algorithm>

#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {

void PoolScheduler::ExpireLeases(MonotonicTime now) {
  if (!this->is_sole_leader) {
    return;
  }
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    WorkerState& worker = entry.second;
    if (worker.runs.empty() || worker.IsReachable() ||
        now < worker.lease_over_at) {
      continue;
    }
    this->RecordDecision(
        "leases_over", TaskRef(), 0, entry.first,
        std::to_string(worker.runs.size()) + " runs dropped, lease expired");
    const std::set<std::pair<TaskRef, std::int64_t>> runs = worker.runs;
    for (const std::pair<TaskRef, std::int64_t>& run : runs) {
      this->RemoveRun(run.first, run.second, PreviousRun::kLeaseExpired);
    }
    worker.expired_runs.insert(runs.begin(), runs.end());
  }
}

void PoolScheduler::AskReports(MonotonicTime now) {
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    WorkerState& worker = entry.second;
    const bool has_ends_to_acknowledge =
        worker.delivered_acknowledgement < worker.acknowledged_end &&
        now >= worker.last_end_at + this->settings.acknowledge_delay;
    const bool must_be_fresh =
        (!worker.is_report_fresh &&
         (!this->suspects.empty() || this->HasWantedLabel(worker.listing))) ||
        !this->is_sole_leader ||
        (worker.trial &&
         now >= worker.last_report_at + this->settings.trial_report_wait);
    const bool is_needed = !worker.has_reported || worker.needs_report ||
                           !worker.runs.empty() || !worker.IsReachable() ||
                           has_ends_to_acknowledge || must_be_fresh;
    // A worker with unacknowledged ends answers immediately, so asking it again
    // before they are saved would only repeat them.
    const bool is_awaiting_save =
        worker.acknowledged_end < worker.last_received_end &&
        now < worker.last_report_at + this->settings.unsaved_report_interval;
    if (worker.is_report_pending || now < worker.next_report || !is_needed ||
        is_awaiting_save) {
      continue;
    }
    AskReport ask;
    ask.worker = entry.first;
    // The worker may have restarted and reused the sequence numbers for
    // different ends, so acknowledgements are neither repeated once they were
    // answered nor sent after a missed report.
    ask.acknowledged =
        worker.missed_reports == 0 &&
                worker.acknowledged_end > worker.delivered_acknowledgement
            ? worker.acknowledged_end
            : 0;
    worker.sent_acknowledgement = ask.acknowledged;
    // While another scheduler may lead, a request is held at each worker, since
    // its failure shows at once that the worker's process has ended.
    if (worker.has_reported && worker.missed_reports == 0 &&
        (!worker.runs.empty() || !this->is_sole_leader) &&
        !this->AwaitsStopConfirmation(worker)) {
      ask.wait = worker.trial           ? this->settings.trial_report_wait
                 : this->is_sole_leader ? this->settings.report_wait
                                        : this->settings.unled_report_wait;
    }
    // A worker whose answers are lost may still receive requests. Its leases
    // are not renewed, so that they expire.
    if (worker.has_reported && !worker.runs.empty() &&
        worker.missed_reports == 0) {
      ask.lease_until = this->ExtendLease(&worker, now);
    }
    worker.is_report_pending = true;
    this->orders.emplace_back(ask);
  }
}

bool PoolScheduler::HasWantedLabel(const WorkerListing& worker) const {
  return std::any_of(worker.labels.begin(), worker.labels.end(),
                     [this](const std::string& label) {
                       return this->wanted_labels.contains(label);
                     });
}

bool PoolScheduler::AwaitsStopConfirmation(const WorkerState& worker) {
  for (const std::pair<TaskRef, std::int64_t>& key : worker.runs) {
    const RunRecord* const run = this->FindRun(key.first, key.second);
    if (run->state == RunState::kStartUncertain &&
        (run->stop_answered_at || !run->stop_sent_at)) {
      return true;
    }
  }
  return false;
}

void PoolScheduler::RepeatStops(MonotonicTime now) {
  if (!this->has_pending_stops) {
    return;
  }
  this->has_pending_stops = false;
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    for (const std::pair<TaskRef, std::int64_t>& key : entry.second.runs) {
      RunRecord* const run = this->FindRun(key.first, key.second);
      if (!run->stop_sent_at || run->stop_answered_at) {
        continue;
      }
      this->has_pending_stops = true;
      if (now - *run->stop_sent_at >= this->settings.stop_retry_interval) {
        run->stop_sent_at = now;
        this->orders.emplace_back(StopRun{entry.first, key.first, key.second});
      }
    }
  }
}

void PoolScheduler::RemoveUnlistedWorkers(MonotonicTime now) {
  const bool may_run_unknown = now < this->unknown_runs_over_at;
  std::erase_if(this->workers,
                [this, may_run_unknown](
                    const std::pair<const WorkerName, WorkerState>& entry) {
                  const WorkerState& worker = entry.second;
                  return !worker.is_listed && worker.runs.empty() &&
                         !this->HasUnsavedEnds(worker) &&
                         !(worker.AreRunsUnknown() && may_run_unknown);
                });
}

bool PoolScheduler::HasUnsavedEnds(const WorkerState& worker) const {
  return std::any_of(
      worker.unsaved_ends.begin(), worker.unsaved_ends.end(),
      [this](const UnsavedEnd& end) {
        const std::unordered_map<JobId, JobState>::const_iterator job =
            this->jobs.find(end.job);
        return job != this->jobs.end() &&
               job->second.saved_revision < end.job_revision;
      });
}

void PoolScheduler::RecordRunOutcome(WorkerState* worker,
                                     bool is_failure,
                                     MonotonicTime now) {
  if (!is_failure) {
    worker->consecutive_failures = 0;
    return;
  }
  if (++worker->consecutive_failures <
      this->settings.failures_before_suspension) {
    return;
  }
  // A cause shared by most workers is not their fault, so no further worker is
  // suspended once half of them get no new runs.
  const std::ptrdiff_t suspended = std::count_if(
      this->workers.begin(), this->workers.end(),
      [now](const std::pair<const WorkerName, WorkerState>& entry) {
        return entry.second.no_starts_before > now;
      });
  if (2 * suspended < static_cast<std::ptrdiff_t>(this->workers.size())) {
    worker->no_starts_before = now + this->settings.suspension_duration;
    this->RecordDecision(
        "worker_suspended", TaskRef(), 0, worker->listing.name,
        std::to_string(worker->consecutive_failures) + " consecutive failures");
  }
}

}  // namespace daisyroad

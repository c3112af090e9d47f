// Handling of worker reports and answers to orders: worker clocks, leases,
// active runs and run ends.

#include <algorithm>
#include <utility>

#include "Core/Jobs/objective.h"
#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {
namespace {

// Highest number of ends in one report. A report with this many may omit later
// ends.
constexpr std::size_t kMaxEndsPerReport = 500;
// The clocks in answers that arrive out of order differ by less than this.
constexpr Milliseconds kClockReorderTolerance{1000};

}  // namespace

void PoolScheduler::SetListing(
    const std::map<WorkerName, WorkerListing>& listing,
    MonotonicTime now) {
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    entry.second.is_listed = listing.contains(entry.first);
  }
  for (const std::pair<const WorkerName, WorkerListing>& entry : listing) {
    const bool is_new = !this->workers.contains(entry.first);
    WorkerState& worker = this->workers[entry.first];
    if (!is_new && entry.second.incarnation > worker.incarnation &&
        worker.incarnation != 0) {
      this->HandleWorkerRestart(&worker, now);
    }
    worker.incarnation = std::max(worker.incarnation, entry.second.incarnation);
    // The next scheduler would ask at the address that is stored.
    worker.is_remembered &= worker.listing.address == entry.second.address;
    worker.listing = entry.second;
    worker.is_listed = true;
    if (is_new) {
      worker.next_report = now;
    }
  }
}

void PoolScheduler::ExpectRunsOn(const std::vector<WorkerListing>& workers,
                                 MonotonicTime now) {
  for (const WorkerListing& listing : workers) {
    const bool is_known = this->workers.contains(listing.name);
    WorkerState& worker = this->workers[listing.name];
    worker.may_have_unknown_runs = true;
    if (!is_known) {
      worker.listing = listing;
      worker.next_report = now;
    }
  }
}

std::vector<WorkerListing> PoolScheduler::WorkersToRemember() const {
  std::vector<WorkerListing> listings;
  for (const std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    listings.push_back(entry.second.listing);
  }
  return listings;
}

void PoolScheduler::SetRemembered(const std::set<WorkerName>& workers) {
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    entry.second.is_remembered = workers.contains(entry.first);
  }
}

void PoolScheduler::SetUnknownRunsOver(MonotonicTime time) {
  this->unknown_runs_over_at = std::min(this->unknown_runs_over_at, time);
}

void PoolScheduler::OnReport(const WorkerName& name,
                             const RunReport& report,
                             MonotonicTime asked_at,
                             MonotonicTime now) {
  const std::map<WorkerName, WorkerState>::iterator found =
      this->workers.find(name);
  if (found == this->workers.end()) {
    return;
  }
  WorkerState& worker = found->second;
  worker.is_report_pending = false;
  worker.next_report = now;
  if (!worker.runs.empty()) {
    worker.next_report +=
        this->settings.report_interval_per_worker * this->workers.size();
  }
  if (asked_at < worker.process_changed_at) {
    // The earlier process may have answered. Its ends must not be acknowledged
    // to the later one, which numbers its own from 1.
    worker.next_report = now;
    return;
  }
  worker.last_report_at = now;
  worker.last_report_asked_at = asked_at;
  worker.missed_reports = 0;
  if (report.incarnation != worker.incarnation && report.incarnation != 0) {
    if (worker.incarnation != 0) {
      this->HandleWorkerRestart(&worker, now);
    }
    worker.incarnation = report.incarnation;
    if (!worker.IsListingCurrent()) {
      this->RecordDecision("worker_listing_outdated", TaskRef(), 0, name,
                           "it describes an earlier process");
    }
  }
  worker.expired_runs.clear();
  if (worker.planned_end_at && *worker.planned_end_at <= asked_at &&
      !worker.is_vacating && !worker.listing.is_draining) {
    worker.planned_end_at.reset();
  }
  worker.has_reported = true;
  worker.needs_report = false;
  worker.is_gone = false;
  ++worker.report_count;
  worker.delivered_acknowledgement =
      std::max(worker.delivered_acknowledgement, worker.sent_acknowledgement);
  this->UpdateWorkerClock(&worker, report.worker_clock, now);
  for (const RunEnd& end : report.ended) {
    if (end.sequence > worker.last_received_end) {
      worker.last_received_end = end.sequence;
      worker.last_end_at = now;
      this->HandleRunEnd(&worker, end, now);
    }
  }
  for (const ActiveRun& active : report.active) {
    this->HandleActiveRun(&worker, active, now);
  }
  if (report.ended.size() < kMaxEndsPerReport) {
    this->DropMissingRuns(&worker, asked_at, now);
  }
  this->AcknowledgeSavedEnds(&worker);
  this->ThrottleIdleCapacityRuns(&worker, now);
}

void PoolScheduler::OnReportFailed(const WorkerName& name, MonotonicTime now) {
  const std::map<WorkerName, WorkerState>::iterator found =
      this->workers.find(name);
  if (found == this->workers.end()) {
    return;
  }
  WorkerState& worker = found->second;
  worker.is_report_pending = false;
  ++worker.missed_reports;
  const Milliseconds pause =
      std::min((worker.missed_reports - 1) * this->settings.retry_delay,
               this->settings.max_retry_delay);
  worker.next_report = now + (worker.is_gone && worker.missed_reports > 1
                                  ? this->settings.gone_retry_delay
                                  : pause);
  if (worker.missed_reports == 2) {
    this->RecordDecision("worker_unreachable", TaskRef(), 0, name,
                         "two reports missed");
  }
}

void PoolScheduler::OnWorkerGone(const WorkerName& name,
                                 MonotonicTime observed_from,
                                 MonotonicTime now,
                                 WorkerEnd end) {
  const std::map<WorkerName, WorkerState>::iterator found =
      this->workers.find(name);
  if (found == this->workers.end()) {
    return;
  }
  WorkerState& worker = found->second;
  // The report may come from a later process.
  if (worker.last_report_at >= observed_from) {
    return;
  }
  // Another scheduler may have received the ends of these runs and then
  // released the machine.
  if (!this->is_sole_leader && !worker.runs.empty()) {
    return;
  }
  std::set<RunKey> lost;
  // Includes runs without an answer, which the process may have begun.
  std::set<RunKey> suspected;
  for (const RunKey& key : worker.runs) {
    const RunRecord& run = *this->FindRun(key.first, key.second);
    if (IsAnsweredBefore(run, observed_from)) {
      lost.insert(key);
    }
    if (run.ordered_at < observed_from) {
      suspected.insert(key);
    }
  }
  if (worker.is_gone && lost.empty()) {
    return;
  }
  this->RecordDecision(
      "worker_gone", TaskRef(), 0, name,
      std::to_string(lost.size()) + " runs lost" +
          (end == WorkerEnd::kPlanned ? ", planned work" : ""));
  if (end == WorkerEnd::kPlanned) {
    worker.planned_end_at = now;
  } else if (end == WorkerEnd::kDown && !worker.listing.is_draining) {
    worker.planned_end_at.reset();
  }
  this->HandleCrash(&worker, worker.is_gone ? lost : suspected, now);
  for (const RunKey& run : lost) {
    this->RemoveRun(run.first, run.second, PreviousRun::kWorkerGone);
  }
  if (!worker.is_gone) {
    this->HandleWorkerRestart(&worker, now);
    worker.is_gone = true;
  }
}

bool PoolScheduler::IsAnsweredBefore(const RunRecord& run, MonotonicTime time) {
  // An order that is not answered yet may reach the next process.
  return run.state != RunState::kStartSent && run.ordered_at < time &&
         (!run.confirmed_at || *run.confirmed_at < time);
}

void PoolScheduler::HandleWorkerRestart(WorkerState* worker,
                                        MonotonicTime now) {
  // Runs are kept, since some may have started in the new process already. Its
  // next report shows which of the confirmed runs still exist.
  this->RecordDecision(
      "worker_restarted", TaskRef(), 0, worker->listing.name,
      std::to_string(worker->runs.size()) + " runs unconfirmed");
  worker->process_changed_at = now;
  worker->last_received_end = 0;
  worker->acknowledged_end = 0;
  worker->delivered_acknowledgement = 0;
  worker->sent_acknowledgement = 0;
  worker->unsaved_ends.clear();
  worker->clock = Milliseconds(0);
  worker->lease_until = Milliseconds(0);
  worker->has_reported = false;
  worker->has_restarted_unled |= !this->is_sole_leader;
  worker->missed_reports = 0;
  worker->consecutive_failures = 0;
  worker->no_starts_before = MonotonicTime();
  worker->next_report = now;
  for (const std::pair<TaskRef, std::int64_t>& key : worker->runs) {
    RunRecord* const run = this->FindRun(key.first, key.second);
    run->is_process_lost = !worker->planned_end_at ||
                           !this->IsEndPlanned(*worker, now) ||
                           run->ordered_at > *worker->planned_end_at;
    if (run->stop_answered_at && !run->confirmed_at) {
      // The new process would not refuse a start order that arrives late.
      run->stop_answered_at.reset();
      run->stop_sent_at = MonotonicTime();
      this->has_pending_stops = true;
    }
  }
  this->HandleCrash(worker, std::exchange(worker->expired_runs, {}), now);
  worker->planned_end_at.reset();
}

std::vector<WorkerName> PoolScheduler::SilentWorkers(MonotonicTime now) const {
  std::vector<WorkerName> silent;
  for (const std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    const WorkerState& worker = entry.second;
    const bool may_run_unknown =
        worker.AreRunsUnknown() && now < this->unknown_runs_over_at;
    if (worker.missed_reports > 0 &&
        (may_run_unknown || !worker.runs.empty())) {
      silent.push_back(entry.first);
    }
  }
  return silent;
}

void PoolScheduler::OnStart(const StartRun& order,
                            StartOutcome outcome,
                            std::optional<Milliseconds> worker_clock,
                            MonotonicTime now) {
  --this->unanswered_starts;
  const std::map<WorkerName, WorkerState>::iterator found =
      this->workers.find(order.worker);
  if (found == this->workers.end()) {
    return;
  }
  WorkerState& worker = found->second;
  RunRecord* const run = this->FindRun(order.task, order.run);
  const bool is_from_present_process =
      run == nullptr || run->ordered_at >= worker.process_changed_at;
  if (worker_clock && is_from_present_process) {
    // The worker's clock restarts with each process, and so do the sequence
    // numbers of its ends. Ends of the new process must not be acknowledged
    // with the old numbers.
    if (*worker_clock + kClockReorderTolerance < worker.clock) {
      this->HandleWorkerRestart(&worker, now);
    }
    this->UpdateWorkerClock(&worker, *worker_clock, now);
  }
  if (run == nullptr || run->worker != order.worker) {
    return;
  }
  switch (outcome) {
    case StartOutcome::kStarted:
      if (!run->confirmed_at) {
        run->confirmed_at = now;
      }
      if (run->state == RunState::kStartSent) {
        run->state = RunState::kActive;
      }
      run->is_process_lost = false;
      return;
    case StartOutcome::kUnknown:
      this->HandleUnknownStart(order, run, &worker, now);
      return;
    case StartOutcome::kFenced:
      this->is_fenced = true;
      break;
    case StartOutcome::kNoRoom:
      worker.no_starts_before = now + this->settings.full_worker_delay;
      break;
    case StartOutcome::kUnhealthy:
    case StartOutcome::kInvalid:
      worker.no_starts_before = now + this->settings.suspension_duration;
      break;
    case StartOutcome::kNotReceived:
    case StartOutcome::kOtherWorker:
      worker.no_starts_before = now + this->settings.retry_delay;
      worker.missed_reports = std::max(worker.missed_reports, 1);
      worker.next_report = now;
      break;
    case StartOutcome::kNoTicket:
      this->FindStep(order.task)->advice.Withdraw(order.worker, now);
      break;
    case StartOutcome::kStaleRun:
      // A run that has ended is refused like one that was stopped before it
      // started; the next report tells which it was.
      this->RecordDecision("start_refused", order.task, order.run, order.worker,
                           ToString(outcome));
      run->state = RunState::kStartUncertain;
      run->stop_answered_at = now;
      worker.next_report = std::min(worker.next_report, now);
      return;
    case StartOutcome::kLeaseEnded:
      break;
  }
  this->RecordDecision("start_refused", order.task, order.run, order.worker,
                       ToString(outcome));
  this->RemoveRun(order.task, order.run, PreviousRun::kRefused);
}

void PoolScheduler::HandleUnknownStart(const StartRun& order,
                                       RunRecord* run,
                                       WorkerState* worker,
                                       MonotonicTime now) {
  if (run->state != RunState::kStartSent) {
    this->RecordDecision("start_unknown", order.task, order.run, order.worker,
                         "no answer; the run is reported");
    return;
  }
  if (!this->SpecOf(this->jobs.at(order.task.job), order.task).is_service) {
    this->RecordDecision("start_unknown", order.task, order.run, order.worker,
                         "no answer; stopping the run");
    this->StopRunOf(order.task, run, now);
    return;
  }
  // Stopping a service that has begun may exceed its disruption budget.
  this->RecordDecision("start_unknown", order.task, order.run, order.worker,
                       "no answer; asking for a report");
  run->state = RunState::kStartUncertain;
  run->given_up_at = now;
  worker->next_report = std::min(worker->next_report, now);
}

void PoolScheduler::OnStop(const StopRun& order,
                           bool is_answered,
                           MonotonicTime asked_at,
                           MonotonicTime now) {
  RunRecord* const run = this->FindRun(order.task, order.run);
  if (run == nullptr || run->worker != order.worker || !is_answered) {
    return;
  }
  WorkerState& worker = this->workers.at(order.worker);
  worker.next_report = std::min(worker.next_report, now);
  if (asked_at < worker.process_changed_at && !run->confirmed_at) {
    // The earlier process may have answered.
    run->stop_sent_at = MonotonicTime();
    this->has_pending_stops = true;
    return;
  }
  run->stop_answered_at = now;
}

void PoolScheduler::UpdateWorkerClock(WorkerState* worker,
                                      Milliseconds clock,
                                      MonotonicTime now) {
  // Answers may arrive out of order; an older one must not set the clock back.
  if (clock >= worker->clock) {
    worker->clock = clock;
    worker->clock_at = now;
  }
}

Milliseconds PoolScheduler::ExtendLease(WorkerState* worker,
                                        MonotonicTime now) {
  if (worker->clock.count() == 0) {
    return Milliseconds(0);
  }
  const Milliseconds elapsed =
      std::chrono::duration_cast<Milliseconds>(now - worker->clock_at);
  const Milliseconds until =
      worker->clock + elapsed + this->settings.longest_lease;
  worker->lease_until = std::max(worker->lease_until, until);
  const double remaining =
      static_cast<double>((worker->lease_until - worker->clock).count());
  worker->lease_over_at =
      worker->clock_at + this->settings.lease_margin +
      Milliseconds(static_cast<std::int64_t>(
          remaining / (1.0 - this->settings.worker_clock_drift)));
  return worker->lease_until;
}

void PoolScheduler::HandleRunEnd(WorkerState* worker,
                                 const RunEnd& end,
                                 MonotonicTime now) {
  const std::unordered_map<JobId, JobState>::iterator found =
      this->jobs.find(end.task.job);
  this->RecordDecision("run_ended", end.task, end.run, worker->listing.name,
                       ToString(end.kind));
  if (found == this->jobs.end() || !HasTask(found->second.job.spec, end.task)) {
    return;
  }
  JobState& job = found->second;
  const RunRecord* const run = this->FindRun(end.task, end.run);
  if (run != nullptr && run->worker == worker->listing.name) {
    this->RemoveRun(end.task, end.run, PreviousRun::kEnded);
  }
  job.has_started = true;
  if (!IsFinal(job.status) && !job.finished.Contains(end.task.occurrence)) {
    this->RecordTaskEnd(worker, &job, end, now);
  }
  // This includes ends of jobs that are already closed: until the final status
  // is saved, a later scheduler would run their tasks again.
  if (job.revision != job.saved_revision) {
    worker->unsaved_ends.push_back(
        UnsavedEnd{end.sequence, job.job.id, job.revision});
  }
}

void PoolScheduler::RecordTaskEnd(WorkerState* worker,
                                  JobState* job,
                                  const RunEnd& end,
                                  MonotonicTime now) {
  this->OpenOccurrence(job, end.task.occurrence);
  if (this->FindTask(end.task)->is_done) {
    return;
  }
  this->CloseStart(end.task, end.run);
  TaskState* const task = this->OpenTask(end.task);
  task->last_run = std::max(task->last_run, end.run);
  if (!end.checkpoint.empty()) {
    task->checkpoint = end.checkpoint;
  }
  if (end.kind == EndKind::kDone) {
    this->RecordRunOutcome(worker, false, now);
    this->MarkUnsaved(job);
    this->FinishTask(job, end.task, now);
  } else if (end.kind == EndKind::kFailed) {
    this->RecordRunOutcome(worker, true, now);
    task->failed_on = worker->listing.name;
    this->FailTask(job, end.task, end.run, now);
  }
}

void PoolScheduler::HandleActiveRun(WorkerState* worker,
                                    const ActiveRun& active,
                                    MonotonicTime now) {
  const std::unordered_map<JobId, JobState>::iterator found =
      this->jobs.find(active.task.job);
  TaskState* const task = this->OpenTask(active.task);
  if (task == nullptr) {
    this->RecordDecision("run_stopped", active.task, active.run,
                         worker->listing.name, "unknown job or task");
    this->orders.emplace_back(
        StopRun{worker->listing.name, active.task, active.run});
    return;
  }
  JobState& job = found->second;
  RunRecord* run = this->FindRun(active.task, active.run);
  if (run != nullptr && run->worker != worker->listing.name) {
    this->RecordDecision("run_stopped", active.task, active.run,
                         worker->listing.name,
                         "the run was assigned to another worker");
    this->orders.emplace_back(
        StopRun{worker->listing.name, active.task, active.run});
    return;
  }
  if (run == nullptr) {
    this->RecordDecision("run_adopted", active.task, active.run,
                         worker->listing.name, "reported by its worker");
    run =
        this->AddRun(&job, active.task, active.run, worker->listing.name, now);
    run->state = RunState::kActive;
    run->is_paced = true;
    run->target_percent = active.percent;
    if (active.run < this->first_run &&
        this->adopted_runs.emplace(active.task, active.run).second) {
      this->adopted[job.job.team] += this->SpecOf(job, active.task).request;
    }
    // An earlier scheduler may have ordered the worker to stop the run.
    run->adoption_uncertain_until = now + this->settings.longest_stop;
    const bool is_surplus =
        task->runs.size() > 1 && !this->SpecOf(job, active.task).allows_copies;
    if (IsFinal(job.status) || task->is_done || is_surplus) {
      this->StopRunOf(active.task, run, now);
    }
  }
  if (!run->confirmed_at) {
    run->confirmed_at = now;
  }
  if (run->state == RunState::kStartSent) {
    run->state = RunState::kActive;
  } else if (run->state == RunState::kStartUncertain) {
    run->state = run->stop_sent_at ? RunState::kStopping : RunState::kActive;
  }
  run->is_process_lost = false;
  run->last_report_seen = worker->report_count;
  run->last_seen_at = now;
  run->percent = active.percent;
  run->load = active.load;
  const bool is_idle =
      active.load == 0 && active.percent == 100 &&
      this->SpecOf(job, active.task).latency_target.count() == 0;
  if (!is_idle) {
    run->idle_since.reset();
  } else if (!run->idle_since) {
    run->idle_since = now;
  }
  if (active.percent == 100 && !run->ready_since) {
    run->ready_since = now;
  }
  if (!active.checkpoint.empty()) {
    task->checkpoint = active.checkpoint;
  }
}

void PoolScheduler::DropMissingRuns(WorkerState* worker,
                                    MonotonicTime asked_at,
                                    MonotonicTime now) {
  // A later scheduler may have received the ends from the earlier process.
  if (!this->is_sole_leader && worker->has_restarted_unled) {
    return;
  }
  std::vector<std::pair<TaskRef, std::int64_t>> missing;
  std::set<std::pair<TaskRef, std::int64_t>> lost;
  for (const std::pair<TaskRef, std::int64_t>& key : worker->runs) {
    RunRecord* const run = this->FindRun(key.first, key.second);
    if (run->last_report_seen == worker->report_count) {
      continue;
    }
    if (run->state == RunState::kStartUncertain && !run->stop_sent_at &&
        run->given_up_at && *run->given_up_at <= asked_at) {
      this->RecordDecision("start_not_found", key.first, key.second,
                           worker->listing.name, "no answer; stopping the run");
      this->StopRunOf(key.first, run, now);
    }
    const bool was_confirmed =
        run->confirmed_at && *run->confirmed_at <= asked_at;
    const bool is_stop_confirmed =
        run->stop_answered_at && *run->stop_answered_at <= asked_at;
    if (was_confirmed || is_stop_confirmed) {
      this->RecordDecision(
          "run_missing", key.first, key.second, worker->listing.name,
          is_stop_confirmed ? "stopped before it started" : "not reported");
      missing.push_back(key);
      if (run->is_process_lost) {
        lost.insert(key);
      }
    }
  }
  if (!lost.empty()) {
    this->HandleCrash(worker, lost, now);
  }
  for (const std::pair<TaskRef, std::int64_t>& key : missing) {
    this->RemoveRun(key.first, key.second, PreviousRun::kMissing);
  }
}

void PoolScheduler::AcknowledgeSavedEnds(WorkerState* worker) {
  while (!worker->unsaved_ends.empty()) {
    const UnsavedEnd& end = worker->unsaved_ends.front();
    const std::unordered_map<JobId, JobState>::const_iterator job =
        this->jobs.find(end.job);
    if (job != this->jobs.end() &&
        job->second.saved_revision < end.job_revision) {
      worker->acknowledged_end =
          std::max(worker->acknowledged_end, end.sequence - 1);
      return;
    }
    worker->unsaved_ends.pop_front();
  }
  worker->acknowledged_end = worker->last_received_end;
}

}  // namespace daisyroad

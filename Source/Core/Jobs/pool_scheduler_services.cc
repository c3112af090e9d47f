// Service tasks: evicting them from workers that are being emptied, within
// their disruption budget; throttling idle-capacity runs that raise the latency
// of services; and stopping stalled runs.

#include <algorithm>

#include "Core/Jobs/objective.h"
#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {
namespace {

// Tail latency of a service, as a fraction of its target, above which
// idle-capacity runs on its worker are slowed down, and below which they are
// sped up again.
constexpr double kThrottleAbove = 0.85;
constexpr double kUnthrottleBelow = 0.5;
// Percentage points of speed that a throttled run regains with each report
// below kUnthrottleBelow; it loses twice as many with each one above
// kThrottleAbove.
constexpr int kThrottleStepPercent = 25;
// Time until a change of speed that no report shows is ordered again.
constexpr Milliseconds kPaceRetryInterval{500};

}  // namespace

void PoolScheduler::EvictServices(MonotonicTime now) {
  // Tasks that must leave now use the disruption budgets first.
  std::vector<WorkerState*> due;
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    WorkerState& worker = entry.second;
    if (worker.service_runs == 0) {
      continue;
    }
    if (worker.is_vacating || worker.listing.is_draining) {
      this->EvictServicesOf(&worker, now);
    } else if (this->settings.leaves_early && worker.is_vacate_planned) {
      due.push_back(&worker);
    }
  }
  for (WorkerState* const worker : due) {
    this->EvictServicesOf(worker, now);
  }
}

void PoolScheduler::EvictServicesOf(WorkerState* worker, MonotonicTime now) {
  for (const std::pair<TaskRef, std::int64_t>& key : worker->runs) {
    RunRecord* const run = this->FindRun(key.first, key.second);
    if (run->state == RunState::kActive &&
        this->SpecOf(this->jobs.at(key.first.job), key.first).is_service) {
      this->EvictService(worker, key.first, run, now);
    }
  }
}

void PoolScheduler::EvictService(WorkerState* worker,
                                 const TaskRef& task,
                                 RunRecord* run,
                                 MonotonicTime now) {
  if (!this->IsDisruptionAllowed(task, now)) {
    return;
  }
  const WorkerState* const target =
      this->ChooseWorker(this->jobs.at(task.job), task, RackName());
  const bool must_leave = worker->is_vacating || worker->listing.is_draining;
  // Other tasks may take the room at the target while the task stops, so an
  // early move may end at a worker that is due as well. It is not repeated at
  // once.
  const bool is_settled =
      run->ready_since &&
      now - *run->ready_since >= this->settings.early_move_interval;
  if (target == nullptr ||
      (!must_leave && (target->is_vacate_planned || !is_settled))) {
    return;
  }
  const char* const reason = worker->is_vacating ? "planned work on the machine"
                             : must_leave        ? "the worker is draining"
                                                 : "planned work is due";
  this->RecordDecision("service_moved", task, run->number, worker->listing.name,
                       reason);
  this->StopRunOf(task, run, now);
}

bool PoolScheduler::IsDisruptionAllowed(const TaskRef& task,
                                        MonotonicTime now) const {
  const JobState& job = this->jobs.at(task.job);
  const StepState& step = job.occurrences.at(task.occurrence).steps[task.step];
  const int budget = std::max(1, this->SpecOf(job, task).disruption_budget);
  return this->CountUnavailableTasks(step, task.index, now) < budget;
}

int PoolScheduler::CountUnavailableTasks(const StepState& step,
                                         int except,
                                         MonotonicTime now) const {
  int unavailable = step.tasks.size() - 1;
  for (const std::pair<const int, TaskState>& task : step.tasks.states()) {
    const std::vector<RunRecord>& runs = task.second.runs;
    const bool is_ready = std::any_of(
        runs.begin(), runs.end(), [this, now](const RunRecord& run) {
          return run.state == RunState::kActive && run.percent == 100 &&
                 run.ready_since &&
                 now - *run.ready_since >= this->settings.min_ready_duration &&
                 (!run.adoption_uncertain_until ||
                  *run.adoption_uncertain_until <= now) &&
                 this->workers.at(run.worker).missed_reports == 0;
        });
    unavailable -= task.first != except && is_ready;
  }
  return unavailable;
}

void PoolScheduler::ThrottleIdleCapacityRuns(WorkerState* worker,
                                             MonotonicTime now) {
  if (worker->idle_capacity_runs == 0) {
    return;
  }
  double worst_latency_ratio = 0.0;
  for (const std::pair<TaskRef, std::int64_t>& key : worker->runs) {
    const StepSpec& step =
        this->SpecOf(this->jobs.at(key.first.job), key.first);
    if (step.latency_target.count() > 0) {
      const RunRecord* const run = this->FindRun(key.first, key.second);
      worst_latency_ratio =
          std::max(worst_latency_ratio,
                   static_cast<double>(run->load) /
                       static_cast<double>(step.latency_target.count()));
    }
  }
  for (const std::pair<TaskRef, std::int64_t>& key : worker->runs) {
    RunRecord* const run = this->FindRun(key.first, key.second);
    if (!this->SpecOf(this->jobs.at(key.first.job), key.first)
             .uses_idle_capacity ||
        run->state != RunState::kActive) {
      continue;
    }
    int new_percent = run->target_percent;
    if (worst_latency_ratio > 1.0) {
      new_percent = 0;
    } else if (worst_latency_ratio > kThrottleAbove) {
      new_percent = std::max(0, new_percent - 2 * kThrottleStepPercent);
    } else if (worst_latency_ratio < kUnthrottleBelow) {
      new_percent = std::min(100, new_percent + kThrottleStepPercent);
    }
    // A run that was never throttled may report less than full speed while it
    // starts. Otherwise the last order may be lost.
    const bool is_in_force = new_percent == run->percent || !run->is_paced ||
                             now < run->pace_sent_at + kPaceRetryInterval;
    if (new_percent == run->target_percent && is_in_force) {
      continue;
    }
    run->target_percent = new_percent;
    run->is_paced = true;
    run->pace_sent_at = now;
    this->orders.emplace_back(
        PaceRun{worker->listing.name, key.first, key.second, new_percent});
    this->RecordDecision("run_paced", key.first, key.second,
                         worker->listing.name,
                         std::to_string(new_percent) + " percent");
  }
}

void PoolScheduler::StopStalledRuns(MonotonicTime now) {
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    WorkerState& worker = entry.second;
    bool has_stalled = false;
    for (const std::pair<TaskRef, std::int64_t>& key : worker.runs) {
      RunRecord* const run = this->FindRun(key.first, key.second);
      if (run->state != RunState::kActive || !run->idle_since ||
          now - *run->idle_since < this->settings.stall_timeout ||
          worker.missed_reports > 0) {
        continue;
      }
      // A working service task may use too little CPU for its load to be
      // reported, so it is only stopped within the disruption budget.
      if (this->SpecOf(this->jobs.at(key.first.job), key.first).is_service &&
          !this->IsDisruptionAllowed(key.first, now)) {
        continue;
      }
      has_stalled = true;
      this->OpenTask(key.first)->failed_on = entry.first;
      this->RecordDecision("run_stalled", key.first, key.second, entry.first,
                           "no CPU time used");
      this->StopRunOf(key.first, run, now);
    }
    if (has_stalled) {
      this->RecordRunOutcome(&worker, true, now);
    }
  }
}

}  // namespace daisyroad

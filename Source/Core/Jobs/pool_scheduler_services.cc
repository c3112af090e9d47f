// Tasks that last: moving them off workers that leave within their budget, and
// keeping those that use idle capacity from disturbing them.

#include <algorithm>

#include "Core/Jobs/objective.h"
#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {
namespace {

// Tail latency, as a part of the target, above which the runs beside a service
// are slowed down, and below which they are sped up again.
constexpr double kSlowDownAbove = 0.85;
constexpr double kSpeedUpBelow = 0.5;
// Percentage points that a slowed run gets back with each calm report.
constexpr int kPaceStep = 25;

}  // namespace

void PoolScheduler::MoveServicesAway(MonotonicTime now) {
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    WorkerState& worker = entry.second;
    if (!worker.is_vacating && !worker.listing.is_draining) {
      continue;
    }
    for (const std::pair<TaskRef, std::int64_t>& key : worker.runs) {
      RunRecord* const run = this->FindRun(key.first, key.second);
      if (run->state == RunState::kActive &&
          this->SpecOf(this->jobs.at(key.first.job), key.first).is_service) {
        this->MoveServiceAway(&worker, key.first, run, now);
      }
    }
  }
}

void PoolScheduler::MoveServiceAway(WorkerState* worker,
                                    const TaskRef& task,
                                    RunRecord* run,
                                    MonotonicTime now) {
  if (!this->IsWithinBudget(task, now) ||
      this->ChooseWorker(this->jobs.at(task.job), task, RackName(), now) ==
          nullptr) {
    return;
  }
  this->Note("service_moved", task, run->number, worker->listing.name,
             worker->is_vacating ? "planned work on its machine"
                                 : "the worker leaves");
  this->StopRunOf(task, run, now);
}

bool PoolScheduler::IsWithinBudget(const TaskRef& task,
                                   MonotonicTime now) const {
  const JobState& job = this->jobs.at(task.job);
  const StepState& step = job.occurrences.at(task.occurrence).steps[task.step];
  const int budget = std::max(1, this->SpecOf(job, task).disruption_budget);
  return this->TasksAway(step, task.index, now) < budget;
}

int PoolScheduler::TasksAway(const StepState& step,
                             int except,
                             MonotonicTime now) const {
  int away = 0;
  for (int i = 0; i < static_cast<int>(step.tasks.size()); ++i) {
    const std::vector<RunRecord>& runs = step.tasks[i].runs;
    const bool is_at_work = std::any_of(
        runs.begin(), runs.end(), [this, now](const RunRecord& run) {
          return run.state == RunState::kActive && run.percent == 100 &&
                 run.at_work_since &&
                 now - *run.at_work_since >= this->settings.at_work_margin &&
                 (!run.adopted_until || *run.adopted_until <= now) &&
                 this->workers.at(run.worker).missed_reports == 0;
        });
    away += i != except && !is_at_work;
  }
  return away;
}

void PoolScheduler::PaceIdleCapacityRuns(WorkerState* worker) {
  if (worker->idle_capacity_runs == 0) {
    return;
  }
  double worst = 0.0;
  for (const std::pair<TaskRef, std::int64_t>& key : worker->runs) {
    const StepSpec& step =
        this->SpecOf(this->jobs.at(key.first.job), key.first);
    if (step.latency_target.count() > 0) {
      const RunRecord* const run = this->FindRun(key.first, key.second);
      worst =
          std::max(worst, static_cast<double>(run->load) /
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
    int wanted = run->wanted_percent;
    if (worst > 1.0) {
      wanted = 0;
    } else if (worst > kSlowDownAbove) {
      wanted = std::max(0, wanted - 2 * kPaceStep);
    } else if (worst < kSpeedUpBelow) {
      wanted = std::min(100, wanted + kPaceStep);
    }
    if (wanted == run->wanted_percent && wanted == run->percent) {
      continue;
    }
    // A service is reported at less than full speed while it starts up.
    if (wanted == 100 && run->wanted_percent == 100) {
      continue;
    }
    run->wanted_percent = wanted;
    this->orders.emplace_back(
        PaceRun{worker->listing.name, key.first, key.second, wanted});
    this->Note("run_paced", key.first, key.second, worker->listing.name,
               std::to_string(wanted) + " percent");
  }
}

void PoolScheduler::StopStalledRuns(MonotonicTime now) {
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    WorkerState& worker = entry.second;
    bool has_stalled = false;
    for (const std::pair<TaskRef, std::int64_t>& key : worker.runs) {
      RunRecord* const run = this->FindRun(key.first, key.second);
      if (run->state != RunState::kActive || !run->idle_since ||
          now - *run->idle_since < this->settings.stall ||
          worker.missed_reports > 0) {
        continue;
      }
      // A task that lasts may be at work and use too little to be reported.
      if (this->SpecOf(this->jobs.at(key.first.job), key.first).is_service &&
          !this->IsWithinBudget(key.first, now)) {
        continue;
      }
      has_stalled = true;
      this->FindTask(key.first)->failed_on = entry.first;
      this->Note("run_stalled", key.first, key.second, entry.first,
                 "no processor time used");
      this->StopRunOf(key.first, run, now);
    }
    if (has_stalled) {
      this->CountOutcome(&worker, true, now);
    }
  }
}

}  // namespace daisyroad

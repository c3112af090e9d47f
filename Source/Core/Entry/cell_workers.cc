#include "Core/Entry/cell_workers.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Core/Common/log_decision.h"
#include "Core/Common/logging.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/worker_directory.h"

namespace daisyroad {
namespace {

Resources ToResources(const WorkerResources& worker) {
  return Resources{static_cast<double>(worker.cores),
                   static_cast<double>(worker.memory_gb),
                   static_cast<double>(worker.accelerators),
                   static_cast<double>(worker.slots)};
}

const char* StateName(OutlierState state) {
  switch (state) {
    case OutlierState::kHealthy:
      return "healthy";
    case OutlierState::kEjected:
      return "ejected";
    case OutlierState::kProbation:
      return "probation";
  }
  return "unknown";
}

std::int64_t Percent(double part) {
  return std::lround(part * 100.0);
}

}  // namespace

CellWorkers::CellWorkers(EntryContext* context,
                         WorkerDirectory* directory,
                         PoolName pool,
                         ZoneName zone)
    : context(context),
      directory(directory),
      pool(std::move(pool)),
      zone(std::move(zone)) {}

void CellWorkers::SetWorkerSize(const WorkerResources& worker) {
  this->size = ToResources(worker);
}

void CellWorkers::Refresh() {
  const std::vector<const WorkerInfo*> before = std::move(this->members);
  this->members = this->directory->InCell(this->pool, this->zone);
  const std::set<const WorkerInfo*> now(this->members.begin(),
                                        this->members.end());
  for (const WorkerInfo* worker : before) {
    if (now.count(worker) == 0) {
      this->selector.Remove(worker->listed.name);
      this->outliers.Remove(worker->listed.name);
    }
  }
  for (const WorkerInfo* worker : this->members) {
    this->selector.Update(worker->listed.name, this->StateOf(*worker, false));
    this->outliers.Add(worker->listed.name);
  }
}

void CellWorkers::AddTask(const WorkerName& worker,
                          const TaskId& task,
                          const Resources& task_size) {
  Load& load = this->loads[worker];
  if (load.tasks.insert(task).second) {
    load.used = load.used + task_size;
  }
}

void CellWorkers::RemoveTask(const WorkerName& worker,
                             const TaskId& task,
                             const Resources& task_size) {
  const auto found = this->loads.find(worker);
  if (found == this->loads.end() || found->second.tasks.erase(task) == 0) {
    return;
  }
  if (found->second.tasks.empty()) {
    this->loads.erase(found);  // also discards rounding errors of the sum
    return;
  }
  found->second.used = found->second.used - task_size;
}

void CellWorkers::OnEnd(const WorkerName& worker,
                        bool failed,
                        Duration run_time) {
  const MonotonicTime now = Now();
  this->selector.OnEnd(worker, failed, run_time, now);
  this->outliers.Observe(worker, failed, now);
}

void CellWorkers::SetFull(const WorkerName& worker, bool full) {
  if (full) {
    this->full_workers.insert(worker);
  } else {
    this->full_workers.erase(worker);
  }
}

const std::set<TaskId>& CellWorkers::TasksOn(const WorkerName& worker) const {
  static const std::set<TaskId> kNone;
  const auto found = this->loads.find(worker);
  return found == this->loads.end() ? kNone : found->second.tasks;
}

Resources CellWorkers::FreeOn(const WorkerName& worker) const {
  Resources free = this->size;
  const auto found = this->loads.find(worker);
  if (found != this->loads.end()) {
    free = free - found->second.used;
  }
  return Resources{std::max(free.cores, 0.0), std::max(free.memory_gb, 0.0),
                   std::max(free.accelerators, 0.0), std::max(free.slots, 0.0)};
}

bool CellWorkers::MayStart(const WorkerInfo& worker) const {
  const WorkerName& name = worker.listed.name;
  return worker.reachable && !worker.leaving && worker.has_clock &&
         this->full_workers.count(name) == 0 &&
         this->outliers.MayStart(name, this->TasksOn(name).size());
}

Resources CellWorkers::TotalFree() const {
  Resources free;
  for (const WorkerInfo* worker : this->members) {
    if (this->MayStart(*worker)) {
      free = free + this->FreeOn(worker->listed.name);
    }
  }
  return free;
}

Resources CellWorkers::Capacity() const {
  Resources total;
  for (const WorkerInfo* worker : this->members) {
    if (!worker->leaving) {
      total = total + this->size;
    }
  }
  return total;
}

WorkerState CellWorkers::StateOf(const WorkerInfo& worker,
                                 bool is_excluded) const {
  const WorkerName& name = worker.listed.name;
  WorkerState state;
  state.slots = static_cast<std::size_t>(std::max(this->size.slots, 0.0));
  state.running = this->TasksOn(name).size();
  if (is_excluded || this->full_workers.count(name) != 0 ||
      this->FreeOn(name).slots < 1.0) {
    state.running = std::max(state.running, state.slots);
  }
  state.leaving = worker.leaving;
  state.reachable = worker.reachable && worker.has_clock;
  state.ejected = !this->outliers.MayStart(name, this->TasksOn(name).size());
  return state;
}

WorkerChoice CellWorkers::Choose(const std::set<WorkerName>& excluded) {
  for (const WorkerInfo* worker : this->members) {
    const WorkerName& name = worker->listed.name;
    this->selector.Update(name,
                          this->StateOf(*worker, excluded.count(name) != 0));
  }
  return this->selector.Choose(Now(), *this->context->random);
}

void CellWorkers::Evaluate() {
  for (const OutlierChange& change : this->outliers.Evaluate(Now())) {
    LogDecision line("outlier");
    line.Field("worker", change.worker.str())
        .Field("pool", this->pool.str())
        .Field("zone", this->zone.str())
        .Field("state", StateName(change.state))
        .Field("failure_percent", Percent(change.failure_rate))
        .Field("cell_failure_percent", Percent(change.cell_failure_rate));
    this->context->decisions->Write(kRoutingLog, line);
  }
}

}  // namespace daisyroad

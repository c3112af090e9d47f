#include <algorithm>
#include <functional>
#include <variant>

#include "Bench/maintenance_simulation.h"

namespace daisyroad {
namespace {

constexpr Duration kDay = std::chrono::hours(24);
// Assumed durations: a long task and the idle time after it, the repair of a
// failed worker, a checkpoint.
constexpr Duration kMeanTaskTime = std::chrono::minutes(10);
constexpr Duration kMeanIdleTime = std::chrono::minutes(5);
constexpr Duration kRepairTime = std::chrono::hours(2);
constexpr Duration kCheckpointTime = std::chrono::seconds(10);
constexpr Duration kZoneOutageTime = std::chrono::hours(2);
// Time between two decisions if no event occurs.
constexpr Duration kMaxDecisionInterval = std::chrono::minutes(1);

MonotonicTime At(Duration offset) {
  return MonotonicTime(offset + std::chrono::hours(1));
}

}  // namespace

MaintenanceSimulation::MaintenanceSimulation(
    const MaintenanceSimulationConfig& simulation_config,
    std::uint64_t seed)
    : config(simulation_config), random(seed), fault_random(seed + 1) {
  this->BuildFleet();
}

void MaintenanceSimulation::BuildFleet() {
  ServiceCounts members;
  for (int pool = 0; pool < this->config.pools; ++pool) {
    const PoolName name("p" + std::to_string(pool));
    this->topology.Add(ServiceName("own-" + std::to_string(pool)), name);
    this->topology.Add(ServiceName("shared-" + std::to_string(pool / 2)), name);
  }
  for (int i = 0; i < this->config.workers; ++i) {
    const int rack = i / 4;
    InstanceRecord record;
    record.worker = WorkerName("w" + std::to_string(10000 + i));
    record.zone = ZoneName("z" + std::to_string(rack % this->config.zones));
    record.rack = RackName("r" + std::to_string(10000 + rack));
    record.pool = PoolName(
        "p" + std::to_string(i * this->config.pools / this->config.workers));
    for (const ServiceName& service : this->topology.ServicesOf(record.pool)) {
      ++members[service];
    }
    this->ledger.Apply({record, ++this->revision});
    this->workers[record.worker];
    this->worker_names.push_back(record.worker);
  }
  for (const ServiceCounts::value_type& entry : members) {
    BudgetRecord budget;
    budget.service = entry.first;
    budget.allowed = std::max<std::int64_t>(
        1, static_cast<std::int64_t>(this->config.allowed_fraction *
                                     static_cast<double>(entry.second)));
    this->budgets[entry.first] = {budget, ++this->revision};
  }
}

MaintenanceInput MaintenanceSimulation::MakeInput() const {
  MaintenanceInput input;
  input.cycle = 1;
  input.topology = this->topology;
  for (const InstanceTable::value_type& entry : this->ledger.instances()) {
    input.instances.push_back(entry.second.value);
  }
  for (const BudgetTable::value_type& entry : this->budgets) {
    input.allowed[entry.first] = entry.second.value.allowed;
  }
  return input;
}

void MaintenanceSimulation::ScheduleFaults(Duration limit) {
  const auto schedule = [this, limit](double per_day, Duration downtime) {
    if (per_day <= 0.0) {
      return;
    }
    const Duration mean = std::chrono::duration_cast<Duration>(kDay / per_day);
    for (Duration at = this->fault_random.Exponential(mean); at < limit;
         at += this->fault_random.Exponential(mean)) {
      const WorkerName& name = this->worker_names[this->fault_random.Below(
          this->worker_names.size())];
      this->faults.emplace(at, Fault{name, downtime});
      this->events.push(at);
    }
  };
  schedule(this->config.failures_per_day, kRepairTime);
  schedule(this->config.restarts_per_day, kRebootTime);
  if (this->config.has_zone_loss) {
    // Early enough to fall into the shortest roll-out.
    const Duration at = std::chrono::minutes(15);
    for (const WorkerName& name : this->worker_names) {
      if (this->ledger.Find(name)->value.zone == ZoneName("z0")) {
        this->faults.emplace(at, Fault{name, kZoneOutageTime});
      }
    }
    this->events.push(at);
  }
}

void MaintenanceSimulation::TakeDown(Worker& worker, Duration downtime) {
  if (worker.is_up && worker.listed_at <= this->now) {
    worker.down_since = this->now;
  }
  worker.is_up = false;
  worker.is_draining = false;
  worker.returns_at = std::max(worker.returns_at, this->now + downtime);
  worker.listed_at = worker.returns_at + kInstanceListLag;
  worker.busy_until = worker.returns_at;
  worker.idle_until =
      worker.returns_at + this->random.Exponential(kMeanIdleTime);
  this->events.push(worker.returns_at);
  this->events.push(worker.listed_at);
}

void MaintenanceSimulation::ApplyFaults() {
  while (!this->faults.empty() && this->faults.begin()->first <= this->now) {
    const Fault& fault = this->faults.begin()->second;
    this->TakeDown(this->workers.at(fault.worker), fault.downtime);
    this->faults.erase(this->faults.begin());
  }
}

void MaintenanceSimulation::UpdateLoad(Worker& worker) {
  if (!worker.is_up && worker.returns_at <= this->now) {
    worker.is_up = true;
    ++worker.incarnation;
  }
  while (worker.is_up && !worker.is_draining &&
         worker.idle_until <= this->now) {
    worker.busy_until =
        worker.idle_until + this->random.Exponential(kMeanTaskTime);
    worker.idle_until =
        worker.busy_until + this->random.Exponential(kMeanIdleTime);
  }
}

void MaintenanceSimulation::Observe() {
  this->observation.observed_at = At(this->now);
  for (WorkerTable::value_type& entry : this->workers) {
    Worker& worker = entry.second;
    this->UpdateLoad(worker);
    WorkerObservation& seen = this->observation.workers[entry.first];
    seen.healthy = worker.is_up;
    seen.listed = worker.is_up && worker.listed_at <= this->now;
    seen.incarnation = worker.incarnation;
    seen.remaining = std::max(Duration::zero(), worker.busy_until - this->now);
    seen.drained = worker.is_up && worker.is_draining &&
                   seen.remaining == Duration::zero();
  }
}

void MaintenanceSimulation::CountBudgetBreaches(const InstanceRecord& record) {
  for (const ServiceName& service : this->topology.ServicesOf(record.pool)) {
    const BudgetRecord& budget = this->budgets.at(service).value;
    std::set<WorkerName> down = {record.worker};
    for (const ChargeTable::value_type& charge : budget.charges) {
      down.insert(charge.second.worker);
    }
    for (const ObservationTable::value_type& entry :
         this->observation.workers) {
      const PoolName& pool = this->ledger.Find(entry.first)->value.pool;
      if (this->topology.services().at(service).contains(pool) &&
          (!entry.second.healthy || !entry.second.listed)) {
        down.insert(entry.first);
      }
    }
    this->result.budget_breaches +=
        static_cast<std::int64_t>(down.size()) > budget.allowed ? 1 : 0;
  }
}

void MaintenanceSimulation::Execute(const WriteInstance& write) {
  if (this->ledger.Find(write.record.worker)->version !=
      write.expected_version) {
    return;
  }
  ++this->result.store_writes;
  this->ledger.Apply({write.record, ++this->revision});
  if (write.record.step == InstanceStep::kDraining) {
    this->CountBudgetBreaches(write.record);
  }
}

void MaintenanceSimulation::Execute(const WriteBudget& write) {
  Versioned<BudgetRecord>& stored = this->budgets.at(write.record.service);
  if (stored.version == write.expected_version) {
    ++this->result.store_writes;
    stored = {write.record, ++this->revision};
  }
}

void MaintenanceSimulation::Execute(const DrainWorker& drain) {
  Worker& worker = this->workers.at(drain.worker);
  worker.is_draining |= worker.is_up;
  // An idle worker is observed as drained at the next event; this event ensures
  // that the observation does not wait for an unrelated one.
  this->events.push(
      std::max(this->now + std::chrono::seconds(1), worker.busy_until));
}

void MaintenanceSimulation::Execute(const CheckpointWorker& checkpoint) {
  Worker& worker = this->workers.at(checkpoint.worker);
  worker.busy_until = this->now + kCheckpointTime;
  this->events.push(worker.busy_until);
  ++this->result.checkpoints;
}

void MaintenanceSimulation::Execute(const RebootWorker& reboot) {
  Worker& worker = this->workers.at(reboot.worker);
  if (worker.is_up && worker.incarnation == reboot.incarnation) {
    this->TakeDown(worker, kRebootTime);
    ++this->result.reboots;
  }
}

bool MaintenanceSimulation::Decide(const MaintenancePlan& plan) {
  const WaveExecutor executor(EntryName("e"), kCheckpointPatience);
  const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  const std::vector<FleetAction> actions =
      executor.Next(plan,
                    {this->ledger, this->budgets, this->observation,
                     this->topology, this->config.windows.IsOpen(this->now)},
                    At(this->now));
  this->result.slowest_decision =
      std::max(this->result.slowest_decision,
               Duration(std::chrono::steady_clock::now() - start));
  const int writes = this->result.store_writes;
  const int reboots = this->result.reboots;
  for (const FleetAction& action : actions) {
    std::visit([this](const auto& request) { this->Execute(request); }, action);
  }
  return this->result.store_writes > writes || this->result.reboots > reboots;
}

bool MaintenanceSimulation::IsComplete(const MaintenancePlan& plan) const {
  return std::all_of(this->ledger.instances().begin(),
                     this->ledger.instances().end(),
                     [&plan](const InstanceTable::value_type& entry) {
                       return entry.second.value.maintained_cycle >= plan.cycle;
                     });
}

void MaintenanceSimulation::AdvanceToNextEvent() {
  Duration next = this->now + kMaxDecisionInterval;
  while (!this->events.empty() && this->events.top() <= this->now) {
    this->events.pop();
  }
  if (!this->events.empty()) {
    next = this->events.top();
  }
  if (!this->config.windows.IsOpen(this->now)) {
    next = std::min(next, this->config.windows.Finish(this->now, Duration(1)));
  }
  this->now = std::max(this->now + std::chrono::seconds(1), next);
}

std::map<ServiceName, Duration> MaintenanceSimulation::RequiredDowntime(
    Duration downtime) const {
  std::map<ServiceName, Duration> needed;
  for (const InstanceTable::value_type& entry : this->ledger.instances()) {
    for (const ServiceName& service :
         this->topology.ServicesOf(entry.second.value.pool)) {
      needed[service] += downtime;
    }
  }
  return needed;
}

ServiceCounts MaintenanceSimulation::RemainingBudget(Duration downtime) const {
  ServiceCounts remaining_budget;
  for (const BudgetTable::value_type& budget : this->budgets) {
    remaining_budget[budget.first] = budget.second.value.allowed;
  }
  for (const WorkerTable::value_type& entry : this->workers) {
    const Worker& worker = entry.second;
    const bool down = !worker.is_up || worker.listed_at > this->now;
    if (down && this->now - worker.down_since > downtime) {
      const PoolName& pool = this->ledger.Find(entry.first)->value.pool;
      for (const ServiceName& service : this->topology.ServicesOf(pool)) {
        --remaining_budget[service];
      }
    }
  }
  return remaining_budget;
}

Duration MaintenanceSimulation::RolloutLowerBound(Duration downtime,
                                                  Duration limit) {
  this->ScheduleFaults(limit);
  std::map<ServiceName, Duration> needed = this->RequiredDowntime(downtime);
  // Last time at which a service had at least this much remaining budget.
  std::map<std::pair<ServiceName, std::int64_t>, Duration>
      last_time_with_budget;
  Duration bound = Duration::zero();
  while (this->now < limit && !needed.empty()) {
    this->ApplyFaults();
    this->Observe();
    const Duration interval_start = this->now;
    // The budget is sampled at the start of each interval; short intervals keep
    // the bound tight.
    this->events.push(interval_start + kMaxDecisionInterval);
    for (const ServiceCounts::value_type& remaining_budget :
         this->RemainingBudget(downtime)) {
      for (std::int64_t level = 1; level <= remaining_budget.second; ++level) {
        last_time_with_budget[{remaining_budget.first, level}] = interval_start;
      }
    }
    this->AdvanceToNextEvent();
    for (auto entry = needed.begin(); entry != needed.end();) {
      std::int64_t remaining_budget = 0;
      while (
          last_time_with_budget.contains(
              {entry->first, remaining_budget + 1}) &&
          interval_start -
                  last_time_with_budget[{entry->first, remaining_budget + 1}] <
              downtime) {
        ++remaining_budget;
      }
      const Duration available_time =
          (this->now - interval_start) * remaining_budget;
      if (remaining_budget > 0 && available_time >= entry->second) {
        bound =
            std::max(bound, interval_start + entry->second / remaining_budget);
        entry = needed.erase(entry);
      } else {
        entry->second -= available_time;
        ++entry;
      }
    }
  }
  return bound;
}

MaintenanceSimulationResult MaintenanceSimulation::Run(
    const MaintenancePlan& plan,
    Duration limit) {
  this->ScheduleFaults(limit);
  while (this->now < limit && !this->IsComplete(plan)) {
    this->ApplyFaults();
    this->Observe();
    while (this->Decide(plan)) {
      this->Observe();
    }
    this->AdvanceToNextEvent();
  }
  this->result.is_complete = this->IsComplete(plan);
  this->result.rollout = this->now;
  return this->result;
}

}  // namespace daisyroad

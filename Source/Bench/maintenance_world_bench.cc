#include <algorithm>
#include <functional>
#include <variant>

#include "Bench/maintenance_world.h"

namespace daisyroad {
namespace {

constexpr Duration kDay = std::chrono::hours(24);
// Assumptions: a long task and the idle time after it, the repair of a failed
// worker, the time a checkpoint takes.
constexpr Duration kMeanTask = std::chrono::minutes(10);
constexpr Duration kMeanIdle = std::chrono::minutes(5);
constexpr Duration kRepair = std::chrono::hours(2);
constexpr Duration kCheckpoint = std::chrono::seconds(10);
constexpr Duration kZoneLoss = std::chrono::hours(2);
// Time between decisions when nothing happens.
constexpr Duration kTick = std::chrono::minutes(1);

MonotonicTime At(Duration offset) {
  return MonotonicTime(offset + std::chrono::hours(1));
}

}  // namespace

MaintenanceWorld::MaintenanceWorld(const WorldConfig& settings,
                                   std::uint64_t seed)
    : config(settings), random(seed), fault_random(seed + 1) {
  this->Build();
}

void MaintenanceWorld::Build() {
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
    this->names.push_back(record.worker);
  }
  for (const ServiceCounts::value_type& entry : members) {
    BudgetRecord budget;
    budget.service = entry.first;
    budget.allowed = std::max<std::int64_t>(
        1, static_cast<std::int64_t>(this->config.allowed *
                                     static_cast<double>(entry.second)));
    this->budgets[entry.first] = {budget, ++this->revision};
  }
}

MaintenanceInput MaintenanceWorld::Input() const {
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

void MaintenanceWorld::ScheduleFaults(Duration limit) {
  const auto schedule = [this, limit](double per_day, Duration downtime) {
    if (per_day <= 0.0) {
      return;
    }
    const Duration mean = std::chrono::duration_cast<Duration>(kDay / per_day);
    for (Duration at = this->fault_random.Exponential(mean); at < limit;
         at += this->fault_random.Exponential(mean)) {
      const WorkerName& name =
          this->names[this->fault_random.Below(this->names.size())];
      this->faults.emplace(at, Fault{name, downtime});
      this->events.push(at);
    }
  };
  schedule(this->config.failures_per_day, kRepair);
  schedule(this->config.restarts_per_day, kReboot);
  if (this->config.zone_loss) {
    // Early enough to hit the shortest roll-out.
    const Duration at = std::chrono::minutes(15);
    for (const WorkerName& name : this->names) {
      if (this->ledger.Find(name)->value.zone == ZoneName("z0")) {
        this->faults.emplace(at, Fault{name, kZoneLoss});
      }
    }
    this->events.push(at);
  }
}

void MaintenanceWorld::TakeDown(Worker& worker, Duration downtime) {
  if (worker.up && worker.listed_at <= this->now) {
    worker.down_since = this->now;
  }
  worker.up = false;
  worker.draining = false;
  worker.returns_at = std::max(worker.returns_at, this->now + downtime);
  worker.listed_at = worker.returns_at + kListLag;
  worker.busy_until = worker.returns_at;
  worker.idle_until = worker.returns_at + this->random.Exponential(kMeanIdle);
  this->events.push(worker.returns_at);
  this->events.push(worker.listed_at);
}

void MaintenanceWorld::ApplyFaults() {
  while (!this->faults.empty() && this->faults.begin()->first <= this->now) {
    const Fault& fault = this->faults.begin()->second;
    this->TakeDown(this->workers.at(fault.worker), fault.downtime);
    this->faults.erase(this->faults.begin());
  }
}

void MaintenanceWorld::UpdateLoad(Worker& worker) {
  if (!worker.up && worker.returns_at <= this->now) {
    worker.up = true;
    ++worker.incarnation;
  }
  while (worker.up && !worker.draining && worker.idle_until <= this->now) {
    worker.busy_until = worker.idle_until + this->random.Exponential(kMeanTask);
    worker.idle_until = worker.busy_until + this->random.Exponential(kMeanIdle);
  }
}

void MaintenanceWorld::Observe() {
  this->observation.observed_at = At(this->now);
  for (WorkerTable::value_type& entry : this->workers) {
    Worker& worker = entry.second;
    this->UpdateLoad(worker);
    WorkerObservation& seen = this->observation.workers[entry.first];
    seen.healthy = worker.up;
    seen.listed = worker.up && worker.listed_at <= this->now;
    seen.incarnation = worker.incarnation;
    seen.remaining = std::max(Duration::zero(), worker.busy_until - this->now);
    seen.drained =
        worker.up && worker.draining && seen.remaining == Duration::zero();
  }
}

void MaintenanceWorld::OnDrainBegins(const InstanceRecord& record) {
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

void MaintenanceWorld::Execute(const WriteInstance& write) {
  if (this->ledger.Find(write.record.worker)->version !=
      write.expected_version) {
    return;
  }
  ++this->result.store_writes;
  this->ledger.Apply({write.record, ++this->revision});
  if (write.record.step == InstanceStep::kDraining) {
    this->OnDrainBegins(write.record);
  }
}

void MaintenanceWorld::Execute(const WriteBudget& write) {
  Versioned<BudgetRecord>& stored = this->budgets.at(write.record.service);
  if (stored.version == write.expected_version) {
    ++this->result.store_writes;
    stored = {write.record, ++this->revision};
  }
}

void MaintenanceWorld::Execute(const DrainWorker& drain) {
  Worker& worker = this->workers.at(drain.worker);
  worker.draining |= worker.up;
  // An idle worker is seen drained at the next observation, which must not wait
  // for an event elsewhere.
  this->events.push(
      std::max(this->now + std::chrono::seconds(1), worker.busy_until));
}

void MaintenanceWorld::Execute(const CheckpointWorker& checkpoint) {
  Worker& worker = this->workers.at(checkpoint.worker);
  worker.busy_until = this->now + kCheckpoint;
  this->events.push(worker.busy_until);
  ++this->result.checkpoints;
}

void MaintenanceWorld::Execute(const RebootWorker& reboot) {
  Worker& worker = this->workers.at(reboot.worker);
  if (worker.up && worker.incarnation == reboot.incarnation) {
    this->TakeDown(worker, kReboot);
    ++this->result.reboots;
  }
}

bool MaintenanceWorld::Decide(const MaintenancePlan& plan) {
  const WaveExecutor executor(EntryName("e"), kPatience);
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

bool MaintenanceWorld::IsComplete(const MaintenancePlan& plan) const {
  return std::all_of(this->ledger.instances().begin(),
                     this->ledger.instances().end(),
                     [&plan](const InstanceTable::value_type& entry) {
                       return entry.second.value.maintained_cycle >= plan.cycle;
                     });
}

void MaintenanceWorld::Advance() {
  Duration next = this->now + kTick;
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

std::map<ServiceName, Duration> MaintenanceWorld::NeededTime(
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

ServiceCounts MaintenanceWorld::RoomLeft(Duration downtime) const {
  ServiceCounts room;
  for (const BudgetTable::value_type& budget : this->budgets) {
    room[budget.first] = budget.second.value.allowed;
  }
  for (const WorkerTable::value_type& entry : this->workers) {
    const Worker& worker = entry.second;
    const bool down = !worker.up || worker.listed_at > this->now;
    if (down && this->now - worker.down_since > downtime) {
      const PoolName& pool = this->ledger.Find(entry.first)->value.pool;
      for (const ServiceName& service : this->topology.ServicesOf(pool)) {
        --room[service];
      }
    }
  }
  return room;
}

Duration MaintenanceWorld::BudgetBound(Duration downtime, Duration limit) {
  this->ScheduleFaults(limit);
  std::map<ServiceName, Duration> needed = this->NeededTime(downtime);
  // Last time at which a service had at least so much room.
  std::map<std::pair<ServiceName, std::int64_t>, Duration> last;
  Duration bound = Duration::zero();
  while (this->now < limit && !needed.empty()) {
    this->ApplyFaults();
    this->Observe();
    const Duration before = this->now;
    // Room counts from the start of a stretch; short ones keep the bound tight.
    this->events.push(before + kTick);
    for (const ServiceCounts::value_type& room : this->RoomLeft(downtime)) {
      for (std::int64_t level = 1; level <= room.second; ++level) {
        last[{room.first, level}] = before;
      }
    }
    this->Advance();
    for (auto entry = needed.begin(); entry != needed.end();) {
      std::int64_t room = 0;
      while (last.contains({entry->first, room + 1}) &&
             before - last[{entry->first, room + 1}] < downtime) {
        ++room;
      }
      const Duration gained = (this->now - before) * room;
      if (room > 0 && gained >= entry->second) {
        bound = std::max(bound, before + entry->second / room);
        entry = needed.erase(entry);
      } else {
        entry->second -= gained;
        ++entry;
      }
    }
  }
  return bound;
}

WorldResult MaintenanceWorld::Run(const MaintenancePlan& plan, Duration limit) {
  this->ScheduleFaults(limit);
  while (this->now < limit && !this->IsComplete(plan)) {
    this->ApplyFaults();
    this->Observe();
    while (this->Decide(plan)) {
      this->Observe();
    }
    this->Advance();
  }
  this->result.complete = this->IsComplete(plan);
  this->result.rollout = this->now;
  return this->result;
}

}  // namespace daisyroad

#include "Core/Machines/machine_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace daisyroad {
namespace {

// Fraction of a pool that may be in maintenance at once: while the pool is
// busy, and while less than kIdlePoolLoad of it is in use or the wave is behind
// schedule. The runs on the emptied machines need capacity on the others.
constexpr double kBusyPoolFraction = 0.12;
constexpr double kIdlePoolFraction = 0.34;
constexpr double kIdlePoolLoad = 0.4;
// Approximate time to empty a machine, maintain it and return it to service.
constexpr Milliseconds kMaintenanceTurnaround{4500};
// The remaining time of a wave is divided by this factor when the machines to
// take at once are computed, so that the wave ends before its deadline.
constexpr double kTurnaroundSafetyFactor = 1.3;

// Capacity of a pool as a multiple of its demand, and the lowest number of
// machines.
constexpr double kCapacityHeadroom = 1.4;
constexpr int kMinMachinesPerPool = 3;
// Time for which a pool must have surplus machines before it releases them, as
// long as no other pool lacks machines.
constexpr Milliseconds kReleaseDelay{1200};

// Returns the pool with the largest deficit, or an empty name if no pool has
// one.
PoolName PoolWithLargestDeficit(const std::map<PoolName, int>& deficits) {
  const std::map<PoolName, int>::const_iterator neediest_pool =
      std::max_element(deficits.begin(), deficits.end(),
                       [](const std::pair<const PoolName, int>& left,
                          const std::pair<const PoolName, int>& right) {
                         return left.second < right.second;
                       });
  return neediest_pool == deficits.end() || neediest_pool->second <= 0
             ? PoolName()
             : neediest_pool->first;
}

double LoadFraction(const PoolLoad& load) {
  return load.capacity <= 0 ? 1.0
                            : static_cast<double>(load.used + load.waiting) /
                                  static_cast<double>(load.capacity);
}

}  // namespace

struct MachinePlanner::Fleet {
  const std::vector<Machine>* machines = nullptr;
  const std::map<PoolName, PoolReport>* pools = nullptr;
  const std::set<ZoneName>* zones_out = nullptr;
  MonotonicTime now;
  std::map<PoolName, std::vector<const Machine*>> up;  // by pool
  std::map<PoolName, int> in_transition;  // moving or in maintenance, by pool
  std::set<MachineName> reserved;         // by decisions of this plan

  const PoolReport& ReportOf(const PoolName& pool) const {
    static const PoolReport kNoReport;
    const std::map<PoolName, PoolReport>::const_iterator found =
        this->pools->find(pool);
    return found == this->pools->end() ? kNoReport : found->second;
  }

  const PoolLoad::Worker* WorkerOf(const Machine& machine) const {
    const PoolLoad& load = this->ReportOf(machine.pool).load;
    const std::map<WorkerName, PoolLoad::Worker>::const_iterator found =
        load.workers.find(machine.worker);
    return found == load.workers.end() ? nullptr : &found->second;
  }

  // Whether the machine has no runs and gets no new ones.
  bool IsEmpty(const Machine& machine) const {
    if (this->ReportOf(machine.pool).is_spare) {
      return true;
    }
    const PoolLoad::Worker* const worker = this->WorkerOf(machine);
    return worker != nullptr && worker->is_vacating && worker->runs == 0;
  }

  int RunsOn(const Machine& machine) const {
    const PoolLoad::Worker* const worker = this->WorkerOf(machine);
    return worker == nullptr ? 0 : worker->runs;
  }

  int ServicesOn(const Machine& machine) const {
    const PoolLoad::Worker* const worker = this->WorkerOf(machine);
    return worker == nullptr ? 0 : worker->service_runs;
  }
};

MachinePlanner::MachinePlanner(const MachinePlannerSettings& settings)
    : settings(settings) {}

void MachinePlanner::SetHomeSizes(std::map<PoolName, int> sizes) {
  this->home_sizes = std::move(sizes);
}

MachinePlan MachinePlanner::Plan(
    const std::vector<Machine>& machines,
    const std::map<PoolName, PoolReport>& pools,
    const std::map<std::int64_t, WaveProgress>& waves,
    const std::set<ZoneName>& zones_out,
    MonotonicTime now) {
  Fleet fleet;
  fleet.zones_out = &zones_out;
  fleet.machines = &machines;
  fleet.pools = &pools;
  fleet.now = now;
  for (const Machine& machine : machines) {
    if (machine.state == MachineState::kUp) {
      fleet.up[machine.pool].push_back(&machine);
    } else if (machine.state == MachineState::kMoving ||
               machine.state == MachineState::kUpkeep) {
      ++fleet.in_transition[machine.pool];
    }
  }
  MachinePlan plan;
  for (const std::pair<const std::int64_t, WaveProgress>& wave : waves) {
    this->PlanWave(wave.second, &fleet, &plan);
  }
  this->PlanPoolSizes(&fleet, &plan);
  return plan;
}

void MachinePlanner::PlanWave(const WaveProgress& progress,
                              Fleet* fleet,
                              MachinePlan* plan) {
  std::map<PoolName, std::vector<const Machine*>> due;
  int in_maintenance = 0;
  std::map<PoolName, int> in_maintenance_by_pool;
  for (const Machine& machine : *fleet->machines) {
    const bool is_listed =
        std::find(progress.wave.machines.begin(), progress.wave.machines.end(),
                  machine.name) != progress.wave.machines.end();
    // A reserved machine may be ordered into maintenance at any time.
    const bool is_reserved = progress.IsReserved(machine.name);
    if (is_listed && (machine.state == MachineState::kUpkeep || is_reserved)) {
      ++in_maintenance;
      in_maintenance_by_pool[machine.pool] +=
          machine.state == MachineState::kUpkeep ? 1 : 0;
    }
    if (is_listed && machine.state == MachineState::kUp &&
        !progress.done.contains(machine.name)) {
      due[machine.pool].push_back(&machine);
    }
  }
  const Milliseconds left = std::chrono::duration_cast<Milliseconds>(
      progress.begun_at + progress.wave.duration - fleet->now);
  for (std::pair<const PoolName, std::vector<const Machine*>>& entry : due) {
    const PoolReport& report = fleet->ReportOf(entry.first);
    std::vector<const Machine*>& candidates = entry.second;
    for (const Machine* const machine : candidates) {
      plan->due[machine->pool].insert(machine->worker);
    }
    if (!report.is_spare && !report.is_known) {
      continue;
    }
    std::sort(candidates.begin(), candidates.end(),
              [fleet, &progress](const Machine* left, const Machine* right) {
                return std::make_tuple(!progress.IsReserved(left->name),
                                       fleet->ServicesOn(*left),
                                       fleet->RunsOn(*left), left->name) <
                       std::make_tuple(!progress.IsReserved(right->name),
                                       fleet->ServicesOn(*right),
                                       fleet->RunsOn(*right), right->name);
              });
    const double size = static_cast<double>(fleet->up[entry.first].size());
    const double share = LoadFraction(report.load) < kIdlePoolLoad
                             ? kIdlePoolFraction
                             : kBusyPoolFraction;
    // The number of remaining rounds determines how many machines must be in
    // maintenance at a time.
    const double rounds =
        std::max(1.0, static_cast<double>(left.count()) /
                          static_cast<double>(kMaintenanceTurnaround.count()) /
                          kTurnaroundSafetyFactor);
    const int needed = static_cast<int>(
        std::ceil(static_cast<double>(candidates.size()) / rounds));
    int allowed =
        report.is_spare
            ? static_cast<int>(candidates.size())
            : std::clamp(
                  needed, std::max(1, static_cast<int>(size * share)),
                  std::max(1, static_cast<int>(size * kIdlePoolFraction)));
    allowed -= in_maintenance_by_pool[entry.first];
    for (const Machine* const machine : candidates) {
      const bool is_reserved = progress.IsReserved(machine->name);
      if (allowed-- <= 0 && !is_reserved) {
        continue;
      }
      fleet->reserved.insert(machine->name);
      plan->vacate[machine->pool].insert(machine->worker);
      if (fleet->IsEmpty(*machine) &&
          (is_reserved || in_maintenance < progress.wave.most_at_once)) {
        in_maintenance += is_reserved ? 0 : 1;
        plan->orders.emplace_back(
            MaintainMachine{machine->name, progress.wave.number});
      }
    }
  }
}

int MachinePlanner::NeededSize(const PoolName& pool, const Fleet& fleet) const {
  const PoolLoad& load = fleet.ReportOf(pool).load;
  const int min_size =
      std::max(load.CountServiceWorkers(), kMinMachinesPerPool);
  const double capacity_per_machine =
      static_cast<double>(load.capacity) /
      static_cast<double>(std::max(1, load.usable_workers));
  if (capacity_per_machine <= 0.0) {
    return min_size;
  }
  const std::int64_t needed = std::max(load.needed + load.services, load.used);
  return std::max(
      min_size, static_cast<int>(
                    std::ceil(kCapacityHeadroom * static_cast<double>(needed) /
                              capacity_per_machine)));
}

void MachinePlanner::PlanPoolSizes(Fleet* fleet, MachinePlan* plan) {
  PoolName spare;
  std::map<PoolName, int> sizes;
  std::map<PoolName, int> deficits;
  bool has_deficit = false;
  for (const std::pair<const PoolName, PoolReport>& pool : *fleet->pools) {
    if (pool.second.is_spare) {
      spare = pool.first;
    } else if (pool.second.is_known) {
      const int size = static_cast<int>(fleet->up[pool.first].size()) +
                       fleet->in_transition[pool.first];
      sizes[pool.first] = size;
      deficits[pool.first] = this->NeededSize(pool.first, *fleet) - size;
      has_deficit |= deficits[pool.first] > 0;
    }
  }
  // A pool keeps a minimum fraction of its home size, which is lower while
  // any pool has a deficit or if there is no spare pool.
  for (std::pair<const PoolName, int>& pool : deficits) {
    const double share = has_deficit || spare.empty()
                             ? this->settings.lending_size
                             : this->settings.resting_size;
    const int min_size = static_cast<int>(
        std::ceil(share * static_cast<double>(this->HomeSize(pool.first))));
    pool.second = std::max(pool.second, min_size - sizes[pool.first]);
  }
  if (!spare.empty()) {
    this->AssignSpareMachines(spare, &deficits, fleet, plan);
  }
  for (const std::pair<const PoolName, int>& pool :
       std::map<PoolName, int>(deficits)) {
    if (pool.second >= 0 || (!has_deficit && spare.empty())) {
      this->surplus_since.erase(pool.first);
      continue;
    }
    const MonotonicTime since =
        this->surplus_since.emplace(pool.first, fleet->now).first->second;
    if (has_deficit || fleet->now - since >= kReleaseDelay) {
      this->ReleaseSurplus(pool.first, -pool.second, spare, &deficits, fleet,
                           plan);
    }
  }
}

int MachinePlanner::HomeSize(const PoolName& pool) const {
  const std::map<PoolName, int>::const_iterator home =
      this->home_sizes.find(pool);
  return home == this->home_sizes.end() ? 0 : home->second;
}

void MachinePlanner::AssignSpareMachines(const PoolName& spare,
                                         std::map<PoolName, int>* deficits,
                                         Fleet* fleet,
                                         MachinePlan* plan) {
  // Machines that a wave still has to maintain would have to be emptied for it
  // in the pool that they move to, so the others move first.
  std::vector<const Machine*> candidates = fleet->up[spare];
  if (this->settings.moves_due_last && plan->due.contains(spare)) {
    const std::set<WorkerName>& due = plan->due.at(spare);
    std::stable_partition(candidates.begin(), candidates.end(),
                          [&due](const Machine* machine) {
                            return !due.contains(machine->worker);
                          });
  }
  for (const Machine* const machine : candidates) {
    const PoolName pool = PoolWithLargestDeficit(*deficits);
    if (pool.empty()) {
      return;
    }
    if (!fleet->reserved.contains(machine->name) &&
        !fleet->zones_out->contains(machine->zone)) {
      --deficits->at(pool);
      plan->orders.emplace_back(MoveMachine{machine->name, pool});
    }
  }
}

void MachinePlanner::ReleaseSurplus(const PoolName& pool,
                                    int surplus,
                                    const PoolName& spare,
                                    std::map<PoolName, int>* deficits,
                                    Fleet* fleet,
                                    MachinePlan* plan) {
  std::vector<const Machine*> candidates = fleet->up[pool];
  std::sort(candidates.begin(), candidates.end(),
            [fleet](const Machine* left, const Machine* right) {
              return std::make_tuple(fleet->ServicesOn(*left),
                                     fleet->RunsOn(*left), left->name) <
                     std::make_tuple(fleet->ServicesOn(*right),
                                     fleet->RunsOn(*right), right->name);
            });
  for (const Machine* const machine : candidates) {
    if (surplus <= 0 || fleet->ServicesOn(*machine) > 0) {
      return;
    }
    const PoolName neediest_pool = PoolWithLargestDeficit(*deficits);
    const PoolName target = neediest_pool.empty() ? spare : neediest_pool;
    if (fleet->reserved.contains(machine->name) || target.empty() ||
        fleet->zones_out->contains(machine->zone)) {
      continue;
    }
    --surplus;
    if (!neediest_pool.empty()) {
      --deficits->at(neediest_pool);
    }
    plan->vacate[pool].insert(machine->worker);
    if (fleet->IsEmpty(*machine)) {
      plan->orders.emplace_back(MoveMachine{machine->name, target});
    }
  }
}

}  // namespace daisyroad

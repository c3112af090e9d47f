#include "Core/Machines/machine_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace daisyroad {
namespace {

// Part of a pool that may be away for maintenance: while it is busy, and while
// at most kCalmLoad of it is in use or the wave is late. What runs on the
// machines that are emptied needs room on the others.
constexpr double kBusyShare = 0.12;
constexpr double kCalmShare = 0.34;
constexpr double kCalmLoad = 0.4;
// Emptying, maintaining and returning a machine take about this long.
constexpr Milliseconds kTurnaround{4500};
// A wave that is this close to its end is no longer held back by load.
constexpr double kHurryFactor = 1.3;

// Capacity is kept at this multiple of what the open jobs need, and above
// this many machines.
constexpr double kHeadroom = 1.4;
constexpr int kLeastMachines = 3;
// A pool that lends machines keeps this part of its home size.
constexpr double kKeptShare = 0.5;
// A pool rests at this part of its home size when nobody is short; the rest
// waits in the spare pool, where it costs nothing and is ready to move.
constexpr double kRestingShare = 0.6;
// A pool gives machines up when it has had too many for a while.
constexpr Milliseconds kReleaseDelay{1200};

// The pool that wants the most machines; empty if none wants any.
PoolName Neediest(const std::map<PoolName, int>& wanted) {
  const std::map<PoolName, int>::const_iterator neediest =
      std::max_element(wanted.begin(), wanted.end(),
                       [](const std::pair<const PoolName, int>& left,
                          const std::pair<const PoolName, int>& right) {
                         return left.second < right.second;
                       });
  return neediest == wanted.end() || neediest->second <= 0 ? PoolName()
                                                           : neediest->first;
}

double LoadOf(const PoolLoad& load) {
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
  std::map<PoolName, int> coming;  // moving or in maintenance, by pool
  std::set<MachineName> taken;     // by a decision of this plan

  const PoolReport& ReportOf(const PoolName& pool) const {
    static const PoolReport kNone;
    const std::map<PoolName, PoolReport>::const_iterator found =
        this->pools->find(pool);
    return found == this->pools->end() ? kNone : found->second;
  }

  const PoolLoad::Worker* WorkerOf(const Machine& machine) const {
    const PoolLoad& load = this->ReportOf(machine.pool).load;
    const std::map<WorkerName, PoolLoad::Worker>::const_iterator found =
        load.workers.find(machine.worker);
    return found == load.workers.end() ? nullptr : &found->second;
  }

  // Runs nothing and gets nothing new.
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
      ++fleet.coming[machine.pool];
    }
  }
  MachinePlan plan;
  for (const std::pair<const std::int64_t, WaveProgress>& wave : waves) {
    this->PlanWave(wave.second, &fleet, &plan);
  }
  this->PlanSizes(&fleet, &plan);
  return plan;
}

void MachinePlanner::PlanWave(const WaveProgress& progress,
                              Fleet* fleet,
                              MachinePlan* plan) {
  std::map<PoolName, std::vector<const Machine*>> due;
  int away = 0;
  std::map<PoolName, int> away_from;
  for (const Machine& machine : *fleet->machines) {
    const bool is_listed =
        std::find(progress.wave.machines.begin(), progress.wave.machines.end(),
                  machine.name) != progress.wave.machines.end();
    if (is_listed && machine.state == MachineState::kUpkeep) {
      ++away;
      ++away_from[machine.pool];
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
    if (!report.is_spare && !report.is_known) {
      continue;
    }
    std::vector<const Machine*>& candidates = entry.second;
    std::sort(candidates.begin(), candidates.end(),
              [fleet](const Machine* left, const Machine* right) {
                return std::make_tuple(fleet->ServicesOn(*left),
                                       fleet->RunsOn(*left), left->name) <
                       std::make_tuple(fleet->ServicesOn(*right),
                                       fleet->RunsOn(*right), right->name);
              });
    const double size = static_cast<double>(fleet->up[entry.first].size());
    const double share =
        LoadOf(report.load) < kCalmLoad ? kCalmShare : kBusyShare;
    // Rounds that are left decide how many must go at a time.
    const double rounds = std::max(
        1.0, static_cast<double>(left.count()) /
                 static_cast<double>(kTurnaround.count()) / kHurryFactor);
    const int needed = static_cast<int>(
        std::ceil(static_cast<double>(candidates.size()) / rounds));
    int allowed =
        report.is_spare
            ? static_cast<int>(candidates.size())
            : std::clamp(needed, std::max(1, static_cast<int>(size * share)),
                         std::max(1, static_cast<int>(size * kCalmShare)));
    allowed -= away_from[entry.first];
    for (const Machine* const machine : candidates) {
      plan->due[machine->pool].insert(machine->worker);
      if (allowed-- <= 0) {
        continue;
      }
      fleet->taken.insert(machine->name);
      plan->vacate[machine->pool].insert(machine->worker);
      if (fleet->IsEmpty(*machine) && away < progress.wave.most_at_once) {
        ++away;
        plan->orders.emplace_back(
            MaintainMachine{machine->name, progress.wave.number});
      }
    }
  }
}

int MachinePlanner::NeededSize(const PoolName& pool, const Fleet& fleet) const {
  const PoolLoad& load = fleet.ReportOf(pool).load;
  const int hosts_of_services = static_cast<int>(std::count_if(
      load.workers.begin(), load.workers.end(),
      [](const std::pair<const WorkerName, PoolLoad::Worker>& worker) {
        return worker.second.service_runs > 0;
      }));
  const int least = std::max(hosts_of_services, kLeastMachines);
  const double each = static_cast<double>(load.capacity) /
                      static_cast<double>(std::max(1, load.usable_workers));
  if (each <= 0.0) {
    return least;
  }
  const std::int64_t needed = std::max(load.needed + load.services, load.used);
  return std::max(least, static_cast<int>(std::ceil(
                             kHeadroom * static_cast<double>(needed) / each)));
}

void MachinePlanner::PlanSizes(Fleet* fleet, MachinePlan* plan) {
  PoolName spare;
  std::map<PoolName, int> sizes;
  std::map<PoolName, int> wanted;
  bool is_anyone_short = false;
  for (const std::pair<const PoolName, PoolReport>& pool : *fleet->pools) {
    if (pool.second.is_spare) {
      spare = pool.first;
    } else if (pool.second.is_known) {
      const int size = static_cast<int>(fleet->up[pool.first].size()) +
                       fleet->coming[pool.first];
      sizes[pool.first] = size;
      wanted[pool.first] = this->NeededSize(pool.first, *fleet) - size;
      is_anyone_short |= wanted[pool.first] > 0;
    }
  }
  // Pools lend what they do not need while another is short; otherwise each
  // goes back to its home size.
  for (std::pair<const PoolName, int>& pool : wanted) {
    const double share =
        is_anyone_short || spare.empty() ? kKeptShare : kRestingShare;
    const int least = static_cast<int>(
        std::ceil(share * static_cast<double>(this->HomeSize(pool.first))));
    pool.second = std::max(pool.second, least - sizes[pool.first]);
  }
  if (!spare.empty()) {
    this->Lend(spare, &wanted, fleet, plan);
  }
  for (const std::pair<const PoolName, int>& pool :
       std::map<PoolName, int>(wanted)) {
    if (pool.second >= 0 || (!is_anyone_short && spare.empty())) {
      this->surplus_since.erase(pool.first);
      continue;
    }
    const MonotonicTime since =
        this->surplus_since.emplace(pool.first, fleet->now).first->second;
    if (is_anyone_short || fleet->now - since >= kReleaseDelay) {
      this->Release(pool.first, -pool.second, spare, &wanted, fleet, plan);
    }
  }
}

int MachinePlanner::HomeSize(const PoolName& pool) const {
  const std::map<PoolName, int>::const_iterator home =
      this->home_sizes.find(pool);
  return home == this->home_sizes.end() ? 0 : home->second;
}

void MachinePlanner::Lend(const PoolName& spare,
                          std::map<PoolName, int>* wanted,
                          Fleet* fleet,
                          MachinePlan* plan) {
  for (const Machine* const machine : fleet->up[spare]) {
    const PoolName pool = Neediest(*wanted);
    if (pool.empty()) {
      return;
    }
    if (!fleet->taken.contains(machine->name) &&
        !fleet->zones_out->contains(machine->zone)) {
      --wanted->at(pool);
      plan->orders.emplace_back(MoveMachine{machine->name, pool});
    }
  }
}

void MachinePlanner::Release(const PoolName& pool,
                             int surplus,
                             const PoolName& spare,
                             std::map<PoolName, int>* wanted,
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
    const PoolName neediest = Neediest(*wanted);
    const PoolName target = neediest.empty() ? spare : neediest;
    if (fleet->taken.contains(machine->name) || target.empty() ||
        fleet->zones_out->contains(machine->zone)) {
      continue;
    }
    --surplus;
    if (!neediest.empty()) {
      --wanted->at(neediest);
    }
    plan->vacate[pool].insert(machine->worker);
    if (fleet->IsEmpty(*machine)) {
      plan->orders.emplace_back(MoveMachine{machine->name, target});
    }
  }
}

}  // namespace daisyroad

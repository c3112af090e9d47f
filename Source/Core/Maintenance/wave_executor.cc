#include "Core/Maintenance/wave_executor.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace daisyroad {
namespace {

// Instance whose maintenance may be requested now. Candidates are ordered
// by group, then by remaining task time, then by position in the plan.
struct Candidate {
  std::size_t group = 0;
  Duration remaining = Duration::zero();
  std::size_t position = 0;
  const Versioned<InstanceRecord>* instance = nullptr;

  bool operator<(const Candidate& other) const {
    return std::tie(this->group, this->remaining, this->position) <
           std::tie(other.group, other.remaining, other.position);
  }
};

// Returns a candidate if maintenance of the instance may be requested now.
std::optional<Candidate> MakeCandidate(
    const Versioned<InstanceRecord>& instance,
    const FleetObservation& observation,
    Duration patience) {
  const auto observed = observation.workers.find(instance.value.worker);
  if (instance.value.Busy() || observed == observation.workers.end() ||
      !observed->second.healthy) {
    return std::nullopt;
  }
  Candidate candidate;
  // Longer tasks are checkpointed and count as a delay of `patience`.
  candidate.remaining = std::min(observed->second.remaining, patience);
  candidate.instance = &instance;
  return candidate;
}

std::vector<Candidate> FindCandidates(const MaintenancePlan& plan,
                                      const ExecutorInput& input,
                                      Duration patience) {
  std::vector<Candidate> candidates;
  std::size_t position = 0;
  std::size_t first_incomplete = plan.waves.size();
  for (std::size_t wave = 0; wave < plan.waves.size(); ++wave) {
    if (plan.barrier && wave > first_incomplete) {
      break;
    }
    for (const WorkerName& worker : plan.waves[wave]) {
      ++position;
      const Versioned<InstanceRecord>* instance = input.ledger.Find(worker);
      if (instance == nullptr ||
          instance->value.maintained_cycle >= plan.cycle) {
        continue;
      }
      first_incomplete = std::min(first_incomplete, wave);
      std::optional<Candidate> candidate =
          MakeCandidate(*instance, input.observation, patience);
      if (candidate) {
        candidate->group =
            (wave - first_incomplete) / WaveExecutor::kLookaheadWaves;
        candidate->position = position;
        candidates.push_back(*candidate);
      }
    }
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

// Adds the instances with a charge or a requested operation to those that are
// down, by service.
DownTable AddPlanned(DownTable down, const ExecutorInput& input) {
  for (const BudgetTable::value_type& budget : input.budgets) {
    for (const ChargeTable::value_type& charge : budget.second.value.charges) {
      down[budget.first].insert(charge.second.worker);
    }
  }
  for (const InstanceTable::value_type& instance : input.ledger.instances()) {
    const InstanceRecord& record = instance.second.value;
    if (record.step != InstanceStep::kRequested) {
      continue;
    }
    for (const ServiceName& service : input.topology.ServicesOf(record.pool)) {
      down[service].insert(record.worker);
    }
  }
  return down;
}

std::set<PoolName> BusyPools(const PoolLedger& ledger) {
  std::set<PoolName> busy;
  for (const InstanceTable::value_type& instance : ledger.instances()) {
    if (instance.second.value.Busy()) {
      busy.insert(instance.second.value.pool);
    }
  }
  return busy;
}

bool AllBudgetsAllow(const InstanceRecord& record,
                     const ExecutorInput& input,
                     const DownTable& down) {
  for (const ServiceName& service : input.topology.ServicesOf(record.pool)) {
    const auto budget = input.budgets.find(service);
    if (budget == input.budgets.end()) {
      return false;
    }
    const auto found = down.find(service);
    std::size_t count = 1;
    if (found != down.end()) {
      count = found->second.size() +
              (found->second.contains(record.worker) ? 0 : 1);
    }
    if (static_cast<std::int64_t>(count) > budget->second.value.allowed) {
      return false;
    }
  }
  return true;
}

}  // namespace

WaveExecutor::WaveExecutor(EntryName entry, Duration patience)
    : entry_name(std::move(entry)), checkpoint_patience(patience) {}

std::vector<FleetAction> WaveExecutor::Next(const MaintenancePlan& plan,
                                            const ExecutorInput& input,
                                            MonotonicTime now) const {
  const DownTable unplanned = DisruptionBudget::UnplannedDown(
      input.ledger, input.topology, input.observation);
  std::vector<FleetAction> actions;
  this->ContinueOperations(input, unplanned, now, actions);
  if (input.window_open) {
    this->RequestNext(plan, input, AddPlanned(unplanned, input), actions);
  }
  return actions;
}

void WaveExecutor::ContinueOperations(const ExecutorInput& input,
                                      const DownTable& unplanned,
                                      MonotonicTime now,
                                      std::vector<FleetAction>& actions) const {
  const InstanceLifecycle lifecycle(this->entry_name,
                                    this->checkpoint_patience);
  const LifecycleInput lifecycle_input{input.budgets, unplanned,
                                       input.observation, input.topology,
                                       input.window_open};
  for (const InstanceTable::value_type& instance : input.ledger.instances()) {
    if (!instance.second.value.Busy()) {
      continue;
    }
    for (FleetAction& action :
         lifecycle.Next(instance.second, lifecycle_input, now)) {
      actions.push_back(std::move(action));
    }
  }
  for (const BudgetTable::value_type& budget : input.budgets) {
    std::optional<BudgetRecord> credited =
        DisruptionBudget::Credit(budget.second.value, input.ledger);
    if (credited) {
      actions.emplace_back(
          WriteBudget{std::move(*credited), budget.second.version});
    }
  }
}

void WaveExecutor::RequestNext(const MaintenancePlan& plan,
                               const ExecutorInput& input,
                               DownTable down,
                               std::vector<FleetAction>& actions) const {
  std::set<PoolName> busy = BusyPools(input.ledger);
  for (const Candidate& candidate :
       FindCandidates(plan, input, this->checkpoint_patience)) {
    const InstanceRecord& record = candidate.instance->value;
    // A pool that no service depends on, such as a spare pool, has no budget.
    // Its instances are maintained one at a time.
    const bool unbudgeted = input.topology.ServicesOf(record.pool).empty();
    if ((unbudgeted && busy.contains(record.pool)) ||
        !AllBudgetsAllow(record, input, down)) {
      continue;
    }
    const Result<WriteInstance> request = input.ledger.RequestMaintenance(
        record.worker, plan.cycle,
        this->entry_name.str() + "@" +
            std::to_string(candidate.instance->version));
    if (!request.ok()) {
      continue;
    }
    actions.emplace_back(request.value());
    busy.insert(record.pool);
    for (const ServiceName& service : input.topology.ServicesOf(record.pool)) {
      down[service].insert(record.worker);
    }
  }
}

}  // namespace daisyroad

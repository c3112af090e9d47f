#include "Core/Fleet/disruption_budget.h"

#include <string>

namespace daisyroad {
namespace {

bool IsDown(const InstanceRecord& instance,
            const FleetObservation& observation) {
  if (observation.zones_out.contains(instance.zone)) {
    return true;
  }
  const auto observed = observation.workers.find(instance.worker);
  return observed == observation.workers.end() || !observed->second.healthy ||
         !observed->second.listed;
}

bool HasEnded(const std::string& operation,
              const BudgetCharge& charge,
              const PoolLedger& ledger) {
  const Versioned<InstanceRecord>* known = ledger.Find(charge.worker);
  // A record read before the operation was requested does not name it either,
  // so only a newer version shows that the operation has ended.
  return known != nullptr && known->version > charge.operation_base &&
         known->value.operation != operation;
}

}  // namespace

DownTable DisruptionBudget::UnplannedDown(const PoolLedger& ledger,
                                          const ServiceTopology& topology,
                                          const FleetObservation& observation) {
  DownTable down;
  for (const InstanceTable::value_type& entry : ledger.instances()) {
    const InstanceRecord& instance = entry.second.value;
    if (!IsDown(instance, observation)) {
      continue;
    }
    for (const ServiceName& service : topology.ServicesOf(instance.pool)) {
      down[service].insert(instance.worker);
    }
  }
  return down;
}

std::int64_t DisruptionBudget::DownWith(const BudgetRecord& budget,
                                        const std::set<WorkerName>& unplanned,
                                        const WorkerName& worker) {
  std::set<WorkerName> down = unplanned;
  down.insert(worker);
  for (const ChargeTable::value_type& entry : budget.charges) {
    down.insert(entry.second.worker);
  }
  return static_cast<std::int64_t>(down.size());
}

bool DisruptionBudget::HasRoom(const BudgetRecord& budget,
                               const std::set<WorkerName>& unplanned,
                               const WorkerName& worker) {
  return DownWith(budget, unplanned, worker) <= budget.allowed;
}

Result<BudgetRecord> DisruptionBudget::Charge(
    const BudgetRecord& budget,
    const InstanceRecord& instance,
    const std::set<WorkerName>& unplanned) {
  if (!HasRoom(budget, unplanned, instance.worker)) {
    return Error{Errc::kResourceExhausted, "budget.charge",
                 budget.service.str(),
                 std::to_string(DownWith(budget, unplanned, instance.worker)) +
                     " instances would be down, but the budget allows " +
                     std::to_string(budget.allowed)};
  }
  BudgetRecord charged = budget;
  charged.charges[instance.operation] =
      BudgetCharge{instance.worker, instance.operation_base};
  return charged;
}

std::optional<BudgetRecord> DisruptionBudget::Credit(const BudgetRecord& budget,
                                                     const PoolLedger& ledger) {
  BudgetRecord credited = budget;
  for (const ChargeTable::value_type& entry : budget.charges) {
    if (HasEnded(entry.first, entry.second, ledger)) {
      credited.charges.erase(entry.first);
    }
  }
  if (credited.charges.size() == budget.charges.size()) {
    return std::nullopt;
  }
  return credited;
}

}  // namespace daisyroad

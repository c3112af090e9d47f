#include "UnitTests/Fleet/fleet_checker.h"

namespace daisyroad {
namespace {

bool IsLegalTransition(InstanceStep before, InstanceStep after) {
  switch (before) {
    case InstanceStep::kInService:
      return after == InstanceStep::kRequested;
    case InstanceStep::kRequested:
      return after == InstanceStep::kDraining ||
             after == InstanceStep::kInService;
    case InstanceStep::kDraining:
      return after == InstanceStep::kDrained ||
             after == InstanceStep::kReturned;
    case InstanceStep::kDrained:
      return after == InstanceStep::kRebooting ||
             after == InstanceStep::kReturned;
    case InstanceStep::kRebooting:
      return after == InstanceStep::kReturned;
    case InstanceStep::kReturned:
      return after == InstanceStep::kHandedOver;
    case InstanceStep::kHandedOver:
      return after == InstanceStep::kInService;
  }
  return false;
}

template <typename Table>
std::set<WorkerName> FindWorkers(const Table& table,
                                 const ServiceName& service) {
  const auto found = table.find(service);
  return found == table.end() ? std::set<WorkerName>() : found->second;
}

}  // namespace

void FleetChecker::OnInstanceWrite(const InstanceRecord& before,
                                   const InstanceRecord& after,
                                   const BudgetTable& budgets,
                                   const GroundTruth& truth,
                                   std::int64_t worker_incarnation,
                                   MonotonicTime now) {
  const std::string& operation =
      after.Busy() ? after.operation : before.operation;
  if (!IsLegalTransition(before.step, after.step)) {
    this->Fail("illegal step transition: " + ToString(before.step) + " to " +
               ToString(after.step));
  }
  if (!this->past_steps.emplace(operation, after.step).second) {
    this->Fail("step repeated by one operation: " + ToString(after.step));
  }
  if (before.Busy() && after.Busy() && before.operation != after.operation) {
    this->Fail("operation in progress replaced by another");
  }
  const bool hands_over = after.step == InstanceStep::kHandedOver;
  if (after.pool != (hands_over ? before.target : before.pool) ||
      after.pool.empty()) {
    this->Fail("pool changed other than by a handover to the target");
  }
  if (after.step == InstanceStep::kDraining) {
    this->CheckDrainStart(after, budgets, truth, now);
  }
  if (after.step == InstanceStep::kReturned &&
      worker_incarnation == before.incarnation) {
    this->Fail("worker returned without a new incarnation");
  }
  this->completed += hands_over ? 1 : 0;
}

void FleetChecker::CheckDrainStart(const InstanceRecord& record,
                                   const BudgetTable& budgets,
                                   const GroundTruth& truth,
                                   MonotonicTime now) {
  if (now - truth.time > std::chrono::seconds(3)) {
    this->Fail("disruption began on an outdated observation");
  }
  for (const ServiceName& service : this->topology.ServicesOf(record.pool)) {
    const BudgetRecord& budget = budgets.at(service).value;
    if (!budget.charges.contains(record.operation)) {
      this->Fail("disruption began without a charge to " + service.str());
    }
    std::set<WorkerName> down = FindWorkers(truth.unplanned, service);
    down.merge(FindWorkers(truth.charged, service));
    down.insert(record.worker);
    if (static_cast<std::int64_t>(down.size()) > budget.allowed) {
      this->Fail("disruption began beyond the budget of " + service.str());
    }
  }
}

void FleetChecker::OnBudgetWrite(const BudgetRecord& before,
                                 const BudgetRecord& after,
                                 const InstanceTable& records,
                                 const GroundTruth& truth,
                                 MonotonicTime now) {
  for (const ChargeTable::value_type& entry : before.charges) {
    const InstanceRecord& instance = records.at(entry.second.worker).value;
    if (!after.charges.contains(entry.first) &&
        instance.operation == entry.first) {
      this->Fail("charge credited while its operation is at step " +
                 ToString(instance.step));
    }
  }
  if (after.charges.size() <= before.charges.size()) {
    return;
  }
  if (now - truth.time > std::chrono::seconds(3)) {
    this->Fail("budget charged on an outdated observation");
  }
  std::set<WorkerName> down = FindWorkers(truth.unplanned, after.service);
  for (const ChargeTable::value_type& entry : after.charges) {
    down.insert(entry.second.worker);
  }
  if (static_cast<std::int64_t>(down.size()) > after.allowed) {
    this->Fail("charge beyond the budget of " + after.service.str());
  }
}

void FleetChecker::OnReboot(const std::string& operation) {
  if (!this->rebooted.insert(operation).second) {
    this->Fail("worker rebooted twice by " + operation);
  }
}

}  // namespace daisyroad

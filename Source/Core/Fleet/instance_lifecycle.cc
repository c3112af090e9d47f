#include "Core/Fleet/instance_lifecycle.h"

#include <utility>

namespace daisyroad {
namespace {

const std::set<WorkerName>& FindDown(const DownTable& table,
                                     const ServiceName& service) {
  static const std::set<WorkerName> kNoWorkers;
  const auto found = table.find(service);
  return found == table.end() ? kNoWorkers : found->second;
}

const WorkerObservation* FindObservation(const FleetObservation& observation,
                                         const WorkerName& worker) {
  const auto found = observation.workers.find(worker);
  return found == observation.workers.end() ? nullptr : &found->second;
}

// True if the worker is healthy with another incarnation than the one that was
// drained.
bool HasReturned(const InstanceRecord& record,
                 const WorkerObservation& observed) {
  return observed.healthy && observed.incarnation != record.incarnation;
}

}  // namespace

InstanceLifecycle::InstanceLifecycle(EntryName entry, Duration patience)
    : entry_name(std::move(entry)), checkpoint_patience(patience) {}

std::vector<FleetAction> InstanceLifecycle::Next(
    const Versioned<InstanceRecord>& instance,
    const LifecycleInput& input,
    MonotonicTime now) const {
  switch (instance.value.step) {
    case InstanceStep::kInService:
      return {};
    case InstanceStep::kRequested:
      return this->ChargeAndDrain(instance, input, now);
    case InstanceStep::kDraining:
    case InstanceStep::kDrained:
    case InstanceStep::kRebooting:
      return this->DrainAndReboot(instance, input);
    case InstanceStep::kReturned:
      return {this->HandOver(instance)};
    case InstanceStep::kHandedOver:
      return {this->EndOperation(instance)};
  }
  return {};
}

std::vector<FleetAction> InstanceLifecycle::ChargeAndDrain(
    const Versioned<InstanceRecord>& instance,
    const LifecycleInput& input,
    MonotonicTime now) const {
  const InstanceRecord& record = instance.value;
  const MonotonicTime not_after =
      input.observation.observed_at + kObservationBound;
  const WorkerObservation* observed =
      FindObservation(input.observation, record.worker);
  if (now > not_after) {
    return {};
  }
  const bool missed_window = record.operation_cycle > 0 && !input.window_open;
  if (missed_window || observed == nullptr || !observed->healthy) {
    return {this->EndOperation(instance)};
  }
  for (const ServiceName& service : input.topology.ServicesOf(record.pool)) {
    const auto budget = input.budgets.find(service);
    if (budget == input.budgets.end()) {
      return {};
    }
    const Result<BudgetRecord> charged = DisruptionBudget::Charge(
        budget->second.value, record, FindDown(input.unplanned, service));
    // The operation ends before the charges already made for it are credited,
    // so that no other entry instance can begin the drain on these charges: its
    // compare-and-swap on the instance record fails.
    if (!charged.ok()) {
      return {this->EndOperation(instance)};
    }
    if (!budget->second.value.charges.contains(record.operation)) {
      return {WriteBudget{charged.value(), budget->second.version, not_after}};
    }
  }
  WriteInstance write = this->WriteStep(instance, InstanceStep::kDraining);
  write.record.incarnation = observed->incarnation;
  write.not_after = not_after;
  return {write};
}

std::vector<FleetAction> InstanceLifecycle::DrainAndReboot(
    const Versioned<InstanceRecord>& instance,
    const LifecycleInput& input) const {
  const InstanceRecord& record = instance.value;
  const WorkerObservation* observed =
      FindObservation(input.observation, record.worker);
  if (observed != nullptr && HasReturned(record, *observed)) {
    return {this->WriteStep(instance, InstanceStep::kReturned)};
  }
  if (record.step == InstanceStep::kDrained) {
    return {this->WriteStep(instance, InstanceStep::kRebooting)};
  }
  if (record.step == InstanceStep::kRebooting) {
    return {RebootWorker{record.worker, record.incarnation}};
  }
  if (observed == nullptr) {
    return {};
  }
  return this->Drain(instance, *observed);
}

std::vector<FleetAction> InstanceLifecycle::Drain(
    const Versioned<InstanceRecord>& instance,
    const WorkerObservation& observed) const {
  const InstanceRecord& record = instance.value;
  if (observed.drained && observed.incarnation == record.incarnation) {
    return {this->WriteStep(instance, InstanceStep::kDrained)};
  }
  std::vector<FleetAction> actions = {
      DrainWorker{record.worker, record.incarnation}};
  if (observed.remaining > this->checkpoint_patience) {
    actions.emplace_back(CheckpointWorker{record.worker, record.incarnation});
  }
  return actions;
}

WriteInstance InstanceLifecycle::WriteStep(
    const Versioned<InstanceRecord>& instance,
    InstanceStep step) const {
  WriteInstance write{instance.value, instance.version,
                      this->entry_name.str() + "@" +
                          std::to_string(instance.version) + ToString(step)};
  write.record.step = step;
  write.record.AddChange(write.change);
  return write;
}

WriteInstance InstanceLifecycle::EndOperation(
    const Versioned<InstanceRecord>& instance) const {
  WriteInstance write = this->WriteStep(instance, InstanceStep::kInService);
  write.record.operation.clear();
  write.record.operation_base = 0;
  write.record.operation_cycle = 0;
  write.record.target = PoolName();
  return write;
}

WriteInstance InstanceLifecycle::HandOver(
    const Versioned<InstanceRecord>& instance) const {
  WriteInstance write = this->WriteStep(instance, InstanceStep::kHandedOver);
  write.record.pool = instance.value.target;
  if (instance.value.operation_cycle > 0) {
    write.record.maintained_cycle = instance.value.operation_cycle;
  }
  return write;
}

}  // namespace daisyroad

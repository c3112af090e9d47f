#include "Core/Fleet/instance_lifecycle.h"

#include <utility>

namespace daisyroad {
namespace {

const std::set<WorkerName>& Down(const DownTable& table,
                                 const ServiceName& service) {
  static const std::set<WorkerName> none;
  const auto found = table.find(service);
  return found == table.end() ? none : found->second;
}

const WorkerObservation* Seen(const FleetObservation& observation,
                              const WorkerName& worker) {
  const auto found = observation.workers.find(worker);
  return found == observation.workers.end() ? nullptr : &found->second;
}

// A worker has returned when another incarnation than the drained one is
// healthy.
bool HasReturned(const InstanceRecord& record, const WorkerObservation& seen) {
  return seen.healthy && seen.incarnation != record.incarnation;
}

}  // namespace

InstanceLifecycle::InstanceLifecycle(EntryName entry, Duration task_patience)
    : self(std::move(entry)), patience(task_patience) {}

std::vector<FleetAction> InstanceLifecycle::Next(
    const Versioned<InstanceRecord>& instance,
    const LifecycleInput& input,
    MonotonicTime now) const {
  switch (instance.value.step) {
    case InstanceStep::kInService:
      return {};
    case InstanceStep::kRequested:
      return this->Begin(instance, input, now);
    case InstanceStep::kDraining:
    case InstanceStep::kDrained:
    case InstanceStep::kRebooting:
      return this->Disrupt(instance, input);
    case InstanceStep::kReturned:
      return {this->HandOver(instance)};
    case InstanceStep::kHandedOver:
      return {this->Finish(instance)};
  }
  return {};
}

std::vector<FleetAction> InstanceLifecycle::Begin(
    const Versioned<InstanceRecord>& instance,
    const LifecycleInput& input,
    MonotonicTime now) const {
  const InstanceRecord& record = instance.value;
  const MonotonicTime not_after =
      input.observation.observed_at + kObservationBound;
  const WorkerObservation* seen = Seen(input.observation, record.worker);
  if (now > not_after) {
    return {};
  }
  const bool too_late = record.operation_cycle > 0 && !input.window_open;
  if (too_late || seen == nullptr || !seen->healthy) {
    return {this->Finish(instance)};
  }
  for (const ServiceName& service : input.topology.ServicesOf(record.pool)) {
    const auto budget = input.budgets.find(service);
    if (budget == input.budgets.end()) {
      return {};
    }
    const Result<BudgetRecord> charged = DisruptionBudget::Charge(
        budget->second.value, record, Down(input.unplanned, service));
    // Leaving the operation first makes the charges already made void; they are
    // credited afterwards, and nobody can begin the drain on them any more.
    if (!charged.ok()) {
      return {this->Finish(instance)};
    }
    if (!budget->second.value.charges.contains(record.operation)) {
      return {WriteBudget{charged.value(), budget->second.version, not_after}};
    }
  }
  WriteInstance write = this->Step(instance, InstanceStep::kDraining);
  write.record.incarnation = seen->incarnation;
  write.not_after = not_after;
  return {write};
}

std::vector<FleetAction> InstanceLifecycle::Disrupt(
    const Versioned<InstanceRecord>& instance,
    const LifecycleInput& input) const {
  const InstanceRecord& record = instance.value;
  const WorkerObservation* seen = Seen(input.observation, record.worker);
  if (seen != nullptr && HasReturned(record, *seen)) {
    return {this->Step(instance, InstanceStep::kReturned)};
  }
  if (record.step == InstanceStep::kDrained) {
    return {this->Step(instance, InstanceStep::kRebooting)};
  }
  if (record.step == InstanceStep::kRebooting) {
    return {RebootWorker{record.worker, record.incarnation}};
  }
  if (seen == nullptr) {
    return {};
  }
  return this->Drain(instance, *seen);
}

std::vector<FleetAction> InstanceLifecycle::Drain(
    const Versioned<InstanceRecord>& instance,
    const WorkerObservation& seen) const {
  const InstanceRecord& record = instance.value;
  if (seen.drained && seen.incarnation == record.incarnation) {
    return {this->Step(instance, InstanceStep::kDrained)};
  }
  std::vector<FleetAction> actions = {
      DrainWorker{record.worker, record.incarnation}};
  if (seen.remaining > this->patience) {
    actions.emplace_back(CheckpointWorker{record.worker, record.incarnation});
  }
  return actions;
}

WriteInstance InstanceLifecycle::Step(const Versioned<InstanceRecord>& instance,
                                      InstanceStep step) const {
  WriteInstance write{instance.value, instance.version,
                      this->self.str() + "@" +
                          std::to_string(instance.version) + ToString(step)};
  write.record.step = step;
  write.record.AddChange(write.change);
  return write;
}

WriteInstance InstanceLifecycle::Finish(
    const Versioned<InstanceRecord>& instance) const {
  WriteInstance write = this->Step(instance, InstanceStep::kInService);
  write.record.operation.clear();
  write.record.operation_base = 0;
  write.record.operation_cycle = 0;
  write.record.target = PoolName();
  return write;
}

WriteInstance InstanceLifecycle::HandOver(
    const Versioned<InstanceRecord>& instance) const {
  WriteInstance write = this->Step(instance, InstanceStep::kHandedOver);
  write.record.pool = instance.value.target;
  if (instance.value.operation_cycle > 0) {
    write.record.maintained_cycle = instance.value.operation_cycle;
  }
  return write;
}

}  // namespace daisyroad

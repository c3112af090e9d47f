#include "Core/Entry/fleet_actuator.h"

#include <utility>
#include <variant>

#include "Core/Common/json.h"
#include "Core/Common/log_decision.h"
#include "Core/Common/logging.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/fleet_observer.h"
#include "Core/Entry/fleet_store.h"
#include "Core/Entry/worker_directory.h"

namespace daisyroad {
namespace {

// Returns true if the stored record results from this write or from a later one
// based on it.
bool HoldsChange(const StoreEntry& entry, const std::string& change) {
  const Result<Json::Value> json = ParseJson(entry.value);
  const Result<InstanceRecord> record =
      json.ok() ? ParseInstanceRecord(json.value())
                : Result<InstanceRecord>(json.error());
  return record.ok() && record.value().HasChange(change);
}

LogDecision StepLine(const std::string& decision,
                     const InstanceRecord& record) {
  LogDecision line(decision);
  line.Field("worker", record.worker.str())
      .Field("step", ToString(record.step))
      .Field("pool", record.pool.str());
  if (!record.operation.empty()) {
    line.Field("operation", record.operation)
        .Field("target", record.target.str());
  }
  return line;
}

// Adds the state of each disruption budget that the instance is charged to.
void AddBudgetFields(const InstanceRecord& record,
                     const FleetSnapshot& snapshot,
                     LogDecision* line) {
  for (const ServiceName& service : snapshot.topology.ServicesOf(record.pool)) {
    const auto budget = snapshot.budgets.find(service);
    if (budget == snapshot.budgets.end()) {
      continue;
    }
    const auto down = snapshot.unplanned.find(service);
    const std::set<WorkerName> none;
    const std::set<WorkerName>& unplanned =
        down == snapshot.unplanned.end() ? none : down->second;
    line->Field("service", service.str())
        .Field("down", DisruptionBudget::DownWith(budget->second.value,
                                                  unplanned, record.worker))
        .Field("allowed", budget->second.value.allowed)
        .Field("charges",
               static_cast<std::int64_t>(budget->second.value.charges.size()))
        .Field("unplanned", static_cast<std::int64_t>(unplanned.size()));
  }
}

bool IsRefusedByBudget(const InstanceRecord& record,
                       const FleetSnapshot& snapshot) {
  for (const ServiceName& service : snapshot.topology.ServicesOf(record.pool)) {
    const auto budget = snapshot.budgets.find(service);
    const auto down = snapshot.unplanned.find(service);
    if (budget != snapshot.budgets.end() &&
        !DisruptionBudget::HasRoom(budget->second.value,
                                   down == snapshot.unplanned.end()
                                       ? std::set<WorkerName>()
                                       : down->second,
                                   record.worker)) {
      return true;
    }
  }
  return false;
}

}  // namespace

FleetActuator::FleetActuator(EntryContext* entry_context,
                             const WorkerDirectory* worker_directory,
                             FleetObserver* fleet_observer,
                             FleetStore* fleet_store)
    : context(entry_context),
      directory(worker_directory),
      observer(fleet_observer),
      store(fleet_store) {}

void FleetActuator::Apply(const std::vector<FleetAction>& actions,
                          const SnapshotPtr& snapshot,
                          const DoneCallback& callback) {
  const std::shared_ptr<std::size_t> pending_count =
      std::make_shared<std::size_t>(actions.size() + 1);
  const std::shared_ptr<bool> any_written = std::make_shared<bool>(false);
  const DoneCallback on_done = [pending_count, any_written,
                                callback](bool written) {
    *any_written = *any_written || written;
    if (--*pending_count == 0) {
      callback(*any_written);
    }
  };
  for (const FleetAction& action : actions) {
    std::visit([&](const auto& item) { this->Apply(item, snapshot, on_done); },
               action);
  }
  on_done(false);
}

void FleetActuator::Apply(const WriteInstance& write,
                          const SnapshotPtr& snapshot,
                          const DoneCallback& callback) {
  this->store->Put(
      {InstanceKey(write.record.worker), WriteJson(ToJson(write.record)),
       static_cast<std::uint64_t>(write.expected_version), write.not_after,
       [change = write.change](const StoreEntry& entry) {
         return HoldsChange(entry, change);
       }},
      [this, write, snapshot, callback](const Result<bool>& written) {
        const bool applied = written.ok() && written.value();
        if (applied) {
          this->LogStep(write, *snapshot);
        } else if (!written.ok()) {
          CLOG(WARNING, kFleetLog) << written.error().ToString();
        }
        callback(applied);
      });
}

void FleetActuator::Apply(const WriteBudget& write,
                          const SnapshotPtr&,
                          const DoneCallback& callback) {
  const std::string text = WriteJson(ToJson(write.record));
  this->store->Put(
      {BudgetKey(write.record.service), text,
       static_cast<std::uint64_t>(write.expected_version), write.not_after,
       [text](const StoreEntry& entry) { return entry.value == text; }},
      [callback](const Result<bool>& written) {
        if (!written.ok()) {
          CLOG(WARNING, kFleetLog) << written.error().ToString();
        }
        callback(written.ok() && written.value());
      });
}

void FleetActuator::Apply(const DrainWorker& drain,
                          const SnapshotPtr&,
                          const DoneCallback& callback) {
  this->SendCommand(drain.worker, drain.incarnation, WorkerCommand::kDrain,
                    TaskId(), [callback](const Status&) { callback(false); });
}

void FleetActuator::Apply(const CheckpointWorker& checkpoint,
                          const SnapshotPtr&,
                          const DoneCallback& callback) {
  for (const TaskId& task : this->observer->RunningOn(checkpoint.worker)) {
    this->context->decisions->Write(
        kFleetLog, LogDecision("drain_checkpoint")
                       .Field("worker", checkpoint.worker.str())
                       .Field("task", task.str()));
    this->SendCommand(checkpoint.worker, checkpoint.incarnation,
                      WorkerCommand::kCheckpoint, task, [](const Status&) {});
  }
  callback(false);
}

void FleetActuator::Apply(const RebootWorker& reboot,
                          const SnapshotPtr& snapshot,
                          const DoneCallback& callback) {
  this->SendCommand(
      reboot.worker, reboot.incarnation, WorkerCommand::kReboot, TaskId(),
      [this, worker = reboot.worker, snapshot, callback](const Status& status) {
        if (status.ok()) {
          this->LogReboot(worker, *snapshot);
        }
        callback(false);
      });
}

void FleetActuator::SendCommand(const WorkerName& worker,
                                std::int64_t incarnation,
                                WorkerCommand command,
                                const TaskId& task,
                                const WorkerClient::CommandCallback& callback) {
  const WorkerInfo* const info = this->directory->Find(worker);
  const std::string text = this->observer->IncarnationText(worker, incarnation);
  if (info == nullptr || text.empty()) {
    callback(Error{Errc::kConflict, "fleet.command", worker.str(),
                   "the worker was last seen as another incarnation"});
    return;
  }
  this->context->workers->Command(info->listed.address, command, task, text,
                                  callback);
}

void FleetActuator::LogStep(const WriteInstance& write,
                            const FleetSnapshot& snapshot) {
  const InstanceRecord& record = write.record;
  const Versioned<InstanceRecord>* const before =
      snapshot.ledger.Find(record.worker);
  const bool is_refused = before != nullptr &&
                          before->value.step == InstanceStep::kRequested &&
                          record.step == InstanceStep::kInService;
  if (is_refused) {
    LogDecision line = StepLine("refused", before->value);
    const bool by_budget = IsRefusedByBudget(before->value, snapshot);
    line.Field("reason", by_budget ? "budget without room"
                                   : "worker not healthy or window closed");
    AddBudgetFields(before->value, snapshot, &line);
    this->context->decisions->Write(kFleetLog, line);
    return;
  }
  const bool drain = record.step == InstanceStep::kDraining;
  LogDecision line = StepLine(drain ? "drain_begun" : "step", record);
  if (drain) {
    AddBudgetFields(record, snapshot, &line);
  }
  this->context->decisions->Write(kFleetLog, line);
}

void FleetActuator::LogReboot(const WorkerName& worker,
                              const FleetSnapshot& snapshot) {
  const Versioned<InstanceRecord>* const record = snapshot.ledger.Find(worker);
  if (record == nullptr ||
      this->logged_reboots[worker] == record->value.operation) {
    return;
  }
  this->logged_reboots[worker] = record->value.operation;
  this->context->decisions->Write(kFleetLog, StepLine("reboot", record->value));
}

}  // namespace daisyroad

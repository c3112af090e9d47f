#ifndef SOURCE_CORE_ENTRY_FLEET_ACTUATOR_H_
#define SOURCE_CORE_ENTRY_FLEET_ACTUATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Entry/fleet_snapshot.h"
#include "Core/Fleet/fleet_action.h"
#include "Core/Platform/worker_client.h"

namespace daisyroad {

struct EntryContext;
class FleetObserver;
class FleetStore;
class WorkerDirectory;

// Executes the actions of one round and logs the decisions.
class FleetActuator {
 public:
  // The argument is true if a record was written.
  using DoneCallback = std::function<void(bool)>;

  FleetActuator(EntryContext* entry_context,
                const WorkerDirectory* worker_directory,
                FleetObserver* fleet_observer,
                FleetStore* fleet_store);

  // Calls back when every write and command has been answered.
  void Apply(const std::vector<FleetAction>& actions,
             const std::shared_ptr<const FleetSnapshot>& snapshot,
             const DoneCallback& callback);

 private:
  using SnapshotPtr = std::shared_ptr<const FleetSnapshot>;

  void Apply(const WriteInstance& write,
             const SnapshotPtr& snapshot,
             const DoneCallback& callback);
  void Apply(const WriteBudget& write,
             const SnapshotPtr& snapshot,
             const DoneCallback& callback);
  void Apply(const DrainWorker& drain,
             const SnapshotPtr& snapshot,
             const DoneCallback& callback);
  void Apply(const CheckpointWorker& checkpoint,
             const SnapshotPtr& snapshot,
             const DoneCallback& callback);
  void Apply(const RebootWorker& reboot,
             const SnapshotPtr& snapshot,
             const DoneCallback& callback);
  // Sends nothing and fails with kConflict if the last probe saw another
  // incarnation of the worker.
  void SendCommand(const WorkerName& worker,
                   std::int64_t incarnation,
                   WorkerCommand command,
                   const TaskId& task,
                   const WorkerClient::CommandCallback& callback);
  void LogStep(const WriteInstance& write, const FleetSnapshot& snapshot);
  void LogReboot(const WorkerName& worker, const FleetSnapshot& snapshot);

  EntryContext* context;
  const WorkerDirectory* directory;
  FleetObserver* observer;
  FleetStore* store;
  // The operation of the last logged reboot by worker, to log each operation
  // once: reboot commands are repeated until the worker returns.
  std::map<WorkerName, std::string> logged_reboots;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_ACTUATOR_H_

#ifndef SOURCE_CORE_ENTRY_DISPATCH_SERVICE_H_
#define SOURCE_CORE_ENTRY_DISPATCH_SERVICE_H_

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Entry/cell_dispatcher.h"

namespace daisyroad {

struct EntryContext;
class ControlService;
class PeerService;
class WorkerDirectory;

// Runs the cell dispatchers of this instance and sends tasks to the dispatchers
// of other instances.
class DispatchService {
 public:
  using UpdateHandler = std::function<void(const DispatchUpdate& update)>;
  using StatusCallback = std::function<void(const Status& status)>;
  using LimitTaker = std::function<bool(const TeamName& team)>;
  using LimitReturner = std::function<void(const TeamName& team)>;
  using StatesCallback = std::function<void(
      const Result<std::map<TaskId, std::optional<DispatchState>>>& states)>;

  DispatchService(EntryContext* context,
                  PeerService* peers,
                  ControlService* control,
                  WorkerDirectory* directory);

  // `handler` receives the updates of tasks whose registrar is this instance.
  // The other two take and return one of the running tasks that a team's upper
  // limit allows.
  void Start(UpdateHandler handler,
             LimitTaker take_limit,
             LimitReturner return_limit);

  // The instance that dispatches a cell, chosen by rendezvous hashing among the
  // live instances of the zone, or of all zones if the zone has none.
  EntryName OwnerOf(const PoolName& pool, const ZoneName& zone) const;

  // Sends a task to a dispatcher. Errors: kUnavailable if it was certainly not
  // received, kTimeout if it may have been, others if it was refused.
  void Send(const EntryName& owner,
            DispatchRequest request,
            const std::optional<WorkerName>& running_on,
            StatusCallback callback);
  // Renews tasks and requests their states. An absent state means that the
  // dispatcher does not know the task.
  void Renew(const EntryName& owner,
             const std::vector<TaskId>& tasks,
             StatesCallback callback);
  void Cancel(const EntryName& owner, const TaskId& task);

  // RPC methods `dispatch.enqueue`, `dispatch.renew`, `dispatch.cancel`.
  Json::Value ServeEnqueue(const Json::Value& params);
  Json::Value ServeRenew(const Json::Value& params);
  Json::Value ServeCancel(const Json::Value& params);

  // Latest time at which a task may start in the zone; empty if none may start
  // now.
  std::optional<MonotonicTime> StartDeadline(const QueueName& queue,
                                             const ZoneName& zone) const;
  const std::map<std::pair<PoolName, ZoneName>,
                 std::unique_ptr<CellDispatcher>>&
  cells() const {
    return this->dispatchers;
  }
  // Loads of the cells whose dispatcher is this instance.
  std::vector<CellLoad> Loads() const;
  std::size_t Running(const TeamName& team) const;
  std::size_t Waiting(const TeamName& team) const;
  // Called when the open connections to a worker carried no data but the
  // worker answered on a new one.
  void OnSilentConnection(const std::string& address,
                          const WorkerStatus& status);
  // Starts no more tasks; running tasks are tracked until they end.
  void BeginShutdown() { this->is_stopping = true; }

 private:
  using CellKey = std::pair<PoolName, ZoneName>;

  CellDispatcher* GetOrCreateCell(const PoolName& pool, const ZoneName& zone);
  void Configure(CellDispatcher* cell);
  void ConfigureAll();
  Status EnqueueHere(const DispatchRequest& request,
                     const std::optional<WorkerName>& running_on);
  void Deliver(const EntryName& registrar, const DispatchUpdate& update);
  void SendUpdate(const EntryName& registrar,
                  const DispatchUpdate& update,
                  int attempt);
  void Tick();
  void TrackWorkers();
  void Poll(const WorkerName& worker);
  void RenewLeases(const WorkerName& worker);
  void OnFinished(const WorkerName& worker,
                  const std::vector<TaskReport>& reports);
  bool IsTracked(const WorkerName& worker) const;

  EntryContext* context;
  PeerService* peers;
  ControlService* control;
  WorkerDirectory* directory;
  UpdateHandler handler;
  LimitTaker take_limit;
  LimitReturner return_limit;
  std::map<CellKey, std::unique_ptr<CellDispatcher>> dispatchers;
  std::map<WorkerName, std::vector<TaskId>> pending_acks;
  std::set<WorkerName> polling;
  std::set<WorkerName> renewing;
  bool is_stopping = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_DISPATCH_SERVICE_H_

#ifndef SOURCE_CORE_ENTRY_CELL_DISPATCHER_H_
#define SOURCE_CORE_ENTRY_CELL_DISPATCHER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Declaration/pool.h"
#include "Core/Entry/cell_load.h"
#include "Core/Entry/cell_workers.h"
#include "Core/Entry/dispatch_messages.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Platform/worker_messages.h"
#include "Core/Shares/fair_queue.h"

namespace daisyroad {

struct EntryContext;

// Starts the tasks of one cell (the workers of one pool in one zone) and
// follows them to their end.
class CellDispatcher {
 public:
  // What the cell asks of the rest of the instance.
  struct Hooks {
    // Latest time to start work of the queue in the cell's zone; empty if it
    // may not start now.
    std::function<std::optional<MonotonicTime>(const QueueName& queue,
                                               const ZoneName& zone)>
        start_deadline;
    // Takes one running task of the team's upper limit; false if none is left.
    std::function<bool(const TeamName& team)> take_limit;
    std::function<void(const TeamName& team)> return_limit;
    std::function<void(const EntryName& registrar,
                       const DispatchUpdate& update)>
        update;
  };

  CellDispatcher(EntryContext* context,
                 WorkerDirectory* directory,
                 PoolName pool,
                 ZoneName zone,
                 Hooks hooks);

  void SetPool(const Pool& declared);
  void SetWeight(const TeamName& team, double weight);
  // A known task is renewed, not queued again. Errors: see FairQueue::Enqueue.
  Status Enqueue(const DispatchRequest& request);
  // Follows a task that already runs at the worker.
  void Adopt(const DispatchRequest& request, const WorkerName& worker);
  // False if the task is not known here.
  bool Renew(const TaskId& task, Milliseconds valid_until);
  void Cancel(const TaskId& task);
  // Ends the tasks that wait as not run, so that their registrars send them to
  // another cell.
  void HandBackWaiting(const std::string& reason);
  std::optional<DispatchState> StateOf(const TaskId& task) const;

  // Tasks whose leases this instance renews at the worker.
  std::vector<TaskId> RunningOn(const WorkerName& worker) const;
  // True if the worker's clock and answers are needed here: it has tasks of
  // this cell, or tasks wait for a worker of the cell. Holds whoever owns the
  // cell by now, since the tasks that came before stay here.
  bool NeedsWorker(const WorkerInfo& worker) const;
  void OnReport(const WorkerName& worker, const TaskReport& report);
  void OnLeasesRenewed(const WorkerName& worker,
                       const LeaseReply& reply,
                       MonotonicTime sent);
  // Asks for each task at the worker by its identifier on a new connection.
  void InquireAll(const WorkerName& worker);
  void OnWorkerChanged(const WorkerName& worker);
  void Tick();

  bool idle() const { return this->tasks.empty(); }
  std::size_t waiting() const { return this->queue.waiting_count(); }
  std::size_t running() const { return this->tasks.size() - this->waiting(); }
  // Tasks of the team that were sent to a worker and have not ended.
  std::size_t Running(const TeamName& team) const;
  std::size_t Waiting(const TeamName& team) const;
  Duration EstimatedWait(const TeamName& team, TaskClass task_class) const;
  CellLoad Load() const;
  const PoolName& pool() const { return this->pool_name; }
  const ZoneName& zone() const { return this->zone_name; }

 private:
  enum class Phase { kQueued, kStarting, kInquiring, kRunning };
  struct Task {
    DispatchRequest request;
    Phase phase = Phase::kQueued;
    MonotonicTime valid_until;
    MonotonicTime latest_start;
    WorkerName worker;
    std::string incarnation;
    WorkerClock start_before{0};
    MonotonicTime sent_at;          // of the start
    MonotonicTime lease_confirmed;  // sending time of the last renewal
    bool cancelled = false;
    bool holds_limit = false;
  };
  enum class Attempt { kStarted, kTeamBlocked, kRefused };

  Duration MeanWait(TaskClass task_class) const;
  void Pump();
  bool PumpOnce(std::set<WorkerName>* unfit);
  Attempt Begin(const FairTask& next,
                const WorkerInfo& worker,
                const WorkerChoice& choice);
  void SendStart(const Task& task, const WorkerInfo& worker);
  Task& Add(const DispatchRequest& request);
  // The phases in which the task waits in the queue, or holds a worker's room.
  void SetQueued(Task* task);
  void SetOnWorker(Task* task, Phase phase, const WorkerName& worker);
  void Remove(const TaskId& id);
  void OnStartReply(const TaskId& id,
                    const WorkerName& worker,
                    const Result<StartReply>& reply);
  void Inquire(const TaskId& id);
  void Ask(const TaskId& id, const WorkerInfo& worker);
  void OnAsked(const TaskId& id, const Result<TaskReport>& report);
  void OnFate(const TaskId& id, const Result<TaskReport>& report);
  void OnRunning(Task* task);
  void PutBack(Task* task, const std::string& why);
  void WorkerLost(Task* task, const std::string& why);
  void End(const TaskId& id, DispatchState state, const std::string& reason);
  void EndWithReport(const TaskId& id, const TaskReport& report);
  bool TakeLimit(Task* task);
  void ReleaseLimit(Task* task);
  void Unblock();
  void TakeMissingLimits();
  void DropExpired();
  void DropAbandoned();
  void CheckLeases();
  void Reclaim();
  void UpdateCapacity();
  void LogStart(const Task& task, const std::string& outcome) const;

  EntryContext* context;
  WorkerDirectory* directory;
  PoolName pool_name;
  ZoneName zone_name;
  Hooks hooks;
  Pool declared;
  FairQueue queue;
  std::map<TaskId, Task> tasks;
  // Teams without allotment, until the next tick or a task of theirs ends.
  std::set<TeamName> blocked;
  CellWorkers cell_workers;
  std::map<TeamName, std::size_t> waiting_by_team;
  std::map<TeamName, std::size_t> running_by_team;
  MonotonicTime checked_at;
  bool pumping = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_CELL_DISPATCHER_H_

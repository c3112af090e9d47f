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

// Schedules the tasks of one cell (the workers of one pool in one zone) and
// tracks each of them until it ends.
class CellDispatcher {
 public:
  // Callbacks into the rest of the instance.
  struct Hooks {
    // Latest time at which a task of the queue may start in the cell's zone;
    // empty if none may start now.
    std::function<std::optional<MonotonicTime>(const QueueName& queue,
                                               const ZoneName& zone)>
        start_deadline;
    // Takes one of the running tasks that the team's upper limit allows; false
    // if none is left.
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
  // Renews a task that is already known instead of queueing it again. Errors:
  // see FairQueue::Enqueue.
  Status Enqueue(const DispatchRequest& request);
  // Tracks a task that is already running on the worker.
  void Adopt(const DispatchRequest& request, const WorkerName& worker);
  // Extends the time until which the task may start; false if the task is
  // unknown.
  bool Renew(const TaskId& task, Milliseconds valid_until);
  void Cancel(const TaskId& task);
  // Ends all waiting tasks as not run, so that their registrars send them to
  // another cell.
  void HandBackWaiting(const std::string& reason);
  std::optional<DispatchState> StateOf(const TaskId& task) const;

  // Tasks on the worker whose leases this instance renews.
  std::vector<TaskId> RunningOn(const WorkerName& worker) const;
  // True if this cell needs the worker's clock and replies: the worker has
  // tasks of this cell, or tasks wait for a worker of the cell. Does not depend
  // on which instance owns the cell now, since tasks accepted earlier stay
  // here.
  bool NeedsWorker(const WorkerInfo& worker) const;
  void OnReport(const WorkerName& worker, const TaskReport& report);
  void OnLeasesRenewed(const WorkerName& worker,
                       const LeaseReply& reply,
                       MonotonicTime sent);
  // Requests a report on each running task of the worker by its identifier, on
  // a new connection.
  void InquireAll(const WorkerName& worker);
  void OnWorkerChanged(const WorkerName& worker);
  void Tick();

  bool idle() const { return this->tasks.empty(); }
  std::size_t waiting() const { return this->queue.waiting_count(); }
  std::size_t running() const { return this->tasks.size() - this->waiting(); }
  // Number of tasks of the team that were sent to a worker and have not ended.
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
    MonotonicTime sent_at;  // when the start request was sent
    // When the last confirmed lease renewal was sent.
    MonotonicTime lease_confirmed;
    bool is_cancelled = false;
    bool holds_limit = false;
  };
  enum class StartAttempt { kStarted, kTeamBlocked, kRefused };

  Duration MeanWait(TaskClass task_class) const;
  void StartQueuedTasks();
  bool StartNextTask(std::set<WorkerName>* excluded);
  StartAttempt TryStartTask(const FairTask& next,
                            const WorkerInfo& worker,
                            const WorkerChoice& choice);
  void SendStart(const Task& task, const WorkerInfo& worker);
  Task& Add(const DispatchRequest& request);
  // Move the task to the queue, or to a phase in which it occupies capacity of
  // the worker.
  void SetQueued(Task* task);
  void SetOnWorker(Task* task, Phase phase, const WorkerName& worker);
  void Remove(const TaskId& id);
  void OnStartReply(const TaskId& id,
                    const WorkerName& worker,
                    const Result<StartReply>& reply);
  void Inquire(const TaskId& id);
  void RequestReport(const TaskId& id, const WorkerInfo& worker);
  void OnRequestedReport(const TaskId& id, const Result<TaskReport>& report);
  void ApplyReport(const TaskId& id, const Result<TaskReport>& report);
  void OnRunning(Task* task);
  void Requeue(Task* task, const std::string& reason);
  void OnWorkerLost(Task* task, const std::string& reason);
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
  void LogRequeue(const Task& task, const std::string& outcome) const;

  EntryContext* context;
  WorkerDirectory* directory;
  PoolName pool_name;
  ZoneName zone_name;
  Hooks hooks;
  Pool declared;
  FairQueue queue;
  std::map<TaskId, Task> tasks;
  // Teams that have used up their allotment; cleared on the next tick and when
  // one of their tasks ends.
  std::set<TeamName> blocked_teams;
  CellWorkers cell_workers;
  std::map<TeamName, std::size_t> waiting_by_team;
  std::map<TeamName, std::size_t> running_by_team;
  MonotonicTime last_check;
  bool is_starting = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_CELL_DISPATCHER_H_

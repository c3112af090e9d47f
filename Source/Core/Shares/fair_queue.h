#ifndef SOURCE_CORE_SHARES_FAIR_QUEUE_H_
#define SOURCE_CORE_SHARES_FAIR_QUEUE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Shares/fair_queue_settings.h"
#include "Core/Shares/fair_task.h"
#include "Core/Shares/reclaim_decision.h"
#include "Core/Shares/runtime_estimator.h"
#include "Core/Shares/share_ledger.h"
#include "Core/Shares/task_store.h"

namespace daisyroad {

enum class TaskEnd { kFinished, kCheckpointed };

// Schedules the tasks of one cell by weighted dominant resource fairness (DRF)
// between teams; within a team, urgent tasks start before long ones. The times
// passed to one queue must not decrease.
class FairQueue {
 public:
  explicit FairQueue(FairQueueSettings queue_settings);

  // Capacity of the whole cell and of its largest worker.
  void SetCapacity(const Resources& capacity,
                   const Resources& largest_worker_size,
                   MonotonicTime now);
  void SetWeight(const TeamName& team, double weight, MonotonicTime now);

  // A blocked team, for example one at its upper limit, starts no tasks, delays
  // no other team and accumulates no deficit for capacity that it cannot use.
  void SetBlocked(const TeamName& team, bool is_blocked, MonotonicTime now);

  // Errors: kConflict (the identifier is already queued or running),
  // kInvalidArgument (no identifier, invalid size, or larger than any worker),
  // kResourceExhausted (queue full), kTimeout (the estimated wait exceeds the
  // deadline). A refused task has not run.
  Status Enqueue(FairTask task, MonotonicTime now);
  // Adds a task that already runs, taken over from another dispatcher. Fails
  // with kConflict if the identifier is already queued or running.
  Status Adopt(FairTask task, MonotonicTime now);
  // Removes a waiting task. Returns false if the task is running or unknown.
  bool Cancel(const TaskId& id, MonotonicTime now);
  // Selects the task to start with `free`, the available resources of one
  // worker. It counts as running until Finished or NotStarted is called.
  std::optional<FairTask> Next(MonotonicTime now, const Resources& free);
  // A checkpointed task is requeued at the front.
  void Finished(const TaskId& id,
                TaskEnd end,
                const Resources& usage,
                Duration run_time,
                MonotonicTime now);
  // The worker refused the start; the task is requeued at the front.
  void NotStarted(const TaskId& id, MonotonicTime now);
  // Replaces the usage of a running task with what its worker reported.
  void ReportUsage(const TaskId& id, const Resources& usage, MonotonicTime now);
  // Selects long tasks to checkpoint or throttle for other work, or, when no
  // task waits, throttled tasks to restore to full speed.
  std::vector<ReclaimDecision> Reclaim(MonotonicTime now,
                                       const Resources& free);
  // The worker could not carry out a decision of Reclaim.
  void ReclaimFailed(const TaskId& id, MonotonicTime now);
  // Returns and clears the list of waiting tasks that were dropped because
  // their deadline had passed.
  std::vector<TaskId> TakeExpired();

  Duration EstimatedWait(const TeamName& team, TaskClass task_class) const;
  std::size_t waiting_count() const { return this->waiting_task_count; }
  std::size_t Running(const TeamName& team) const;
  double Usage(const TeamName& team) const;
  double Deficit(const TeamName& team) const;
  const RuntimeEstimator& estimator() const { return this->runtime_estimator; }

 private:
  using Index = TaskStore::Index;
  struct Team {
    TaskStore::List waiting_urgent;
    TaskStore::List waiting_long;
    TaskStore::List running_long;
    double waiting_urgent_work = 0.0;  // dominant share times seconds
    double waiting_long_work = 0.0;
    double urgent_usage = 0.0;
    double reclaiming_from = 0.0;  // usage being reclaimed from this team
    double reclaiming_for = 0.0;   // usage being reclaimed for this team
    std::size_t running_count = 0;
    std::size_t pending_grants = 0;  // completed reclaims not yet used
    bool is_blocked = false;
  };

  // The resources of the running task `victim` are to go to team `claimant`.
  struct ReclaimCandidate {
    std::size_t claimant;
    Index victim;
  };

  std::size_t FindOrAddTeam(const TeamName& name);
  const std::size_t* FindTeam(const TeamName& name) const;
  TaskStore::List& WaitingList(Team& team, TaskClass task_class);
  Status Admit(const FairTask& task, const Resources& size, MonotonicTime now);
  void AddWaiting(Index index, bool at_front);
  void RemoveWaiting(Index index);
  void UpdateWaiting(std::size_t team);
  Index FindFittingTask(std::size_t team,
                        TaskClass task_class,
                        MonotonicTime now,
                        const Resources& free);
  Index FindHighestScoredTask(MonotonicTime now,
                              const Resources& free,
                              std::optional<TaskClass> only_class);
  Index FindGrantedTask(MonotonicTime now, const Resources& free);
  Index SelectNext(MonotonicTime now, const Resources& free);
  Resources EstimateSize(const FairTask& task) const;
  void Start(Index index, MonotonicTime now);
  void Release(Index index);
  void RescaleShares();
  void SetUsage(Index index, const Resources& usage);
  void EndReclaim(Index index, bool is_capacity_free);
  void Requeue(Index index, MonotonicTime now);
  double OverdueUrgentShare(const Team& team, MonotonicTime now) const;
  bool HasUrgentCredit(std::size_t team) const;
  bool IsLongBelowMinimum() const;
  std::optional<ReclaimCandidate> FindUrgentReclaim(MonotonicTime now,
                                                    bool has_free_slots) const;
  std::optional<ReclaimCandidate> FindBalancingReclaim(
      MonotonicTime now,
      bool has_free_slots) const;
  std::optional<std::size_t> FindMostUnderservedTeam() const;
  Index FindVictim(MonotonicTime now, bool has_free_slots) const;
  Index FindTeamVictim(const Team& team,
                       MonotonicTime now,
                       bool has_free_slots) const;
  double VictimScore(std::size_t team) const;
  ReclaimDecision BeginReclaim(Index victim, std::size_t claimant);
  void RefillAllowance(MonotonicTime now);
  void RestoreThrottled(std::vector<ReclaimDecision>& decisions);

  FairQueueSettings settings;
  Resources cell_capacity;
  Resources largest_worker;
  TaskStore store;
  RuntimeEstimator runtime_estimator;
  ShareLedger ledger;
  std::map<TeamName, std::size_t> team_index;
  std::vector<Team> teams;
  std::vector<TaskId> expired_tasks;
  std::size_t waiting_task_count = 0;
  std::size_t waiting_long_count = 0;
  double long_usage = 0.0;
  double reclaiming_long_usage = 0.0;
  // Dominant share times seconds that may still be lost to checkpoints.
  double checkpoint_allowance = 0.0;
  MonotonicTime last_reclaim_at;
  std::size_t throttled_count = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_FAIR_QUEUE_H_

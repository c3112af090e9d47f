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

// The queue of one cell. Decides which task starts next by weighted
// dominant-resource fairness between teams, urgent before long within a team.
// Times passed to one queue must not decrease.
class FairQueue {
 public:
  explicit FairQueue(FairQueueSettings queue_settings);

  // Room of the whole cell and of its largest worker.
  void SetCapacity(const Resources& cell_total,
                   const Resources& largest,
                   MonotonicTime now);
  void SetWeight(const TeamName& team, double weight, MonotonicTime now);

  // A blocked team, for example one at its upper limit, starts nothing, makes
  // others wait for nothing and gathers no claim to room that it cannot use.
  void SetBlocked(const TeamName& team, bool blocked, MonotonicTime now);

  // Refusals: kConflict (identifier known), kInvalidArgument (bad size, or
  // larger than any worker), kResourceExhausted (queue full), kTimeout
  // (estimated wait exceeds the deadline). A refused task has not run.
  Status Enqueue(FairTask task, MonotonicTime now);
  // A task that already runs, taken over from another dispatcher. kConflict if
  // the identifier is known.
  Status Adopt(FairTask task, MonotonicTime now);
  // True if the task was waiting and is now forgotten.
  bool Cancel(const TaskId& id, MonotonicTime now);
  // The task to start in `free`, the room on one worker. It counts as running
  // from this call until Finished, or until NotStarted.
  std::optional<FairTask> Next(MonotonicTime now, const Resources& free);
  // A checkpointed task waits again at the front of its queue.
  void Finished(const TaskId& id,
                TaskEnd end,
                const Resources& usage,
                Duration run_time,
                MonotonicTime now);
  // The worker refused the start; the task waits again at the front.
  void NotStarted(const TaskId& id, MonotonicTime now);
  // Usage reported by the worker while the task runs.
  void ReportUsage(const TaskId& id, const Resources& usage, MonotonicTime now);
  // Long tasks to checkpoint or throttle, or to run at full speed again.
  std::vector<ReclaimDecision> Reclaim(MonotonicTime now,
                                       const Resources& free);
  // The worker could not do what Reclaim asked for.
  void ReclaimFailed(const TaskId& id, MonotonicTime now);
  // Waiting tasks dropped because their deadline has passed.
  std::vector<TaskId> TakeExpired();

  Duration EstimatedWait(const TeamName& team, TaskClass task_class) const;
  std::size_t waiting_count() const { return this->waiting; }
  std::size_t Running(const TeamName& team) const;
  double Usage(const TeamName& team) const;
  double Deficit(const TeamName& team) const;
  const RuntimeEstimator& estimator() const { return this->learned; }

 private:
  using Index = TaskStore::Index;
  struct Team {
    TaskStore::List urgent;
    TaskStore::List background;  // waiting long tasks
    TaskStore::List running_long;
    double queued_urgent = 0.0;  // dominant share times seconds
    double queued_long = 0.0;
    double urgent_usage = 0.0;
    double reclaiming = 0.0;  // usage that is being reclaimed from the team
    double promised = 0.0;    // usage that is being reclaimed for the team
    std::size_t running = 0;
    std::size_t grants = 0;  // reclaimed room that is now free
    bool blocked = false;
  };

  // Room of the running task `victim` is to go to `team`.
  struct Claim {
    std::size_t team;
    Index victim;
  };

  std::size_t TeamIndex(const TeamName& name);
  const std::size_t* FindTeam(const TeamName& name) const;
  TaskStore::List& WaitingList(Team& team, TaskClass task_class);
  Status Admit(const FairTask& task, const Resources& size, MonotonicTime now);
  void Link(Index index, bool front);
  void UnlinkWaiting(Index index);
  void UpdateWaiting(std::size_t team);
  Index FindFit(std::size_t team,
                TaskClass task_class,
                MonotonicTime now,
                const Resources& free);
  Index BestFit(MonotonicTime now,
                const Resources& free,
                std::optional<TaskClass> only);
  Index GrantedFit(MonotonicTime now, const Resources& free);
  Index Select(MonotonicTime now, const Resources& free);
  Resources SizeOf(const FairTask& task) const;
  void Start(Index index, MonotonicTime now);
  void Release(Index index);
  void Rescale();
  void Charge(Index index, const Resources& usage);
  void EndReclaim(Index index, bool room_is_free);
  void PutBack(Index index, MonotonicTime now);
  double OverdueUrgent(const Team& team, MonotonicTime now) const;
  bool UrgentMayPass(std::size_t team) const;
  bool LongIsBelowMinimum() const;
  std::optional<Claim> UrgentClaim(MonotonicTime now, bool slots_free) const;
  std::optional<Claim> LongClaim(MonotonicTime now, bool slots_free) const;
  std::optional<std::size_t> MostDeserving() const;
  Index Victim(MonotonicTime now, bool slots_free) const;
  Index VictimOf(const Team& team, MonotonicTime now, bool slots_free) const;
  double VictimScore(std::size_t team) const;
  ReclaimDecision BeginReclaim(Index victim, std::size_t claimant);
  void RefillAllowance(MonotonicTime now);
  void RestoreThrottled(std::vector<ReclaimDecision>& decisions);

  FairQueueSettings settings;
  Resources total;
  Resources largest_worker;
  TaskStore store;
  RuntimeEstimator learned;
  ShareLedger ledger;
  std::map<TeamName, std::size_t> team_index;
  std::vector<Team> teams;
  std::vector<TaskId> expired;
  std::size_t waiting = 0;
  std::size_t long_waiting = 0;
  double long_usage = 0.0;
  double long_reclaiming = 0.0;
  // Dominant share times seconds that may be spent on checkpoints.
  double checkpoint_allowance = 0.0;
  MonotonicTime last_reclaim;
  std::size_t throttled_count = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_FAIR_QUEUE_H_

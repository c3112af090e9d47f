#include "Core/Shares/fair_queue.h"

#include <utility>

namespace daisyroad {
namespace {

// Number of waiting tasks per team and class that are checked for fit; limits
// the cost of one decision.
constexpr int kFitAttempts = 8;

}  // namespace

FairQueue::FairQueue(FairQueueSettings queue_settings)
    : settings(queue_settings) {}

void FairQueue::SetCapacity(const Resources& capacity,
                            const Resources& largest_worker_size,
                            MonotonicTime now) {
  this->ledger.Accrue(now);
  this->cell_capacity = capacity;
  this->largest_worker = largest_worker_size;
  this->RescaleShares();
}

void FairQueue::SetWeight(const TeamName& team,
                          double weight,
                          MonotonicTime now) {
  this->ledger.Accrue(now);
  this->ledger.SetWeight(this->FindOrAddTeam(team), weight);
}

void FairQueue::SetBlocked(const TeamName& team,
                           bool is_blocked,
                           MonotonicTime now) {
  const std::size_t index = this->FindOrAddTeam(team);
  if (this->teams[index].is_blocked == is_blocked) {
    return;
  }
  this->ledger.Accrue(now);
  this->teams[index].is_blocked = is_blocked;
  this->UpdateWaiting(index);
}

bool FairQueue::Cancel(const TaskId& id, MonotonicTime now) {
  const Index index = this->store.Find(id);
  if (index == TaskStore::kNone || this->store.At(index).is_running) {
    return false;
  }
  this->ledger.Accrue(now);
  this->RemoveWaiting(index);
  this->store.Remove(index);
  return true;
}

std::optional<FairTask> FairQueue::Next(MonotonicTime now,
                                        const Resources& free) {
  if (this->waiting_task_count == 0) {
    return std::nullopt;
  }
  this->ledger.Accrue(now);
  const Index index = this->SelectNext(now, free);
  if (index == TaskStore::kNone) {
    return std::nullopt;
  }
  this->Start(index, now);
  return this->store.At(index).task;
}

FairQueue::Index FairQueue::SelectNext(MonotonicTime now,
                                       const Resources& free) {
  Index index = TaskStore::kNone;
  if (this->IsLongBelowMinimum()) {
    index = this->FindHighestScoredTask(now, free, TaskClass::kLong);
  }
  if (index == TaskStore::kNone) {
    index = this->FindGrantedTask(now, free);
  }
  if (index == TaskStore::kNone) {
    index = this->FindHighestScoredTask(now, free, TaskClass::kUrgent);
  }
  if (index == TaskStore::kNone) {
    index = this->FindHighestScoredTask(now, free, std::nullopt);
  }
  return index;
}

// Returns the first fitting task of the team with the highest score.
// `only_class` restricts the search to long tasks, or to urgent tasks of teams
// that have urgent credit left.
FairQueue::Index FairQueue::FindHighestScoredTask(
    MonotonicTime now,
    const Resources& free,
    std::optional<TaskClass> only_class) {
  Index best = TaskStore::kNone;
  double best_score = 0.0;
  for (std::size_t team = 0; team < this->teams.size(); ++team) {
    const Team& state = this->teams[team];
    const bool has_urgent =
        only_class != TaskClass::kLong && state.waiting_urgent.count > 0;
    const bool has_long =
        only_class != TaskClass::kUrgent && state.waiting_long.count > 0;
    if ((!has_urgent && !has_long) || state.is_blocked ||
        (only_class == TaskClass::kUrgent && !this->HasUrgentCredit(team))) {
      continue;
    }
    const double score = this->ledger.Score(team, 0.0);
    if (best != TaskStore::kNone && score <= best_score) {
      continue;
    }
    Index index =
        has_urgent ? this->FindFittingTask(team, TaskClass::kUrgent, now, free)
                   : TaskStore::kNone;
    if (index == TaskStore::kNone && has_long) {
      index = this->FindFittingTask(team, TaskClass::kLong, now, free);
    }
    if (index != TaskStore::kNone) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

// Returns a fitting task of a team for which resources were reclaimed. Each
// completed reclaim gives its team precedence once.
FairQueue::Index FairQueue::FindGrantedTask(MonotonicTime now,
                                            const Resources& free) {
  for (std::size_t team = 0; team < this->teams.size(); ++team) {
    Team& state = this->teams[team];
    if (state.pending_grants == 0) {
      continue;
    }
    --state.pending_grants;
    if (state.is_blocked) {
      continue;
    }
    Index index = this->FindFittingTask(team, TaskClass::kUrgent, now, free);
    if (index == TaskStore::kNone) {
      index = this->FindFittingTask(team, TaskClass::kLong, now, free);
    }
    if (index != TaskStore::kNone) {
      return index;
    }
  }
  return TaskStore::kNone;
}

FairQueue::Index FairQueue::FindFittingTask(std::size_t team,
                                            TaskClass task_class,
                                            MonotonicTime now,
                                            const Resources& free) {
  TaskStore::List& list = this->WaitingList(this->teams[team], task_class);
  Index index = list.head;
  for (int attempt = 0; attempt < kFitAttempts && index != TaskStore::kNone;) {
    const TaskStore::Node& node = this->store.At(index);
    const Index next = node.next;
    if (node.task.deadline < now) {
      this->expired_tasks.push_back(node.task.id);
      this->RemoveWaiting(index);
      this->store.Remove(index);
    } else if (node.size.FitsIn(free)) {
      return index;
    } else {
      ++attempt;
    }
    index = next;
  }
  return TaskStore::kNone;
}

void FairQueue::Start(Index index, MonotonicTime now) {
  this->RemoveWaiting(index);
  TaskStore::Node& node = this->store.At(index);
  Team& team = this->teams[node.team];
  node.is_running = true;
  node.started_at = now;
  ++team.running_count;
  if (node.task.task_class == TaskClass::kLong) {
    this->store.PushBack(team.running_long, index);
  }
  node.share = 0.0;
  this->SetUsage(index, node.size);
}

void FairQueue::Finished(const TaskId& id,
                         TaskEnd end,
                         const Resources& usage,
                         Duration run_time,
                         MonotonicTime now) {
  const Index index = this->store.Find(id);
  if (index == TaskStore::kNone || !this->store.At(index).is_running) {
    return;  // duplicate notification
  }
  if (end == TaskEnd::kCheckpointed) {
    this->Requeue(index, now);
    return;
  }
  this->ledger.Accrue(now);
  const FairTask& task = this->store.At(index).task;
  this->runtime_estimator.Observe(task.team, task.queue, usage, run_time);
  this->Release(index);
  this->store.Remove(index);
}

void FairQueue::NotStarted(const TaskId& id, MonotonicTime now) {
  const Index index = this->store.Find(id);
  if (index != TaskStore::kNone && this->store.At(index).is_running) {
    this->Requeue(index, now);
  }
}

void FairQueue::Requeue(Index index, MonotonicTime now) {
  this->ledger.Accrue(now);
  this->Release(index);
  TaskStore::Node& node = this->store.At(index);
  node.is_running = false;
  node.share = node.size.DominantShare(this->cell_capacity);
  this->AddWaiting(index, true);
}

void FairQueue::ReportUsage(const TaskId& id,
                            const Resources& usage,
                            MonotonicTime now) {
  const Index index = this->store.Find(id);
  if (index != TaskStore::kNone && this->store.At(index).is_running &&
      usage.IsValid()) {
    this->ledger.Accrue(now);
    this->SetUsage(index, usage);
  }
}

std::vector<TaskId> FairQueue::TakeExpired() {
  return std::exchange(this->expired_tasks, {});
}

}  // namespace daisyroad

#include "Core/Shares/fair_queue.h"

#include <utility>

namespace daisyroad {
namespace {

// Waiting tasks of one team and class that are tried when the first one does
// not fit; bounds the cost of one decision.
constexpr int kFitAttempts = 8;

}  // namespace

FairQueue::FairQueue(FairQueueSettings queue_settings)
    : settings(queue_settings) {}

void FairQueue::SetCapacity(const Resources& cell_total,
                            const Resources& largest,
                            MonotonicTime now) {
  this->ledger.Accrue(now);
  this->total = cell_total;
  this->largest_worker = largest;
  this->Rescale();
}

void FairQueue::SetWeight(const TeamName& team,
                          double weight,
                          MonotonicTime now) {
  this->ledger.Accrue(now);
  this->ledger.SetWeight(this->TeamIndex(team), weight);
}

void FairQueue::SetBlocked(const TeamName& team,
                           bool blocked,
                           MonotonicTime now) {
  const std::size_t index = this->TeamIndex(team);
  if (this->teams[index].blocked == blocked) {
    return;
  }
  this->ledger.Accrue(now);
  this->teams[index].blocked = blocked;
  this->UpdateWaiting(index);
}

bool FairQueue::Cancel(const TaskId& id, MonotonicTime now) {
  const Index index = this->store.Find(id);
  if (index == TaskStore::kNone || this->store.At(index).running) {
    return false;
  }
  this->ledger.Accrue(now);
  this->UnlinkWaiting(index);
  this->store.Remove(index);
  return true;
}

std::optional<FairTask> FairQueue::Next(MonotonicTime now,
                                        const Resources& free) {
  if (this->waiting == 0) {
    return std::nullopt;
  }
  this->ledger.Accrue(now);
  const Index index = this->Select(now, free);
  if (index == TaskStore::kNone) {
    return std::nullopt;
  }
  this->Start(index, now);
  return this->store.At(index).task;
}

FairQueue::Index FairQueue::Select(MonotonicTime now, const Resources& free) {
  Index index = TaskStore::kNone;
  if (this->LongIsBelowMinimum()) {
    index = this->BestFit(now, free, TaskClass::kLong);
  }
  if (index == TaskStore::kNone) {
    index = this->GrantedFit(now, free);
  }
  if (index == TaskStore::kNone) {
    index = this->BestFit(now, free, TaskClass::kUrgent);
  }
  if (index == TaskStore::kNone) {
    index = this->BestFit(now, free, std::nullopt);
  }
  return index;
}

// The fitting task of the team with the highest score. `only` restricts the
// search to long work, or to urgent work of teams that have credit left.
FairQueue::Index FairQueue::BestFit(MonotonicTime now,
                                    const Resources& free,
                                    std::optional<TaskClass> only) {
  Index best = TaskStore::kNone;
  double best_score = 0.0;
  for (std::size_t team = 0; team < this->teams.size(); ++team) {
    const Team& state = this->teams[team];
    const bool urgent = only != TaskClass::kLong && state.urgent.count > 0;
    const bool background =
        only != TaskClass::kUrgent && state.background.count > 0;
    if ((!urgent && !background) || state.blocked ||
        (only == TaskClass::kUrgent && !this->UrgentMayPass(team))) {
      continue;
    }
    const double score = this->ledger.Score(team, 0.0);
    if (best != TaskStore::kNone && score <= best_score) {
      continue;
    }
    Index index = urgent ? this->FindFit(team, TaskClass::kUrgent, now, free)
                         : TaskStore::kNone;
    if (index == TaskStore::kNone && background) {
      index = this->FindFit(team, TaskClass::kLong, now, free);
    }
    if (index != TaskStore::kNone) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

// Room that was reclaimed for a team goes to that team.
FairQueue::Index FairQueue::GrantedFit(MonotonicTime now,
                                       const Resources& free) {
  for (std::size_t team = 0; team < this->teams.size(); ++team) {
    Team& state = this->teams[team];
    if (state.grants == 0) {
      continue;
    }
    --state.grants;
    if (state.blocked) {
      continue;
    }
    Index index = this->FindFit(team, TaskClass::kUrgent, now, free);
    if (index == TaskStore::kNone) {
      index = this->FindFit(team, TaskClass::kLong, now, free);
    }
    if (index != TaskStore::kNone) {
      return index;
    }
  }
  return TaskStore::kNone;
}

FairQueue::Index FairQueue::FindFit(std::size_t team,
                                    TaskClass task_class,
                                    MonotonicTime now,
                                    const Resources& free) {
  TaskStore::List& list = this->WaitingList(this->teams[team], task_class);
  Index index = list.head;
  for (int attempt = 0; attempt < kFitAttempts && index != TaskStore::kNone;) {
    const TaskStore::Node& node = this->store.At(index);
    const Index next = node.next;
    if (node.task.deadline < now) {
      this->expired.push_back(node.task.id);
      this->UnlinkWaiting(index);
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
  this->UnlinkWaiting(index);
  TaskStore::Node& node = this->store.At(index);
  Team& team = this->teams[node.team];
  node.running = true;
  node.started = now;
  ++team.running;
  if (node.task.task_class == TaskClass::kLong) {
    this->store.PushBack(team.running_long, index);
  }
  node.share = 0.0;
  this->Charge(index, node.size);
}

void FairQueue::Finished(const TaskId& id,
                         TaskEnd end,
                         const Resources& usage,
                         Duration run_time,
                         MonotonicTime now) {
  const Index index = this->store.Find(id);
  if (index == TaskStore::kNone || !this->store.At(index).running) {
    return;  // a repeated notice
  }
  if (end == TaskEnd::kCheckpointed) {
    this->PutBack(index, now);
    return;
  }
  this->ledger.Accrue(now);
  const FairTask& task = this->store.At(index).task;
  this->learned.Observe(task.team, task.queue, usage, run_time);
  this->Release(index);
  this->store.Remove(index);
}

void FairQueue::NotStarted(const TaskId& id, MonotonicTime now) {
  const Index index = this->store.Find(id);
  if (index != TaskStore::kNone && this->store.At(index).running) {
    this->PutBack(index, now);
  }
}

void FairQueue::PutBack(Index index, MonotonicTime now) {
  this->ledger.Accrue(now);
  this->Release(index);
  TaskStore::Node& node = this->store.At(index);
  node.running = false;
  node.share = node.size.DominantShare(this->total);
  this->Link(index, true);
}

void FairQueue::ReportUsage(const TaskId& id,
                            const Resources& usage,
                            MonotonicTime now) {
  const Index index = this->store.Find(id);
  if (index != TaskStore::kNone && this->store.At(index).running &&
      usage.IsValid()) {
    this->ledger.Accrue(now);
    this->Charge(index, usage);
  }
}

std::vector<TaskId> FairQueue::TakeExpired() {
  return std::exchange(this->expired, {});
}

}  // namespace daisyroad

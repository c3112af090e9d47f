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

<<<<<<< HEAD
Status FairQueue::Enqueue(FairTask task, MonotonicTime now) {
  this->ledger.Accrue(now);
  const Resources size = this->SizeOf(task);
  Status admitted = this->Admit(task, size, now);
  if (!admitted.ok()) {
    return admitted;
  }
  const bool is_long = task.task_class == TaskClass::kLong;
  const Duration fallback = is_long ? this->settings.default_long_run
                                    : this->settings.default_urgent_run;
  const double seconds =
      Seconds(this->learned.RunTime(task.team, task.queue, fallback));
  const std::size_t team = this->TeamIndex(task.team);
  const Index index = this->store.Add(std::move(task));
  TaskStore::Node& node = this->store.At(index);
  node.team = team;
  node.size = size;
  node.share = size.DominantShare(this->total);
  node.seconds = seconds;
  node.enqueued = now;
  this->Link(index, false);
  return OkStatus();
}

Status FairQueue::Adopt(FairTask task, MonotonicTime now) {
  if (this->store.Find(task.id) != TaskStore::kNone) {
    return Error{Errc::kConflict, "queue.adopt", "", "the task is known"};
  }
  this->ledger.Accrue(now);
  const Resources size = this->SizeOf(task);
  const std::size_t team = this->TeamIndex(task.team);
  const Index index = this->store.Add(std::move(task));
  TaskStore::Node& node = this->store.At(index);
  node.team = team;
  node.size = size;
  node.share = size.DominantShare(this->total);
  this->Link(index, false);
  this->Start(index, now);
  return OkStatus();
}

Resources FairQueue::SizeOf(const FairTask& task) const {
  Resources size = this->learned.Size(task.team, task.queue, task.declared);
  if (size.cores != task.declared.cores ||
      size.memory_gb != task.declared.memory_gb) {
    // What has run did fit on a worker, whatever the usage reports say.
    size.cores = std::min(size.cores, this->largest_worker.cores);
    size.memory_gb = std::min(size.memory_gb, this->largest_worker.memory_gb);
  }
  return size;
}

Status FairQueue::Admit(const FairTask& task,
                        const Resources& size,
                        MonotonicTime now) {
  if (this->store.Find(task.id) != TaskStore::kNone) {
    return Refuse(Errc::kConflict, task, "already queued or running");
  }
  if (!task.declared.IsValid() || task.declared.slots <= 0.0) {
    return Refuse(Errc::kInvalidArgument, task, "declared size is not valid");
  }
  if (!size.FitsIn(this->largest_worker)) {
    return Refuse(Errc::kInvalidArgument, task,
                  "larger than any worker of the pool");
  }
  if (this->waiting >= this->settings.queue_limit) {
    return Refuse(Errc::kResourceExhausted, task, "queue full");
  }
  const Duration wait = this->EstimatedWait(task.team, task.task_class);
  if (task.deadline < now || wait > task.deadline - now) {
    return Refuse(
        Errc::kTimeout, task,
        "estimated wait of " +
            std::to_string(
                std::chrono::duration_cast<Milliseconds>(wait).count()) +
            " ms exceeds the deadline");
  }
  return OkStatus();
}

Duration FairQueue::EstimatedWait(const TeamName& team,
                                  TaskClass task_class) const {
  const std::size_t* index = this->FindTeam(team);
  if (index == nullptr) {
    return Duration::zero();
  }
  const Team& state = this->teams[*index];
  double work = state.queued_urgent;
  if (task_class == TaskClass::kLong) {
    work += state.queued_long;
  }
  const double seconds = work / this->ledger.EntitlementIfWaiting(*index);
  // A day bounds the conversion; no deadline is that far off.
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, 86400.0)));
}

=======
>>>>>>> shares
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
    if ((!urgent && !background) ||
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

// FairQueue: admission control with estimated sizes and waits.

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "Core/Shares/fair_queue.h"

namespace daisyroad {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Status Refuse(Errc code, const FairTask& task, const std::string& reason) {
  return Error{code, "queue.admit", "", task.id.str() + ": " + reason};
}

}  // namespace

Status FairQueue::Enqueue(FairTask task, MonotonicTime now) {
  this->ledger.Accrue(now);
  const Resources size = this->EstimateSize(task);
  Status admitted = this->Admit(task, size, now);
  if (!admitted.ok()) {
    return admitted;
  }
  const bool is_long = task.task_class == TaskClass::kLong;
  const Duration fallback = is_long ? this->settings.default_long_run_time
                                    : this->settings.default_urgent_run_time;
  const double seconds =
      Seconds(this->runtime_estimator.RunTime(task.team, task.queue, fallback));
  const std::size_t team = this->FindOrAddTeam(task.team);
  const Index index = this->store.Add(std::move(task));
  TaskStore::Node& node = this->store.At(index);
  node.team = team;
  node.size = size;
  node.share = size.DominantShare(this->cell_capacity);
  node.expected_seconds = seconds;
  node.enqueued_at = now;
  this->AddWaiting(index, false);
  return OkStatus();
}

Status FairQueue::Adopt(FairTask task, MonotonicTime now) {
  if (this->store.Find(task.id) != TaskStore::kNone) {
    return Error{Errc::kConflict, "queue.adopt", "",
                 "the task is already queued or running"};
  }
  this->ledger.Accrue(now);
  const Resources size = this->EstimateSize(task);
  const std::size_t team = this->FindOrAddTeam(task.team);
  const Index index = this->store.Add(std::move(task));
  TaskStore::Node& node = this->store.At(index);
  node.team = team;
  node.size = size;
  node.share = size.DominantShare(this->cell_capacity);
  this->AddWaiting(index, false);
  this->Start(index, now);
  return OkStatus();
}

Resources FairQueue::EstimateSize(const FairTask& task) const {
  Resources size =
      this->runtime_estimator.Size(task.team, task.queue, task.declared);
  if (size.cores != task.declared.cores ||
      size.memory_gb != task.declared.memory_gb) {
    // Earlier tasks of this queue fitted on a worker, whatever usage was
    // reported, so an estimate must not exceed the largest worker.
    size.cores = std::min(size.cores, this->largest_worker.cores);
    size.memory_gb = std::min(size.memory_gb, this->largest_worker.memory_gb);
  }
  return size;
}

Status FairQueue::Admit(const FairTask& task,
                        const Resources& size,
                        MonotonicTime now) {
  if (this->store.Find(task.id) != TaskStore::kNone) {
    return Refuse(Errc::kConflict, task,
                  "the task is already queued or running");
  }
  if (task.id.empty()) {
    return Refuse(Errc::kInvalidArgument, task, "the task has no identifier");
  }
  if (!task.declared.IsValid() || task.declared.slots <= 0.0) {
    return Refuse(Errc::kInvalidArgument, task,
                  "the declared size is invalid: amounts must be finite and "
                  "not negative, and slots must be positive");
  }
  if (!size.FitsIn(this->largest_worker)) {
    return Refuse(
        Errc::kInvalidArgument, task,
        "the task requires more resources than any worker of the pool has");
  }
  if (this->waiting_task_count >= this->settings.queue_limit) {
    return Refuse(Errc::kResourceExhausted, task, "the queue is full");
  }
  const Duration wait = this->EstimatedWait(task.team, task.task_class);
  if (task.deadline < now || wait > task.deadline - now) {
    return Refuse(
        Errc::kTimeout, task,
        "the estimated wait of " +
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
  double work = state.waiting_urgent_work;
  if (task_class == TaskClass::kLong) {
    work += state.waiting_long_work;
  }
  const double seconds = work / this->ledger.EntitlementIfWaiting(*index);
  // Limited to one day so that the conversion cannot overflow; no deadline is
  // that far ahead.
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, 86400.0)));
}

}  // namespace daisyroad

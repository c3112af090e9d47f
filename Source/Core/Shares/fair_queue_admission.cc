// Admission: sizes, estimated waits and early refusals.

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
  if (task.id.empty()) {
    return Refuse(Errc::kInvalidArgument, task, "no identifier");
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

}  // namespace daisyroad

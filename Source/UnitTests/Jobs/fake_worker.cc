#include "UnitTests/Jobs/fake_worker.h"

#include <algorithm>

namespace daisyroad {
namespace {

constexpr Milliseconds kLongestLease{6000};

}  // namespace

Milliseconds FakeWorker::Clock(MonotonicTime now) const {
  return Milliseconds(1) +
         std::chrono::duration_cast<Milliseconds>(now - this->started_at);
}

bool FakeWorker::AcceptFence(std::int64_t fence) {
  if (fence < this->highest_fence) {
    return false;
  }
  this->highest_fence = fence;
  return true;
}

void FakeWorker::End(const TaskRef& task, const Run& run, EndKind kind) {
  this->ended.push_back(RunEnd{++this->sequence, task, run.number, kind, ""});
  this->last_run[task] = std::max(this->last_run[task], run.number);
}

void FakeWorker::Advance(MonotonicTime now) {
  const bool is_lapsed = this->Clock(now) > this->lease_until;
  for (std::map<TaskRef, Run>::iterator run = this->active.begin();
       run != this->active.end();) {
    if (run->second.ends_at <= now) {
      this->End(run->first, run->second, run->second.end);
    } else if (is_lapsed) {
      this->End(run->first, run->second, EndKind::kLapsed);
    } else {
      ++run;
      continue;
    }
    run = this->active.erase(run);
  }
  if (is_lapsed) {
    this->lapsed_through = this->sequence;
  }
}

StartOutcome FakeWorker::Start(const StartRun& order,
                               std::int64_t fence,
                               const RunPlan& run_plan,
                               MonotonicTime now) {
  this->Advance(now);
  if (!this->AcceptFence(fence)) {
    return StartOutcome::kFenced;
  }
  const std::map<TaskRef, Run>::const_iterator found =
      this->active.find(order.task);
  if (found != this->active.end() && found->second.number == order.run) {
    return StartOutcome::kStarted;
  }
  const std::map<TaskRef, std::int64_t>::const_iterator last =
      this->last_run.find(order.task);
  if (found != this->active.end() ||
      (last != this->last_run.end() && order.run <= last->second)) {
    return StartOutcome::kStaleRun;
  }
  if (order.lease_until <= this->Clock(now)) {
    return StartOutcome::kLeaseEnded;
  }
  this->lease_until =
      std::max(this->lease_until,
               std::min(order.lease_until, this->Clock(now) + kLongestLease));
  Run run;
  run.number = order.run;
  run.end = run_plan.end;
  if (run_plan.duration) {
    run.ends_at = now + *run_plan.duration;
  }
  this->active[order.task] = run;
  return StartOutcome::kStarted;
}

bool FakeWorker::Stop(const StopRun& order,
                      std::int64_t fence,
                      MonotonicTime now,
                      Milliseconds takes) {
  this->Advance(now);
  if (!this->AcceptFence(fence)) {
    return false;
  }
  this->last_run[order.task] = std::max(this->last_run[order.task], order.run);
  const std::map<TaskRef, Run>::iterator found = this->active.find(order.task);
  if (found != this->active.end() && found->second.number <= order.run) {
    if (takes.count() > 0) {
      if (now + takes < found->second.ends_at) {
        found->second.ends_at = now + takes;
        found->second.end = EndKind::kStopped;
      }
      return true;
    }
    this->End(found->first, found->second, EndKind::kStopped);
    this->active.erase(found);
  }
  return true;
}

void FakeWorker::BreakRun(const TaskRef& task, MonotonicTime now) {
  this->Advance(now);
  const std::map<TaskRef, Run>::iterator found = this->active.find(task);
  if (found != this->active.end()) {
    this->End(found->first, found->second, EndKind::kBroken);
    this->active.erase(found);
  }
}

std::optional<RunReport> FakeWorker::Report(const AskReport& order,
                                            std::int64_t fence,
                                            MonotonicTime now) {
  this->Advance(now);
  if (!this->AcceptFence(fence)) {
    return std::nullopt;
  }
  std::erase_if(this->ended, [&order](const RunEnd& end) {
    return end.sequence <= order.acknowledged;
  });
  if (order.lease_until.count() > 0) {
    this->lease_until =
        std::max(this->lease_until,
                 std::min(order.lease_until, this->Clock(now) + kLongestLease));
  }
  RunReport report;
  report.worker_clock = this->Clock(now);
  report.incarnation = 1 + this->started_at.time_since_epoch().count();
  for (const std::pair<const TaskRef, Run>& run : this->active) {
    ActiveRun active;
    active.task = run.first;
    active.run = run.second.number;
    active.percent = 100;
    active.load = 100;
    report.active.push_back(active);
  }
  report.ended = this->ended;
  return report;
}

}  // namespace daisyroad

#include "Core/Routing/worker_selector.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <utility>

namespace daisyroad {
namespace {

// A failed task counts as its run time or the cell average, whichever is
// longer, plus this penalty. Without it, a worker that fails immediately looks
// like the fastest one and attracts all tasks.
constexpr double kFailurePenaltySeconds = 5.0;
constexpr double kSmoothingFactor = 0.2;
constexpr double kHalfLifeSeconds = 10.0;
// Difference of failure rates above which a task waits for a full worker.
constexpr double kWaitRateDifference = 0.3;

const char* ToText(WorkerRejection reason) {
  switch (reason) {
    case WorkerRejection::kLeaving:
      return "leaving";
    case WorkerRejection::kUnreachable:
      return "unreachable";
    case WorkerRejection::kEjected:
      return "ejected";
    case WorkerRejection::kFull:
      return "full";
    case WorkerRejection::kSlower:
      return "slower";
    case WorkerRejection::kNotSampled:
      return "not_sampled";
    case WorkerRejection::kWorseThanWaiting:
      return "worse_than_waiting";
  }
  return "unknown";
}

std::optional<WorkerRejection> IneligibilityReason(const WorkerState& state) {
  if (state.leaving) {
    return WorkerRejection::kLeaving;
  }
  if (!state.reachable) {
    return WorkerRejection::kUnreachable;
  }
  if (state.ejected) {
    return WorkerRejection::kEjected;
  }
  if (state.running >= state.slots) {
    return WorkerRejection::kFull;
  }
  return std::nullopt;
}

double RecencyWeight(MonotonicTime measured_at, MonotonicTime now) {
  const double age = std::chrono::duration<double>(now - measured_at).count();
  return std::exp2(-std::max(0.0, age) / kHalfLifeSeconds);
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

LogDecision WorkerChoice::ToLog(const TaskId& task) const {
  std::string rejected_workers;
  for (const RejectedWorker& entry : this->rejected) {
    rejected_workers += rejected_workers.empty() ? "" : ",";
    rejected_workers += entry.worker.str() + ":" + ToText(entry.reason);
  }
  LogDecision line("worker");
  line.Field("task", task.str());
  line.Field("choice", this->worker.has_value() ? this->worker->str() : "none");
  line.Field("expected_ms",
             std::chrono::duration_cast<Milliseconds>(this->expected).count());
  line.Field("rejected", rejected_workers);
  return line;
}

void WorkerSelector::Update(const WorkerName& worker,
                            const WorkerState& state) {
  this->workers[worker].state = state;
}

void WorkerSelector::Remove(const WorkerName& worker) {
  this->workers.erase(worker);
}

void WorkerSelector::OnStart(const WorkerName& worker) {
  const std::map<WorkerName, Entry>::iterator it = this->workers.find(worker);
  if (it != this->workers.end()) {
    ++it->second.state.running;
  }
}

void WorkerSelector::OnEnd(const WorkerName& worker,
                           bool failed,
                           Duration run_time,
                           MonotonicTime now) {
  const std::map<WorkerName, Entry>::iterator it = this->workers.find(worker);
  if (it == this->workers.end()) {
    return;
  }
  Entry& entry = it->second;
  entry.state.running -= entry.state.running > 0 ? 1 : 0;
  double seconds = std::chrono::duration<double>(run_time).count();
  if (failed) {
    seconds =
        std::max(seconds, this->MeanRunSeconds(now)) + kFailurePenaltySeconds;
  }
  entry.run_seconds = entry.is_measured
                          ? (1.0 - kSmoothingFactor) * entry.run_seconds +
                                kSmoothingFactor * seconds
                          : seconds;
  entry.failure_rate = entry.is_measured
                           ? (1.0 - kSmoothingFactor) * entry.failure_rate +
                                 (failed ? kSmoothingFactor : 0.0)
                           : (failed ? 1.0 : 0.0);
  entry.is_measured = true;
  entry.measured_at = now;
}

// Weighted by recency, so that an old penalty of one worker does not raise the
// average towards which its run time decays.
double WorkerSelector::MeanRunSeconds(MonotonicTime now) const {
  double sum = 0.0;
  double weights = 0.0;
  for (const std::pair<const WorkerName, Entry>& item : this->workers) {
    if (item.second.is_measured) {
      const double weight = RecencyWeight(item.second.measured_at, now);
      sum += weight * item.second.run_seconds;
      weights += weight;
    }
  }
  return weights > 0.0 ? sum / weights : 0.0;
}

// Returns true if the chosen worker fails much more often than some full
// worker. Without this check it would be chosen whenever the others are full
// and, as it is idle, fail most of the tasks. Run times are not compared
// because they vary too much.
bool WorkerSelector::IsWaitingBetter(const Entry& chosen,
                                     MonotonicTime now) const {
  const double chosen_rate =
      chosen.failure_rate * RecencyWeight(chosen.measured_at, now);
  return std::any_of(
      this->workers.begin(), this->workers.end(),
      [chosen_rate](const std::pair<const WorkerName, Entry>& item) {
        const Entry& entry = item.second;
        return IneligibilityReason(entry.state) == WorkerRejection::kFull &&
               entry.state.slots > 0 &&
               chosen_rate > entry.failure_rate + kWaitRateDifference;
      });
}

// A worker without measurements is assumed to be average, so that it is tried.
// Old measurements decay towards the average: a worker that once was slow would
// otherwise lose every comparison and never get a new measurement.
double WorkerSelector::RunSeconds(const Entry& entry,
                                  double mean,
                                  MonotonicTime now) const {
  if (!entry.is_measured) {
    return mean;
  }
  return mean +
         (entry.run_seconds - mean) * RecencyWeight(entry.measured_at, now);
}

double WorkerSelector::ExpectedSeconds(const Entry& entry,
                                       MonotonicTime now) const {
  const double run = this->RunSeconds(entry, this->MeanRunSeconds(now), now);
  const double load =
      static_cast<double>(entry.state.running + 1) /
      static_cast<double>(std::max<std::size_t>(entry.state.slots, 1));
  // The small constant makes the load decisive before anything is measured.
  return (run + 0.001) * (1.0 + load);
}

std::optional<Duration> WorkerSelector::Expected(const WorkerName& worker,
                                                 MonotonicTime now) const {
  const std::map<WorkerName, Entry>::const_iterator it =
      this->workers.find(worker);
  if (it == this->workers.end()) {
    return std::nullopt;
  }
  return FromSeconds(this->ExpectedSeconds(it->second, now));
}

WorkerChoice WorkerSelector::Choose(MonotonicTime now, Random& random) const {
  using Item = std::pair<const WorkerName, Entry>;
  WorkerChoice choice;
  std::vector<const Item*> eligible;
  for (const Item& item : this->workers) {
    const std::optional<WorkerRejection> reason =
        IneligibilityReason(item.second.state);
    if (reason.has_value()) {
      choice.rejected.push_back({item.first, *reason});
    } else {
      eligible.push_back(&item);
    }
  }
  if (eligible.empty()) {
    return choice;
  }
  // Partial shuffle: selects two different candidates.
  std::swap(eligible[0], eligible[random.Below(eligible.size())]);
  if (eligible.size() > 1) {
    std::swap(eligible[1], eligible[1 + random.Below(eligible.size() - 1)]);
    if (this->ExpectedSeconds(eligible[1]->second, now) <
        this->ExpectedSeconds(eligible[0]->second, now)) {
      std::swap(eligible[0], eligible[1]);
    }
  }
  const double expected = this->ExpectedSeconds(eligible[0]->second, now);
  const bool should_wait = this->IsWaitingBetter(eligible[0]->second, now);
  if (should_wait) {
    choice.rejected.push_back(
        {eligible[0]->first, WorkerRejection::kWorseThanWaiting});
  } else {
    choice.worker = eligible[0]->first;
    choice.expected = FromSeconds(expected);
  }
  for (std::size_t i = 1; i < eligible.size(); ++i) {
    choice.rejected.push_back(
        {eligible[i]->first,
         i == 1 ? WorkerRejection::kSlower : WorkerRejection::kNotSampled});
  }
  return choice;
}

}  // namespace daisyroad

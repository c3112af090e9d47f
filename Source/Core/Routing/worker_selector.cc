#include "Core/Routing/worker_selector.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <utility>

namespace daisyroad {
namespace {

// Added to the average run time of the cell for a failed task. Without it a
// worker that fails at once looks like the fastest and attracts all work.
constexpr double kFailurePenaltySeconds = 5.0;
constexpr double kSmoothing = 0.2;
constexpr double kHalfLifeSeconds = 10.0;
// Difference of failure rates from which a task waits for a full worker.
constexpr double kWaitingDifference = 0.3;

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

std::optional<WorkerRejection> Ineligible(const WorkerState& state) {
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

double Recency(MonotonicTime measured_at, MonotonicTime now) {
  const double age = std::chrono::duration<double>(now - measured_at).count();
  return std::exp2(-std::max(0.0, age) / kHalfLifeSeconds);
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

LogDecision WorkerChoice::ToLog(const TaskId& task) const {
  std::string others;
  for (const RejectedWorker& entry : this->rejected) {
    others += others.empty() ? "" : ",";
    others += entry.worker.str() + ":" + ToText(entry.reason);
  }
  LogDecision line("worker");
  line.Field("task", task.str());
  line.Field("choice", this->worker.has_value() ? this->worker->str() : "none");
  line.Field("expected_ms",
             std::chrono::duration_cast<Milliseconds>(this->expected).count());
  line.Field("rejected", others);
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
  entry.run_seconds = entry.measured ? (1.0 - kSmoothing) * entry.run_seconds +
                                           kSmoothing * seconds
                                     : seconds;
  entry.failure_rate = entry.measured
                           ? (1.0 - kSmoothing) * entry.failure_rate +
                                 (failed ? kSmoothing : 0.0)
                           : (failed ? 1.0 : 0.0);
  entry.measured = true;
  entry.measured_at = now;
}

// Weighted by recency, so that one worker's old penalty does not raise the
// average to which it fades.
double WorkerSelector::MeanRunSeconds(MonotonicTime now) const {
  double sum = 0.0;
  double weights = 0.0;
  for (const std::pair<const WorkerName, Entry>& item : this->workers) {
    if (item.second.measured) {
      const double weight = Recency(item.second.measured_at, now);
      sum += weight * item.second.run_seconds;
      weights += weight;
    }
  }
  return weights > 0.0 ? sum / weights : 0.0;
}

// True if the chosen worker fails much more than some full worker. It is
// otherwise chosen whenever the others are full, and being empty it then fails
// most of the work. Run times are not compared: they vary too much for that.
bool WorkerSelector::WaitingIsBetter(const Entry& chosen,
                                     MonotonicTime now) const {
  const double rate = chosen.failure_rate * Recency(chosen.measured_at, now);
  return std::any_of(this->workers.begin(), this->workers.end(),
                     [rate](const std::pair<const WorkerName, Entry>& item) {
                       const Entry& entry = item.second;
                       return Ineligible(entry.state) ==
                                  WorkerRejection::kFull &&
                              entry.state.slots > 0 &&
                              rate > entry.failure_rate + kWaitingDifference;
                     });
}

// A worker without measurements is taken to be average, so that it is tried.
// Old measurements fade towards the average: a worker that once was slow loses
// every comparison, so no new measurement would correct it.
double WorkerSelector::RunSeconds(const Entry& entry,
                                  double mean,
                                  MonotonicTime now) const {
  if (!entry.measured) {
    return mean;
  }
  return mean + (entry.run_seconds - mean) * Recency(entry.measured_at, now);
}

double WorkerSelector::ExpectedSeconds(const Entry& entry,
                                       MonotonicTime now) const {
  const double run = this->RunSeconds(entry, this->MeanRunSeconds(now), now);
  const double load =
      static_cast<double>(entry.state.running + 1) /
      static_cast<double>(std::max<std::size_t>(entry.state.slots, 1));
  // The small constant lets the load decide before anything is measured.
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
    const std::optional<WorkerRejection> reason = Ineligible(item.second.state);
    if (reason.has_value()) {
      choice.rejected.push_back({item.first, *reason});
    } else {
      eligible.push_back(&item);
    }
  }
  if (eligible.empty()) {
    return choice;
  }
  // A partial shuffle draws two different candidates.
  std::swap(eligible[0], eligible[random.Below(eligible.size())]);
  if (eligible.size() > 1) {
    std::swap(eligible[1], eligible[1 + random.Below(eligible.size() - 1)]);
    if (this->ExpectedSeconds(eligible[1]->second, now) <
        this->ExpectedSeconds(eligible[0]->second, now)) {
      std::swap(eligible[0], eligible[1]);
    }
  }
  const double expected = this->ExpectedSeconds(eligible[0]->second, now);
  const bool wait = this->WaitingIsBetter(eligible[0]->second, now);
  if (wait) {
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

#include "Bench/shares_arrivals.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <string>
#include <utility>

#include "Core/Common/random.h"

namespace daisyroad {
namespace {

constexpr double kBurstSeconds = 5.0;
constexpr double kBurstFactor = 5.0;
constexpr double kQuietFactor = 1.0 / 20.0;
// Time between bursts for which the overall rate equals the mean rate.
constexpr double kQuietSeconds =
    kBurstSeconds * (kBurstFactor - 1.0) / (1.0 - kQuietFactor);
constexpr double kMeanUrgentRunSeconds = 0.8;
constexpr double kMeanLongRunSeconds = 40.0;
constexpr double kMinRunSeconds = 0.05;

double Exponential(Random& random, double mean) {
  return mean * std::chrono::duration<double>(
                    random.Exponential(std::chrono::seconds(1)))
                    .count();
}

SharesArrival MakeArrival(Random& random,
                          std::size_t team,
                          TaskClass task_class,
                          double time) {
  const bool urgent = task_class == TaskClass::kUrgent;
  SharesArrival arrival;
  arrival.team = team;
  arrival.time = time;
  arrival.run_seconds = std::max(
      kMinRunSeconds, Exponential(random, urgent ? kMeanUrgentRunSeconds
                                                 : kMeanLongRunSeconds));
  arrival.task.team = TeamName("team" + std::to_string(team));
  arrival.task.queue = QueueName(urgent ? "urgent" : "long");
  arrival.task.task_class = task_class;
  arrival.task.checkpointable = !urgent;
  arrival.task.declared = {1.0, 1.0, 0.0, 1.0};
  return arrival;
}

// Appends the arrivals of one queue, which alternates between bursts and quiet
// phases. `rate` is the mean number of arrivals per second.
void AddQueue(Random& random,
              std::size_t team,
              TaskClass task_class,
              double rate,
              double end,
              std::vector<SharesArrival>& arrivals) {
  bool is_burst = false;
  double time = 0.0;
  double phase_end = random.Fraction() * kQuietSeconds;
  while (time < end && rate > 0.0) {
    const double current_rate = rate * (is_burst ? kBurstFactor : kQuietFactor);
    const double time_to_next = Exponential(random, 1.0 / current_rate);
    if (time + time_to_next > phase_end) {
      time = phase_end;
      is_burst = !is_burst;
      phase_end += is_burst ? kBurstSeconds : kQuietSeconds;
      continue;
    }
    time += time_to_next;
    arrivals.push_back(MakeArrival(random, team, task_class, time));
  }
}

}  // namespace

std::vector<SharesArrival> MakeSharesArrivals(const SharesScenario& scenario,
                                              double end,
                                              std::uint64_t seed) {
  Random random(seed);
  const double weight_sum =
      std::accumulate(scenario.weights.begin(), scenario.weights.end(), 0.0);
  const double slots =
      scenario.worker_capacity.slots * static_cast<double>(scenario.workers);
  std::vector<SharesArrival> arrivals;
  for (std::size_t team = 0; team < scenario.weights.size(); ++team) {
    const double entitled_slots = slots * scenario.weights[team] / weight_sum;
    AddQueue(random, team, TaskClass::kUrgent,
             scenario.urgent_load * entitled_slots / kMeanUrgentRunSeconds, end,
             arrivals);
    AddQueue(random, team, TaskClass::kLong,
             scenario.long_load * entitled_slots / kMeanLongRunSeconds, end,
             arrivals);
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const SharesArrival& a, const SharesArrival& b) {
              return a.time < b.time;
            });
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    arrivals[i].task.id = TaskId("task" + std::to_string(i));
  }
  return arrivals;
}

}  // namespace daisyroad

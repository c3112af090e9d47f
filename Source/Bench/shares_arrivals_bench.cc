#include "Bench/shares_arrivals.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <string>
#include <utility>

#include "Core/Common/random.h"

namespace daisyroad {
namespace {

constexpr double kBurst = 5.0;  // seconds
constexpr double kBurstFactor = 5.0;
constexpr double kQuietFactor = 1.0 / 20.0;
// The pause between bursts that keeps the mean.
constexpr double kPause = kBurst * (kBurstFactor - 1.0) / (1.0 - kQuietFactor);
constexpr double kUrgentRun = 0.8;  // mean seconds
constexpr double kLongRun = 40.0;
constexpr double kShortestRun = 0.05;

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
  arrival.work = std::max(kShortestRun,
                          Exponential(random, urgent ? kUrgentRun : kLongRun));
  arrival.task.team = TeamName("team" + std::to_string(team));
  arrival.task.queue = QueueName(urgent ? "urgent" : "long");
  arrival.task.task_class = task_class;
  arrival.task.checkpointable = !urgent;
  arrival.task.declared = {1.0, 1.0, 0.0, 1.0};
  return arrival;
}

// `rate` is the mean number of arrivals a second.
void AddQueue(Random& random,
              std::size_t team,
              TaskClass task_class,
              double rate,
              double end,
              std::vector<SharesArrival>& arrivals) {
  bool burst = false;
  double time = 0.0;
  double phase_end = random.Fraction() * kPause;
  while (time < end && rate > 0.0) {
    const double current = rate * (burst ? kBurstFactor : kQuietFactor);
    const double step = Exponential(random, 1.0 / current);
    if (time + step > phase_end) {
      time = phase_end;
      burst = !burst;
      phase_end += burst ? kBurst : kPause;
      continue;
    }
    time += step;
    arrivals.push_back(MakeArrival(random, team, task_class, time));
  }
}

}  // namespace

std::vector<SharesArrival> MakeSharesArrivals(const SharesSite& site,
                                              double end,
                                              std::uint64_t seed) {
  Random random(seed);
  const double weights =
      std::accumulate(site.weights.begin(), site.weights.end(), 0.0);
  const double slots = site.worker.slots * static_cast<double>(site.workers);
  std::vector<SharesArrival> arrivals;
  for (std::size_t team = 0; team < site.weights.size(); ++team) {
    const double part = slots * site.weights[team] / weights;
    AddQueue(random, team, TaskClass::kUrgent,
             site.urgent_load * part / kUrgentRun, end, arrivals);
    AddQueue(random, team, TaskClass::kLong, site.long_load * part / kLongRun,
             end, arrivals);
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

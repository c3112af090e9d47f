#include <map>
#include <set>
#include <utility>

#include "Core/Diagnosis/burst.h"
#include "Core/Diagnosis/diagnosis_rules.h"
#include "Core/Diagnosis/observation_filter.h"

namespace daisyroad {
namespace {

using Observations = std::vector<Observation>;

constexpr std::size_t kMinFailed = 3;
constexpr double kMinFailedShare = 0.5;
constexpr std::size_t kMinRefused = 3;
constexpr std::size_t kMinUnreached = 3;
constexpr std::size_t kMinZones = 2;
// A rack is four workers. More than two that vanish at once may be a switch or
// a zone, which the observations cannot tell from the loss of power.
constexpr std::size_t kMaxSilentWorkers = 2;

struct WorkerTally {
  std::vector<MonotonicTime> failures;
  std::uint64_t done = 0;
  std::uint64_t failed = 0;
};

void Keep(std::optional<Finding>& best, const Finding& finding) {
  if (!best || finding.onset < best->onset) {
    best = finding;
  }
}

std::optional<MonotonicTime> FailingSince(const WorkerTally& tally,
                                          const Observations& observations,
                                          const WorkerName& worker) {
  const std::optional<MonotonicTime> onset =
      BurstOnset(tally.failures, kMinFailed);
  if (!onset) {
    return std::nullopt;
  }
  std::uint64_t done = 0;
  std::uint64_t failed = 0;
  ForEach<WorkerResults>(observations,
                         [&](MonotonicTime at, const WorkerResults& results) {
                           if (results.worker == worker && at >= *onset &&
                               at <= *onset + kBurstWindow) {
                             done += results.done;
                             failed += results.failed;
                           }
                         });
  const bool enough = static_cast<double>(failed) >=
                      kMinFailedShare * static_cast<double>(done + failed);
  return enough ? onset : std::nullopt;
}

// Requests to the worker failed, or its tasks were lost, around `at`.
bool RestartDidHarm(const Observations& observations,
                    const WorkerName& worker,
                    MonotonicTime at) {
  const auto near = [at](MonotonicTime when) {
    return when >= at - kBurstWindow && when <= at + kBurstWindow;
  };
  bool harm = false;
  ForEach<RefusedConnection>(
      observations, [&](MonotonicTime when, const RefusedConnection& refused) {
        harm = harm || (refused.worker == worker && near(when));
      });
  ForEach<WorkerContact>(observations, [&](MonotonicTime when,
                                           const WorkerContact& contact) {
    harm = harm || (contact.worker == worker && !contact.reached && near(when));
  });
  ForEach<SilentConnection>(
      observations, [&](MonotonicTime when, const SilentConnection& silent) {
        harm = harm || (silent.worker == worker && near(when));
      });
  ForEach<TaskTimeline>(observations, [&](MonotonicTime when,
                                          const TaskTimeline& line) {
    harm = harm || (line.worker == worker && near(when) &&
                    (line.outcome == "unknown" || line.outcome == "stopped" ||
                     line.outcome == "failed"));
  });
  return harm;
}

std::optional<Finding> FindRefusingWorker(const Observations& observations) {
  std::map<WorkerName, std::vector<MonotonicTime>> refused;
  ForEach<RefusedConnection>(
      observations, [&](MonotonicTime at, const RefusedConnection& item) {
        refused[item.worker].push_back(at);
      });
  std::optional<Finding> best;
  for (const std::pair<const WorkerName, std::vector<MonotonicTime>>& item :
       refused) {
    const std::optional<MonotonicTime> onset =
        BurstOnset(item.second, kMinRefused);
    if (onset) {
      Keep(best, {Verdict::kWorker, *onset, "worker " + item.first.str(),
                  "The host of worker " + item.first.str() +
                      " answered and refused connections: the worker's "
                      "process was down."});
    }
  }
  return best;
}

}  // namespace

std::optional<Finding> FindFailingWorker(const Observations& observations) {
  std::map<WorkerName, WorkerTally> workers;
  ForEach<WorkerResults>(
      observations, [&](MonotonicTime at, const WorkerResults& results) {
        WorkerTally& tally = workers[results.worker];
        for (std::size_t i = 0; i < results.failed && i < kMinFailed; ++i) {
          tally.failures.push_back(at);
        }
      });
  std::optional<Finding> best;
  for (const std::pair<const WorkerName, WorkerTally>& item : workers) {
    const std::optional<MonotonicTime> onset =
        FailingSince(item.second, observations, item.first);
    if (onset) {
      Keep(best, {Verdict::kWorker, *onset, "worker " + item.first.str(),
                  "Worker " + item.first.str() +
                      " answered in time and failed most of its tasks."});
    }
  }
  return best;
}

std::optional<Finding> FindRestartedWorker(const Observations& observations) {
  std::optional<Finding> best;
  ForEach<WorkerRestarted>(
      observations, [&](MonotonicTime at, const WorkerRestarted& restart) {
        if (RestartDidHarm(observations, restart.worker, at)) {
          Keep(best, {Verdict::kWorker, at, "worker " + restart.worker.str(),
                      "Worker " + restart.worker.str() +
                          " restarted and lost requests or tasks."});
        }
      });
  return best;
}

std::optional<Finding> FindDeadWorker(const Observations& observations) {
  if (std::optional<Finding> refusing = FindRefusingWorker(observations)) {
    return refusing;
  }
  std::map<WorkerName, std::vector<MonotonicTime>> unreached;
  std::map<WorkerName, std::set<ZoneName>> seen_from;
  std::map<WorkerName, MonotonicTime> last_reached;
  std::map<ZoneName, MonotonicTime> zone_reached;
  std::map<WorkerName, ZoneName> zone_of;
  ForEach<WorkerContact>(observations,
                         [&](MonotonicTime at, const WorkerContact& contact) {
                           zone_of[contact.worker] = contact.to;
                           if (contact.reached) {
                             last_reached[contact.worker] = at;
                             zone_reached[contact.to] = at;
                           } else {
                             unreached[contact.worker].push_back(at);
                             seen_from[contact.worker].insert(contact.from);
                           }
                         });
  std::optional<Finding> best;
  std::size_t silent = 0;
  for (const std::pair<const WorkerName, std::vector<MonotonicTime>>& item :
       unreached) {
    const std::optional<MonotonicTime> onset =
        BurstOnset(item.second, kMinUnreached);
    const auto reached = last_reached.find(item.first);
    const auto zone = zone_reached.find(zone_of[item.first]);
    if (!onset || seen_from[item.first].size() < kMinZones ||
        (reached != last_reached.end() && reached->second >= *onset) ||
        zone == zone_reached.end() || zone->second < *onset) {
      continue;
    }
    ++silent;
    Keep(best, {Verdict::kWorker, *onset, "worker " + item.first.str(),
                "Worker " + item.first.str() +
                    " answered nobody, while other workers of its zone "
                    "answered."});
  }
  return silent <= kMaxSilentWorkers ? best : std::nullopt;
}

}  // namespace daisyroad

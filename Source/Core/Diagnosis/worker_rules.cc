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
constexpr std::size_t kMinFailedContacts = 3;
constexpr std::size_t kMinZones = 2;
// A rack holds four workers. If more than two stop responding at once, the
// cause may be a switch or a zone fault, which the observations cannot
// distinguish from a power failure.
constexpr std::size_t kMaxSilentWorkers = 2;

struct WorkerTally {
  std::vector<MonotonicTime> failures;
  std::uint64_t done = 0;
  std::uint64_t failed = 0;
};

void KeepEarlier(std::optional<Finding>& earliest, const Finding& finding) {
  if (!earliest || finding.onset < earliest->onset) {
    earliest = finding;
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
  const bool is_failing = static_cast<double>(failed) >=
                          kMinFailedShare * static_cast<double>(done + failed);
  return is_failing ? onset : std::nullopt;
}

// Returns whether requests to the worker failed or its tasks were lost within
// kBurstWindow of `at`.
bool RestartLostWork(const Observations& observations,
                     const WorkerName& worker,
                     MonotonicTime at) {
  const auto near = [at](MonotonicTime when) {
    return when >= at - kBurstWindow && when <= at + kBurstWindow;
  };
  bool has_lost_work = false;
  ForEach<RefusedConnection>(
      observations, [&](MonotonicTime when, const RefusedConnection& refused) {
        has_lost_work =
            has_lost_work || (refused.worker == worker && near(when));
      });
  ForEach<WorkerContact>(
      observations, [&](MonotonicTime when, const WorkerContact& contact) {
        has_lost_work = has_lost_work || (contact.worker == worker &&
                                          !contact.reached && near(when));
      });
  ForEach<SilentConnection>(observations, [&](MonotonicTime when,
                                              const SilentConnection& silent) {
    has_lost_work = has_lost_work || (silent.worker == worker && near(when));
  });
  ForEach<TaskTimeline>(
      observations, [&](MonotonicTime when, const TaskTimeline& timeline) {
        has_lost_work =
            has_lost_work ||
            (timeline.worker == worker && near(when) &&
             (timeline.outcome == "unknown" || timeline.outcome == "stopped" ||
              timeline.outcome == "failed"));
      });
  return has_lost_work;
}

std::optional<Finding> FindRefusingWorker(const Observations& observations) {
  std::map<WorkerName, std::vector<MonotonicTime>> refused;
  ForEach<RefusedConnection>(
      observations, [&](MonotonicTime at, const RefusedConnection& item) {
        refused[item.worker].push_back(at);
      });
  std::optional<Finding> earliest;
  for (const std::pair<const WorkerName, std::vector<MonotonicTime>>& item :
       refused) {
    const std::optional<MonotonicTime> onset =
        BurstOnset(item.second, kMinRefused);
    if (onset) {
      KeepEarlier(earliest,
                  {Verdict::kWorker, *onset, "worker " + item.first.str(),
                   "The host of worker " + item.first.str() +
                       " answered and refused connections: the worker's "
                       "process was down."});
    }
  }
  return earliest;
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
  std::optional<Finding> earliest;
  for (const std::pair<const WorkerName, WorkerTally>& item : workers) {
    const std::optional<MonotonicTime> onset =
        FailingSince(item.second, observations, item.first);
    if (onset) {
      KeepEarlier(earliest,
                  {Verdict::kWorker, *onset, "worker " + item.first.str(),
                   "Worker " + item.first.str() +
                       " answered in time and failed most of its tasks."});
    }
  }
  return earliest;
}

std::optional<Finding> FindRestartedWorker(const Observations& observations) {
  std::optional<Finding> earliest;
  ForEach<WorkerRestarted>(
      observations, [&](MonotonicTime at, const WorkerRestarted& restart) {
        if (RestartLostWork(observations, restart.worker, at)) {
          KeepEarlier(earliest,
                      {Verdict::kWorker, at, "worker " + restart.worker.str(),
                       "Worker " + restart.worker.str() +
                           " restarted and lost requests or tasks."});
        }
      });
  return earliest;
}

std::optional<Finding> FindDeadWorker(const Observations& observations) {
  if (std::optional<Finding> refusing = FindRefusingWorker(observations)) {
    return refusing;
  }
  std::map<WorkerName, std::vector<MonotonicTime>> unreached;
  std::map<WorkerName, std::set<ZoneName>> unreached_from;
  std::map<WorkerName, MonotonicTime> last_reached;
  std::map<ZoneName, MonotonicTime> zone_reached;
  std::map<WorkerName, ZoneName> zone_of;
  ForEach<WorkerContact>(
      observations, [&](MonotonicTime at, const WorkerContact& contact) {
        zone_of[contact.worker] = contact.to;
        if (contact.reached) {
          last_reached[contact.worker] = at;
          zone_reached[contact.to] = at;
        } else {
          unreached[contact.worker].push_back(at);
          unreached_from[contact.worker].insert(contact.from);
        }
      });
  std::optional<Finding> earliest;
  std::size_t silent_workers = 0;
  for (const std::pair<const WorkerName, std::vector<MonotonicTime>>& item :
       unreached) {
    const std::optional<MonotonicTime> onset =
        BurstOnset(item.second, kMinFailedContacts);
    const auto reached = last_reached.find(item.first);
    const auto zone = zone_reached.find(zone_of[item.first]);
    if (!onset || unreached_from[item.first].size() < kMinZones ||
        (reached != last_reached.end() && reached->second >= *onset) ||
        zone == zone_reached.end() || zone->second < *onset) {
      continue;
    }
    ++silent_workers;
    KeepEarlier(earliest,
                {Verdict::kWorker, *onset, "worker " + item.first.str(),
                 "Worker " + item.first.str() +
                     " answered nobody, while other workers of its zone "
                     "answered."});
  }
  return silent_workers <= kMaxSilentWorkers ? earliest : std::nullopt;
}

}  // namespace daisyroad

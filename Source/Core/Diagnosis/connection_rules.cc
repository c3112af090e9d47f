// Rules that detect network faults between entry instances and workers.

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "Core/Diagnosis/burst.h"
#include "Core/Diagnosis/diagnosis_rules.h"
#include "Core/Diagnosis/instance_liveness.h"
#include "Core/Diagnosis/observation_filter.h"

namespace daisyroad {
namespace {

using Observations = std::vector<Observation>;
using ZonePair = std::pair<ZoneName, ZoneName>;

constexpr std::size_t kMinSilentConnections = 3;
constexpr std::size_t kMinFailedContacts = 3;
// A single unreachable worker may be at fault itself.
constexpr std::size_t kMinUnreachedWorkers = 2;

struct SuccessfulContact {
  ZoneName from;
  MonotonicTime at;
};

struct WorkerPath {
  std::vector<MonotonicTime> unreached;
  std::set<WorkerName> workers;
};

// Silent connections to these workers don't indicate a network fault, because a
// reset of the host also leaves silent connections behind.
std::set<WorkerName> RestartedWorkers(const Observations& observations) {
  std::set<WorkerName> restarted;
  ForEach<WorkerRestarted>(
      observations, [&restarted](MonotonicTime, const WorkerRestarted& item) {
        restarted.insert(item.worker);
      });
  return restarted;
}

std::map<WorkerName, std::vector<SuccessfulContact>> SuccessfulContactsByWorker(
    const Observations& observations) {
  std::map<WorkerName, std::vector<SuccessfulContact>> successes;
  ForEach<WorkerContact>(
      observations,
      [&successes](MonotonicTime at, const WorkerContact& contact) {
        if (contact.reached) {
          successes[contact.worker].push_back({contact.from, at});
        }
      });
  return successes;
}

// Returns whether instances of other zones, but none of zone `from`, reached
// the worker within kBurstWindow after a contact from `from` failed at `at`.
bool IsReachedOnlyFromOtherZones(
    const std::vector<SuccessfulContact>& successes,
    const ZoneName& from,
    MonotonicTime at) {
  bool is_reached_from_other_zone = false;
  for (const SuccessfulContact& success : successes) {
    if (success.at < at || success.at > at + kBurstWindow) {
      continue;
    }
    if (success.from == from) {
      return false;
    }
    is_reached_from_other_zone = true;
  }
  return is_reached_from_other_zone;
}

std::map<ZonePair, WorkerPath> CollectWorkerPaths(
    const Observations& observations) {
  std::map<WorkerName, std::vector<SuccessfulContact>> successes =
      SuccessfulContactsByWorker(observations);
  const InstanceLiveness liveness(observations);
  std::map<ZonePair, WorkerPath> paths;
  ForEach<WorkerContact>(
      observations, [&](MonotonicTime at, const WorkerContact& contact) {
        if (!contact.reached &&
            liveness.WasResponsive(contact.observer, at, ZoneName()) &&
            IsReachedOnlyFromOtherZones(successes[contact.worker], contact.from,
                                        at)) {
          WorkerPath& path = paths[{contact.from, contact.to}];
          path.unreached.push_back(at);
          path.workers.insert(contact.worker);
        }
      });
  return paths;
}

}  // namespace

std::optional<Finding> FindSilentConnections(const Observations& observations) {
  const std::set<WorkerName> restarted = RestartedWorkers(observations);
  std::set<WorkerName> workers;
  const std::vector<MonotonicTime> times = TimesOf<SilentConnection>(
      observations, [&restarted, &workers](const SilentConnection& silent) {
        if (restarted.count(silent.worker) != 0) {
          return false;
        }
        workers.insert(silent.worker);
        return true;
      });
  const std::optional<MonotonicTime> onset =
      BurstOnset(times, kMinSilentConnections);
  if (!onset || workers.size() < kMinSilentConnections) {
    return std::nullopt;
  }
  return Finding{Verdict::kNetwork, *onset, "open connections to workers",
                 std::to_string(workers.size()) +
                     " workers had open connections that carried nothing, "
                     "while new connections to them worked."};
}

std::optional<Finding> FindWorkerPathCut(const Observations& observations) {
  std::optional<Finding> found;
  for (const std::pair<const ZonePair, WorkerPath>& path :
       CollectWorkerPaths(observations)) {
    const std::optional<MonotonicTime> onset =
        BurstOnset(path.second.unreached, kMinFailedContacts);
    if (!onset || path.second.workers.size() < kMinUnreachedWorkers ||
        (found && found->onset <= *onset)) {
      continue;
    }
    const std::string& from = path.first.first.str();
    const std::string& to = path.first.second.str();
    std::string part = "the path from zone ";
    part.append(from).append(" to the workers of zone ").append(to);
    std::string text = "Workers of zone ";
    text.append(to).append(" did not answer zone ").append(from);
    text.append(" while they answered another zone.");
    found = Finding{Verdict::kNetwork, *onset, part, text};
  }
  return found;
}

}  // namespace daisyroad

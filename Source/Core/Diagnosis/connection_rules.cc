// Rules that blame the network between entry instances and workers.

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "Core/Diagnosis/burst.h"
#include "Core/Diagnosis/diagnosis_rules.h"
#include "Core/Diagnosis/exchange_witnesses.h"
#include "Core/Diagnosis/observation_filter.h"

namespace daisyroad {
namespace {

using Observations = std::vector<Observation>;
using ZonePair = std::pair<ZoneName, ZoneName>;

constexpr std::size_t kMinSilent = 3;
constexpr std::size_t kMinUnreached = 3;
// One worker or one instance may have a fault of its own.
constexpr std::size_t kMinEnds = 2;

struct Witness {
  ZoneName from;
  MonotonicTime at;
};

struct WorkerPath {
  std::vector<MonotonicTime> unreached;
  std::set<WorkerName> workers;
};

// A host that was reset leaves silent connections behind.
std::set<WorkerName> RestartedWorkers(const Observations& observations) {
  std::set<WorkerName> restarted;
  ForEach<WorkerRestarted>(
      observations, [&restarted](MonotonicTime, const WorkerRestarted& item) {
        restarted.insert(item.worker);
      });
  return restarted;
}

std::map<WorkerName, std::vector<Witness>> WitnessesOf(
    const Observations& observations) {
  std::map<WorkerName, std::vector<Witness>> witnesses;
  ForEach<WorkerContact>(
      observations,
      [&witnesses](MonotonicTime at, const WorkerContact& contact) {
        if (contact.reached) {
          witnesses[contact.worker].push_back({contact.from, at});
        }
      });
  return witnesses;
}

// Another zone reached the worker after this contact failed, and no instance of
// the same zone did.
bool OnlyOthersReach(const std::vector<Witness>& witnesses,
                     const ZoneName& from,
                     MonotonicTime at) {
  bool others = false;
  for (const Witness& witness : witnesses) {
    if (witness.at < at || witness.at > at + kBurstWindow) {
      continue;
    }
    if (witness.from == from) {
      return false;
    }
    others = true;
  }
  return others;
}

std::map<ZonePair, WorkerPath> CollectWorkerPaths(
    const Observations& observations) {
  std::map<WorkerName, std::vector<Witness>> witnesses =
      WitnessesOf(observations);
  const ExchangeWitnesses exchanges(observations);
  std::map<ZonePair, WorkerPath> paths;
  ForEach<WorkerContact>(
      observations, [&](MonotonicTime at, const WorkerContact& contact) {
        if (!contact.reached &&
            exchanges.Prompt(contact.observer, at, ZoneName()) &&
            OnlyOthersReach(witnesses[contact.worker], contact.from, at)) {
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
  const std::optional<MonotonicTime> onset = BurstOnset(times, kMinSilent);
  if (!onset || workers.size() < kMinSilent) {
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
        BurstOnset(path.second.unreached, kMinUnreached);
    if (!onset || path.second.workers.size() < kMinEnds ||
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

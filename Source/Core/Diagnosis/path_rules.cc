// Blames the path between two zones. It requires a witness that the other end
// was alive, because a dead end and a cut path look the same from one side.

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "Core/Diagnosis/burst.h"
#include "Core/Diagnosis/diagnosis_rules.h"
#include "Core/Diagnosis/observation_filter.h"

namespace daisyroad {
namespace {

using Observations = std::vector<Observation>;
using ZonePair = std::pair<ZoneName, ZoneName>;

constexpr std::size_t kMinLost = 4;
// A paused process loses all that is sent to it; two of them rarely pause at
// once, so a path is blamed only if it loses traffic of two.
constexpr std::size_t kMinEnds = 2;
constexpr std::size_t kMinLostInZone = 2;
// Links with less loss than this are left to TCP.
constexpr double kMinLostShare = 0.2;

bool IsLost(const PeerMessage& message) {
  return message.fate == MessageFate::kUnanswered ||
         message.fate == MessageFate::kLate;
}

// Instances that lose messages within a zone as well: the fault is the
// instance's own, such as a pause, and not that of a path between zones.
std::set<EntryName> TroubledInstances(const Observations& observations) {
  std::map<EntryName, std::vector<MonotonicTime>> lost;
  ForEach<PeerMessage>(observations,
                       [&lost](MonotonicTime at, const PeerMessage& message) {
                         if (message.from == message.to && IsLost(message)) {
                           lost[message.observer].push_back(at);
                           lost[message.peer].push_back(at);
                         }
                       });
  std::set<EntryName> troubled;
  for (const std::pair<const EntryName, std::vector<MonotonicTime>>& item :
       lost) {
    if (BurstOnset(item.second, kMinLostInZone)) {
      troubled.insert(item.first);
    }
  }
  return troubled;
}

struct PathLoss {
  std::vector<MonotonicTime> lost;
  std::vector<MonotonicTime> good;
  std::set<EntryName> observers;
  std::set<EntryName> peers;
};

void AddToPath(PathLoss& path,
               MonotonicTime at,
               const EntryName& observer,
               const EntryName& peer,
               bool good) {
  (good ? path.good : path.lost).push_back(at);
  if (!good) {
    path.observers.insert(observer);
    path.peers.insert(peer);
  }
}

std::map<ZonePair, PathLoss> CollectPaths(const Observations& observations) {
  const std::set<EntryName> troubled = TroubledInstances(observations);
  std::map<ZonePair, PathLoss> paths;
  const auto add = [&](MonotonicTime at, const auto& detail, bool good) {
    if (detail.from != detail.to && troubled.count(detail.observer) == 0 &&
        troubled.count(detail.peer) == 0) {
      AddToPath(paths[{detail.from, detail.to}], at, detail.observer,
                detail.peer, good);
    }
  };
  ForEach<PeerMessage>(observations,
                       [&add](MonotonicTime at, const PeerMessage& message) {
                         if (message.fate != MessageFate::kArrived) {
                           add(at, message, !IsLost(message));
                         }
                       });
  ForEach<ZoneProbe>(observations,
                     [&add](MonotonicTime at, const ZoneProbe& probe) {
                       add(at, probe, probe.arrived);
                     });
  return paths;
}

bool LosesEnough(const PathLoss& path, MonotonicTime onset) {
  const auto near = [onset](MonotonicTime at) {
    return at >= onset && at <= onset + kBurstWindow;
  };
  const std::ptrdiff_t lost =
      std::count_if(path.lost.begin(), path.lost.end(), near);
  const std::ptrdiff_t good =
      std::count_if(path.good.begin(), path.good.end(), near);
  return path.peers.size() >= kMinEnds &&
         static_cast<double>(lost) >=
             kMinLostShare * static_cast<double>(lost + good);
}

// Something from or to the zone worked after the loss began, or an instance in
// it reported what it saw.
bool ZoneAlive(const Observations& observations,
               const ZoneName& zone,
               MonotonicTime onset) {
  bool alive = false;
  ForEach<PeerMessage>(
      observations, [&](MonotonicTime at, const PeerMessage& message) {
        const bool worked = !IsLost(message) &&
                            (message.from == zone || message.to == zone) &&
                            message.from != message.to;
        const ZoneName& seen_from =
            message.fate == MessageFate::kArrived ? message.to : message.from;
        alive = alive || (at > onset && (worked || seen_from == zone));
      });
  ForEach<ZoneProbe>(
      observations, [&](MonotonicTime at, const ZoneProbe& probe) {
        alive = alive || (at > onset && (probe.from == zone ||
                                         (probe.to == zone && probe.arrived)));
      });
  return alive;
}

// The receiver saw requests arrive that the sender counts as unanswered.
bool RequestsArrived(const Observations& observations,
                     const ZonePair& pair,
                     MonotonicTime onset) {
  return BurstOnset(TimesOf<PeerMessage>(observations,
                                         [&pair](const PeerMessage& message) {
                                           return message.fate ==
                                                      MessageFate::kArrived &&
                                                  message.from == pair.first &&
                                                  message.to == pair.second;
                                         }),
                    kMinEnds)
             .value_or(MonotonicTime::min()) >= onset;
}

std::string PathText(const ZonePair& pair) {
  return "the path from zone " + pair.first.str() + " to zone " +
         pair.second.str();
}

Finding PathFinding(const Observations& observations,
                    const ZonePair& pair,
                    MonotonicTime onset) {
  const bool reply_lost = RequestsArrived(observations, pair, onset);
  const ZonePair cut = reply_lost ? ZonePair(pair.second, pair.first) : pair;
  return {Verdict::kNetwork, onset, PathText(cut),
          "Traffic between instances was lost or late on " + PathText(cut) +
              (reply_lost ? ", while the opposite direction worked"
                          : ", while the instances at both ends were alive") +
              "."};
}

}  // namespace

std::optional<Finding> FindPathCut(const Observations& observations) {
  std::optional<Finding> found;
  for (const std::pair<const ZonePair, PathLoss>& path :
       CollectPaths(observations)) {
    const std::optional<MonotonicTime> onset =
        BurstOnset(path.second.lost, kMinLost);
    if (!onset || !LosesEnough(path.second, *onset) ||
        !ZoneAlive(observations, path.first.first, *onset) ||
        !ZoneAlive(observations, path.first.second, *onset)) {
      continue;
    }
    if (!found || *onset < found->onset) {
      found = PathFinding(observations, path.first, *onset);
    }
  }
  return found;
}

}  // namespace daisyroad

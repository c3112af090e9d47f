// Rules that detect network faults between zones. From one end, a dead instance
// looks the same as a cut path, so a loss counts only if the instances at both
// ends were alive and exchanged messages in time with others.

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

constexpr std::size_t kMinLostMessages = 4;
// A paused instance answers none of the messages sent to it and is responsive
// again afterwards. Two instances rarely pause at the same time.
constexpr std::size_t kMinAffectedPeers = 2;
constexpr std::size_t kMinLostPerPeer = 2;
// A smaller share of losses is left to TCP retransmission.
constexpr double kMinLostShare = 0.15;
constexpr std::size_t kMinLostIsolated = 6;
constexpr std::size_t kMinLostZones = 2;
constexpr std::size_t kMinAnsweredInZone = 2;

bool IsLost(const PeerMessage& message) {
  return message.fate == MessageFate::kUnanswered ||
         message.fate == MessageFate::kLate;
}

struct PathLoss {
  std::vector<MonotonicTime> lost;
  std::vector<MonotonicTime> good;
  // Number of losses by receiving peer.
  std::map<EntryName, std::size_t> lost_by_peer;
};

void AddToPath(PathLoss& path,
               MonotonicTime at,
               const EntryName& peer,
               bool is_good) {
  (is_good ? path.good : path.lost).push_back(at);
  if (!is_good) {
    ++path.lost_by_peer[peer];
  }
}

std::map<ZonePair, PathLoss> CollectPathLosses(
    const Observations& observations) {
  const InstanceLiveness liveness(observations);
  std::map<ZonePair, PathLoss> paths;
  const auto add = [&](MonotonicTime at, const auto& item, bool is_good) {
    if (item.from != item.to &&
        (is_good || (liveness.WasResponsive(item.observer, at, item.to) &&
                     liveness.WasResponsive(item.peer, at, item.from)))) {
      AddToPath(paths[{item.from, item.to}], at, item.peer, is_good);
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

bool ReachesMinLostShare(const PathLoss& path, MonotonicTime onset) {
  const auto near = [onset](MonotonicTime at) {
    return at >= onset && at <= onset + kBurstWindow;
  };
  const double lost = static_cast<double>(
      std::count_if(path.lost.begin(), path.lost.end(), near));
  const double good = static_cast<double>(
      std::count_if(path.good.begin(), path.good.end(), near));
  return lost >= kMinLostShare * (lost + good);
}

bool HasLossesToSeveralPeers(const PathLoss& path) {
  return std::count_if(path.lost_by_peer.begin(), path.lost_by_peer.end(),
                       [](const std::pair<const EntryName, std::size_t>& peer) {
                         return peer.second >= kMinLostPerPeer;
                       }) >= static_cast<std::ptrdiff_t>(kMinAffectedPeers);
}

// Returns whether the receivers reported the arrival of requests since `onset`,
// which means that the replies were lost rather than the requests.
bool RequestsArrived(const Observations& observations,
                     const ZonePair& pair,
                     MonotonicTime onset) {
  std::vector<MonotonicTime> times;
  ForEach<PeerMessage>(
      observations, [&](MonotonicTime at, const PeerMessage& message) {
        if (message.fate == MessageFate::kArrived && at >= onset &&
            message.from == pair.first && message.to == pair.second) {
          times.push_back(at);
        }
      });
  return BurstOnset(times, kMinLostMessages).has_value();
}

std::string PathText(const ZonePair& pair) {
  return "the path from zone " + pair.first.str() + " to zone " +
         pair.second.str();
}

Finding PathFinding(const Observations& observations,
                    const ZonePair& pair,
                    MonotonicTime onset) {
  const bool has_arrived = RequestsArrived(observations, pair, onset);
  const ZonePair cut = has_arrived ? ZonePair(pair.second, pair.first) : pair;
  return {
      Verdict::kNetwork, onset, PathText(cut),
      "Messages between instances were lost or late on " + PathText(cut) +
          (has_arrived ? ", while the opposite direction worked."
                       : ", while the instances at both ends were prompt with "
                         "others.")};
}

// Requests that the instances of one zone sent, by result.
struct ZoneTraffic {
  std::vector<MonotonicTime> lost;
  std::set<ZoneName> lost_zones;
  std::vector<MonotonicTime> answered;
  std::vector<MonotonicTime> answered_in_zone;
};

std::map<ZoneName, ZoneTraffic> CollectZoneTraffic(
    const Observations& observations) {
  std::map<ZoneName, ZoneTraffic> zones;
  ForEach<PeerMessage>(
      observations, [&zones](MonotonicTime at, const PeerMessage& message) {
        ZoneTraffic& zone = zones[message.from];
        if (message.fate == MessageFate::kAnswered) {
          (message.from == message.to ? zone.answered_in_zone : zone.answered)
              .push_back(at);
        } else if (IsLost(message) && message.from != message.to) {
          zone.lost.push_back(at);
          zone.lost_zones.insert(message.to);
        }
      });
  return zones;
}

std::size_t CountAfter(const std::vector<MonotonicTime>& times,
                       MonotonicTime onset) {
  return static_cast<std::size_t>(
      std::count_if(times.begin(), times.end(),
                    [onset](MonotonicTime at) { return at > onset; }));
}

std::optional<MonotonicTime> IsolatedSince(const ZoneTraffic& zone) {
  if (zone.lost_zones.size() < kMinLostZones) {
    return std::nullopt;
  }
  for (const MonotonicTime onset : BurstOnsets(zone.lost, kMinLostIsolated)) {
    if (CountAfter(zone.answered, onset) == 0 &&
        CountAfter(zone.answered_in_zone, onset) >= kMinAnsweredInZone) {
      return onset;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<Finding> FindPathCut(const Observations& observations) {
  std::optional<Finding> found;
  for (const std::pair<const ZonePair, PathLoss>& path :
       CollectPathLosses(observations)) {
    const std::optional<MonotonicTime> onset =
        BurstOnset(path.second.lost, kMinLostMessages);
    if (onset && HasLossesToSeveralPeers(path.second) &&
        ReachesMinLostShare(path.second, *onset) &&
        (!found || *onset < found->onset)) {
      found = PathFinding(observations, path.first, *onset);
    }
  }
  return found;
}

// Detects isolation from within the zone: its instances answer each other, but
// no other zone answers them. Assumes that the other zones did not fail all at
// once.
std::optional<Finding> FindIsolatedZone(const Observations& observations) {
  for (const std::pair<const ZoneName, ZoneTraffic>& item :
       CollectZoneTraffic(observations)) {
    const std::optional<MonotonicTime> onset = IsolatedSince(item.second);
    if (onset) {
      return Finding{
          Verdict::kNetwork, *onset,
          "the paths from zone " + item.first.str() + " to the other zones",
          "No other zone answered zone " + item.first.str() +
              ", while its own instances answered each other."};
    }
  }
  return std::nullopt;
}

}  // namespace daisyroad

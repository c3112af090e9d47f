// Rules that blame the paths between zones. A dead end and a cut path look the
// same from one side, so a loss counts only if both ends were alive and prompt
// with others at that time.

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

constexpr std::size_t kMinLost = 4;
// A paused instance loses all that is sent to it and is prompt again
// afterwards; two of them rarely pause at once.
constexpr std::size_t kMinPeers = 2;
constexpr std::size_t kMinLostOfPeer = 2;
// Loss below this share is left to TCP.
constexpr double kMinLostShare = 0.15;
constexpr std::size_t kMinLostIsolated = 6;
constexpr std::size_t kMinZonesLost = 2;
constexpr std::size_t kMinInZone = 2;

bool IsLost(const PeerMessage& message) {
  return message.fate == MessageFate::kUnanswered ||
         message.fate == MessageFate::kLate;
}

struct PathLoss {
  std::vector<MonotonicTime> lost;
  std::vector<MonotonicTime> good;
  std::map<EntryName, std::size_t> lost_of;  // by the peer asked
};

void AddToPath(PathLoss& path,
               MonotonicTime at,
               const EntryName& peer,
               bool good) {
  (good ? path.good : path.lost).push_back(at);
  if (!good) {
    ++path.lost_of[peer];
  }
}

std::map<ZonePair, PathLoss> CollectPaths(const Observations& observations) {
  const ExchangeWitnesses witnesses(observations);
  std::map<ZonePair, PathLoss> paths;
  const auto add = [&](MonotonicTime at, const auto& item, bool good) {
    if (item.from != item.to &&
        (good || (witnesses.Prompt(item.observer, at, item.to) &&
                  witnesses.Prompt(item.peer, at, item.from)))) {
      AddToPath(paths[{item.from, item.to}], at, item.peer, good);
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
  const double lost = static_cast<double>(
      std::count_if(path.lost.begin(), path.lost.end(), near));
  const double good = static_cast<double>(
      std::count_if(path.good.begin(), path.good.end(), near));
  return lost >= kMinLostShare * (lost + good);
}

bool LosesOfSeveral(const PathLoss& path) {
  return std::count_if(path.lost_of.begin(), path.lost_of.end(),
                       [](const std::pair<const EntryName, std::size_t>& peer) {
                         return peer.second >= kMinLostOfPeer;
                       }) >= static_cast<std::ptrdiff_t>(kMinPeers);
}

// The receiver saw requests arrive that the sender counts as unanswered.
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
  return BurstOnset(times, kMinLost).has_value();
}

std::string PathText(const ZonePair& pair) {
  return "the path from zone " + pair.first.str() + " to zone " +
         pair.second.str();
}

Finding PathFinding(const Observations& observations,
                    const ZonePair& pair,
                    MonotonicTime onset) {
  const bool arrived = RequestsArrived(observations, pair, onset);
  const ZonePair cut = arrived ? ZonePair(pair.second, pair.first) : pair;
  return {Verdict::kNetwork, onset, PathText(cut),
          "Messages between instances were lost or late on " + PathText(cut) +
              (arrived ? ", while the opposite direction worked."
                       : ", while the instances at both ends were prompt with "
                         "others.")};
}

// What the instances of one zone lost and kept since `onset`.
struct ZoneExchange {
  std::vector<MonotonicTime> lost;
  std::set<ZoneName> zones_lost;
  std::vector<MonotonicTime> answered;
  std::vector<MonotonicTime> answered_in_zone;
};

std::map<ZoneName, ZoneExchange> CollectZones(
    const Observations& observations) {
  std::map<ZoneName, ZoneExchange> zones;
  ForEach<PeerMessage>(
      observations, [&zones](MonotonicTime at, const PeerMessage& message) {
        ZoneExchange& zone = zones[message.from];
        if (message.fate == MessageFate::kAnswered) {
          (message.from == message.to ? zone.answered_in_zone : zone.answered)
              .push_back(at);
        } else if (IsLost(message) && message.from != message.to) {
          zone.lost.push_back(at);
          zone.zones_lost.insert(message.to);
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

std::optional<MonotonicTime> IsolatedSince(const ZoneExchange& zone) {
  if (zone.zones_lost.size() < kMinZonesLost) {
    return std::nullopt;
  }
  for (const MonotonicTime onset : BurstOnsets(zone.lost, kMinLostIsolated)) {
    if (CountAfter(zone.answered, onset) == 0 &&
        CountAfter(zone.answered_in_zone, onset) >= kMinInZone) {
      return onset;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<Finding> FindPathCut(const Observations& observations) {
  std::optional<Finding> found;
  for (const std::pair<const ZonePair, PathLoss>& path :
       CollectPaths(observations)) {
    const std::optional<MonotonicTime> onset =
        BurstOnset(path.second.lost, kMinLost);
    if (onset && LosesOfSeveral(path.second) &&
        LosesEnough(path.second, *onset) && (!found || *onset < found->onset)) {
      found = PathFinding(observations, path.first, *onset);
    }
  }
  return found;
}

// Seen from within the zone: its instances answer each other and nobody else
// answers them. Several zones that die at once are not assumed.
std::optional<Finding> FindIsolatedZone(const Observations& observations) {
  for (const std::pair<const ZoneName, ZoneExchange>& item :
       CollectZones(observations)) {
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

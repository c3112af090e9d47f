// Rules that distinguish a store fault from a cut path to the store by
// comparing the store calls of several zones. The calls of a single zone prove
// neither.

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "Core/Diagnosis/burst.h"
#include "Core/Diagnosis/diagnosis_rules.h"
#include "Core/Diagnosis/observation_filter.h"
#include "Core/Diagnosis/thresholds.h"

namespace daisyroad {
namespace {

using Observations = std::vector<Observation>;

constexpr std::size_t kMinFailures = 4;
constexpr std::size_t kMinZones = 2;
// A single instance with failing calls may be at fault itself.
constexpr std::size_t kMinObservers = 2;

// The number of store calls of one zone within kBurstWindow, by result.
struct ZoneStoreCalls {
  std::size_t bad = 0;
  std::size_t good = 0;
  std::set<EntryName> bad_observers;

  bool is_mostly_bad() const { return this->bad >= this->good; }
};

std::vector<MonotonicTime> BadCallOnsets(const Observations& observations,
                                         const ZoneName* zone) {
  return BurstOnsets(
      TimesOf<StoreSample>(observations,
                           [zone](const StoreSample& sample) {
                             return IsBadStoreSample(sample) &&
                                    (zone == nullptr || sample.from == *zone);
                           }),
      kMinFailures);
}

std::map<ZoneName, ZoneStoreCalls> StoreCallsSince(
    const Observations& observations,
    MonotonicTime onset) {
  std::map<ZoneName, ZoneStoreCalls> zone_calls;
  ForEach<StoreSample>(
      observations,
      [&zone_calls, onset](MonotonicTime at, const StoreSample& sample) {
        if (at < onset || at > onset + kBurstWindow) {
          return;
        }
        ZoneStoreCalls& calls = zone_calls[sample.from];
        if (IsBadStoreSample(sample)) {
          ++calls.bad;
          calls.bad_observers.insert(sample.observer);
        } else {
          ++calls.good;
        }
      });
  return zone_calls;
}

std::size_t CountBadZones(
    const std::map<ZoneName, ZoneStoreCalls>& zone_calls) {
  return static_cast<std::size_t>(
      std::count_if(zone_calls.begin(), zone_calls.end(),
                    [](const std::pair<const ZoneName, ZoneStoreCalls>& calls) {
                      return calls.second.is_mostly_bad();
                    }));
}

std::set<ZoneName> ZonesOf(const Observations& observations) {
  std::set<ZoneName> zones;
  ForEach<StoreSample>(observations,
                       [&zones](MonotonicTime, const StoreSample& sample) {
                         zones.insert(sample.from);
                       });
  return zones;
}

bool IsOnlyZoneCutOff(const Observations& observations,
                      const ZoneName& zone,
                      MonotonicTime onset) {
  const std::map<ZoneName, ZoneStoreCalls> zone_calls =
      StoreCallsSince(observations, onset);
  const ZoneStoreCalls& own = zone_calls.at(zone);
  return own.good == 0 && own.bad_observers.size() >= kMinObservers &&
         CountBadZones(zone_calls) == 1 && zone_calls.size() > kMinZones;
}

}  // namespace

std::optional<Finding> FindStorePathCut(const Observations& observations) {
  for (const ZoneName& zone : ZonesOf(observations)) {
    for (const MonotonicTime onset : BadCallOnsets(observations, &zone)) {
      if (IsOnlyZoneCutOff(observations, zone, onset)) {
        return Finding{Verdict::kNetwork, onset,
                       "the path from zone " + zone.str() + " to the store",
                       "The store did not answer zone " + zone.str() +
                           " while it answered the other zones."};
      }
    }
  }
  return std::nullopt;
}

std::optional<Finding> FindStoreFault(const Observations& observations) {
  for (const MonotonicTime onset : BadCallOnsets(observations, nullptr)) {
    const std::map<ZoneName, ZoneStoreCalls> zone_calls =
        StoreCallsSince(observations, onset);
    const std::size_t bad_zones = CountBadZones(zone_calls);
    if (bad_zones >= kMinZones && 2 * bad_zones > zone_calls.size()) {
      return Finding{Verdict::kStore, onset, "the store",
                     "The store failed or was slow for " +
                         std::to_string(bad_zones) + " of " +
                         std::to_string(zone_calls.size()) + " zones."};
    }
  }
  return std::nullopt;
}

}  // namespace daisyroad

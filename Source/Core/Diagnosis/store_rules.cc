// Rules that tell a faulty store from a cut path to it: the views of several
// zones are compared. The view of a single zone proves neither.

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
// One instance may have a fault of its own.
constexpr std::size_t kMinObservers = 2;

// Store calls of one zone within a burst window.
struct ZoneView {
  std::size_t bad = 0;
  std::size_t good = 0;
  std::set<EntryName> bad_observers;

  bool mostly_bad() const { return this->bad >= this->good; }
};

std::vector<MonotonicTime> BadSince(const Observations& observations,
                                    const ZoneName* zone) {
  return BurstOnsets(
      TimesOf<StoreSample>(observations,
                           [zone](const StoreSample& sample) {
                             return IsBadStoreSample(sample) &&
                                    (zone == nullptr || sample.from == *zone);
                           }),
      kMinFailures);
}

std::map<ZoneName, ZoneView> ViewsSince(const Observations& observations,
                                        MonotonicTime onset) {
  std::map<ZoneName, ZoneView> views;
  ForEach<StoreSample>(
      observations,
      [&views, onset](MonotonicTime at, const StoreSample& sample) {
        if (at < onset || at > onset + kBurstWindow) {
          return;
        }
        ZoneView& view = views[sample.from];
        if (IsBadStoreSample(sample)) {
          ++view.bad;
          view.bad_observers.insert(sample.observer);
        } else {
          ++view.good;
        }
      });
  return views;
}

std::size_t CountBad(const std::map<ZoneName, ZoneView>& views) {
  return static_cast<std::size_t>(
      std::count_if(views.begin(), views.end(),
                    [](const std::pair<const ZoneName, ZoneView>& view) {
                      return view.second.mostly_bad();
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

bool OnlyZoneLost(const Observations& observations,
                  const ZoneName& zone,
                  MonotonicTime onset) {
  const std::map<ZoneName, ZoneView> views = ViewsSince(observations, onset);
  const ZoneView& own = views.at(zone);
  return own.good == 0 && own.bad_observers.size() >= kMinObservers &&
         CountBad(views) == 1 && views.size() > kMinZones;
}

}  // namespace

std::optional<Finding> FindStorePathCut(const Observations& observations) {
  for (const ZoneName& zone : ZonesOf(observations)) {
    for (const MonotonicTime onset : BadSince(observations, &zone)) {
      if (OnlyZoneLost(observations, zone, onset)) {
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
  for (const MonotonicTime onset : BadSince(observations, nullptr)) {
    const std::map<ZoneName, ZoneView> views = ViewsSince(observations, onset);
    const std::size_t bad = CountBad(views);
    if (bad >= kMinZones && 2 * bad > views.size()) {
      return Finding{Verdict::kStore, onset, "the store",
                     "The store failed or was slow for " + std::to_string(bad) +
                         " of " + std::to_string(views.size()) + " zones."};
    }
  }
  return std::nullopt;
}

}  // namespace daisyroad

// Measures the store calls and the propagation time of configuration changes,
// compared with a store watch on every instance. The store and the links are
// the fakes of the unit tests: an answer takes up to 10 ms, a message up to 6
// ms.

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "Bench/bench_registry.h"
#include "UnitTests/Control/control_simulation.h"

namespace daisyroad {
namespace {

using std::chrono::seconds;

struct ClusterSize {
  std::size_t zones;
  std::size_t per_zone;
};

constexpr ClusterSize kClusterSizes[] = {{3, 3}, {2, 25}, {4, 50}};
constexpr seconds kWarmUpTime{5};
constexpr seconds kIdleTime{25};
// 3,300 changes a day.
constexpr Milliseconds kChangeInterval{26'182};
constexpr int kChanges = 3;

struct ControlMeasurements {
  double idle_call_rate = 0.0;  // per second and instance; a watch counts once
  double change_call_rate = 0.0;
  double propagation = 0.0;  // worst, seconds from proposal until in force
};

double StoreCallRate(const ControlSimulation& simulation,
                     std::uint64_t before,
                     Duration length) {
  return static_cast<double>(simulation.store_calls + simulation.watch_calls -
                             before) /
         std::chrono::duration<double>(length).count() /
         static_cast<double>(simulation.size());
}

bool HasEveryInstanceVersion(const ControlSimulation& simulation,
                             std::uint64_t version) {
  for (std::size_t node = 0; node < simulation.size(); ++node) {
    if (simulation.DocumentOf(node).version() < version) {
      return false;
    }
  }
  return true;
}

double MeasurePropagation(ControlSimulation& simulation, int change) {
  constexpr Milliseconds kStep{10};
  const Duration proposed = simulation.now();
  const std::uint64_t target = simulation.DocumentOf(0).version() + 1;
  simulation.Propose(
      simulation.size() - 1, ChangeId("c" + std::to_string(change)),
      ApplyDeclaration{std::string(20'000, 'a') + std::to_string(change)});
  while (!HasEveryInstanceVersion(simulation, target) &&
         simulation.now() < proposed + kChangeInterval) {
    simulation.RunUntil(simulation.now() + kStep);
  }
  const Duration taken = simulation.now() - proposed;
  simulation.RunUntil(proposed + kChangeInterval);
  return std::chrono::duration<double>(taken).count();
}

ControlMeasurements MeasureControl(std::uint64_t seed,
                                   const ClusterSize& size,
                                   bool does_every_instance_watch) {
  ControlSimulation simulation(seed, size.zones, size.per_zone);
  if (does_every_instance_watch) {
    simulation.LetEveryInstanceWatch();
  }
  ControlMeasurements measurements;
  simulation.RunUntil(kWarmUpTime);
  std::uint64_t before = simulation.store_calls + simulation.watch_calls;
  simulation.RunUntil(kWarmUpTime + kIdleTime);
  measurements.idle_call_rate = StoreCallRate(simulation, before, kIdleTime);
  before = simulation.store_calls + simulation.watch_calls;
  for (int change = 0; change < kChanges; ++change) {
    measurements.propagation = std::max(measurements.propagation,
                                        MeasurePropagation(simulation, change));
  }
  measurements.change_call_rate =
      StoreCallRate(simulation, before, kChanges * kChangeInterval);
  return measurements;
}

// Returns the longest time in seconds that an instance has no authority while
// the store is unavailable to all instances for one minute.
double MeasureOutageGap(std::uint64_t seed, const ClusterSize& size) {
  constexpr seconds kOutage{60};
  ControlSimulation simulation(seed, size.zones, size.per_zone);
  simulation.RunUntil(kWarmUpTime);
  const std::vector<Duration> before = simulation.idle;
  simulation.store_up = false;
  simulation.RunUntil(kWarmUpTime + kOutage);
  Duration longest{};
  for (std::size_t node = 0; node < simulation.size(); ++node) {
    longest = std::max(longest, simulation.idle[node] - before[node]);
  }
  return std::chrono::duration<double>(longest).count();
}

BenchResult MeasureKeyVerification(std::uint64_t seed) {
  constexpr int kRounds = 20'000;
  constexpr double kTarget = 5.0;
  BenchResult result{"control.key_verification",
                     seed,
                     false,
                     kTarget,
                     0.0,
                     "us",
                     "baseline: the most that one request may cost"};
  const Result<NewKey> key = GenerateKey();
  KeyTable table;
  if (!key || !table.Add({key.value().id, TeamKey{TeamName("a")},
                          key.value().hash, false})) {
    return result;
  }
  int valid = 0;
  const MonotonicTime start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    valid += table.Authenticate(key.value().text).ok() ? 1 : 0;
  }
  const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - start;
  result.measured = taken.count() / kRounds;
  result.ok = valid == kRounds && result.measured <= kTarget;
  return result;
}

std::vector<BenchResult> RunControlBench(std::uint64_t seed) {
  std::vector<BenchResult> results;
  for (const ClusterSize& size : kClusterSizes) {
    const ControlMeasurements zone_watching = MeasureControl(seed, size, false);
    const ControlMeasurements all_watching = MeasureControl(seed, size, true);
    const std::string suffix = std::to_string(size.zones * size.per_zone);
    const std::string watches =
        "waiting watches: " + std::to_string(2 * size.zones) +
        "; baseline: " + suffix;
    results.push_back(
        {"control.store_calls.idle." + suffix, seed,
         zone_watching.idle_call_rate <= all_watching.idle_call_rate,
         all_watching.idle_call_rate, zone_watching.idle_call_rate,
         "calls/s per instance", watches});
    results.push_back(
        {"control.store_calls.changes." + suffix, seed,
         zone_watching.change_call_rate <= all_watching.change_call_rate,
         all_watching.change_call_rate, zone_watching.change_call_rate,
         "calls/s per instance", "3,300 changes a day; " + watches});
    results.push_back({"control.propagation." + suffix, seed,
                       zone_watching.propagation <= 5.0,
                       all_watching.propagation, zone_watching.propagation, "s",
                       "worst of 3 changes of a 20 kB declaration"});
    const double gap = MeasureOutageGap(seed, size);
    results.push_back({"control.outage_gap." + suffix, seed, gap <= 3.0, 3.0,
                       gap, "s", "baseline: the freshness bound"});
  }
  results.push_back(MeasureKeyVerification(seed));
  return results;
}

const BenchRegistration kRegistration("control", RunControlBench);

}  // namespace
}  // namespace daisyroad

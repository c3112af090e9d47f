// Closeness to share, urgent start and throughput of long work against three
// simple rules on the same arrivals.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include "Bench/bench_registry.h"
#include "Bench/shares_simulation.h"

namespace daisyroad {
namespace {

constexpr double kDeviationTarget = 0.02;
constexpr double kFullTarget = 2.7;  // seconds
constexpr double kRoomTarget = 0.1;  // seconds
constexpr double kThroughputTarget = 0.9;

// Cells of design 1.3: the workers of one pool in one zone, so 10 workers over
// 4 or 3 zones; six teams, a few of them large. The cell "two_years" is that of
// 1.4: 950 workers over 26 pools and 4 zones, 68 teams. Demand is 130% of the
// cell, of which urgent work is 10 points, so that a burst of urgent work takes
// half of its team's share. In the cells "_heavy" it takes all of the share.
std::vector<SharesSite> Sites() {
  const std::vector<double> six = {8, 6, 4, 2, 1, 1};
  std::vector<double> many(68, 1.0);
  std::fill(many.begin(), many.begin() + 8, 4.0);
  std::vector<SharesSite> sites = {
      {"izarra", 3, {64.0, 128.0, 0.0, 8.0}, six, 0.1, 1.2},
      {"liitto", 4, {16.0, 32.0, 0.0, 8.0}, six, 0.1, 1.2},
      {"two_years", 9, {64.0, 128.0, 2.0, 8.0}, many, 0.1, 1.2}};
  for (std::size_t i = 0; i < 3; ++i) {
    SharesSite heavy = sites[i];
    heavy.name += "_heavy";
    heavy.urgent_load = 0.2;
    sites.push_back(heavy);
  }
  return sites;
}

std::string Describe(const char* format, double a, double b, double c) {
  char text[200];
  std::snprintf(text, sizeof(text), format, a, b, c);
  return text;
}

struct Runs {
  SharesOutcome fair;
  std::vector<SharesOutcome> simple;  // first come, round robin, static split
};

Runs RunAll(const SharesSite& site, std::uint64_t seed) {
  Runs runs;
  runs.fair = SimulateShares(site, SharesPolicy::kFair, seed);
  for (const SharesPolicy policy :
       {SharesPolicy::kFirstCome, SharesPolicy::kRoundRobin,
        SharesPolicy::kStaticSplit}) {
    runs.simple.push_back(SimulateShares(site, policy, seed));
  }
  return runs;
}

template <typename Measure>
BenchResult Compare(const std::string& name,
                    std::uint64_t seed,
                    const Runs& runs,
                    bool lower_is_better,
                    const std::string& unit,
                    Measure measure) {
  BenchResult result;
  result.name = name;
  result.seed = seed;
  result.unit = unit;
  result.measured = measure(runs.fair);
  std::vector<double> values;
  for (const SharesOutcome& outcome : runs.simple) {
    values.push_back(measure(outcome));
  }
  result.baseline = lower_is_better
                        ? *std::min_element(values.begin(), values.end())
                        : *std::max_element(values.begin(), values.end());
  result.detail = Describe("first_come=%.4f round_robin=%.4f static_split=%.4f",
                           values[0], values[1], values[2]);
  return result;
}

void MeasureFull(const SharesSite& site,
                 std::uint64_t seed,
                 std::vector<BenchResult>& results) {
  const Runs runs = RunAll(site, seed);
  for (const double quantile : {0.5, 0.95, 1.0}) {
    const std::string percent = std::to_string(std::lround(quantile * 100));
    BenchResult deviation =
        Compare("shares.deviation_p" + percent + "." + site.name, seed, runs,
                true, "fraction", [quantile](const SharesOutcome& outcome) {
                  return SharesQuantile(outcome.deviations, quantile);
                });
    deviation.ok =
        !runs.fair.deviations.empty() && deviation.measured <= kDeviationTarget;
    deviation.detail += "; ours " +
                        std::to_string(runs.fair.deviations.size()) +
                        " windows of 30 s";
    results.push_back(deviation);
  }
  BenchResult urgent =
      Compare("shares.urgent_p99_full." + site.name, seed, runs, true, "s",
              [](const SharesOutcome& outcome) {
                return SharesQuantile(outcome.full_waits, 0.99);
              });
  urgent.ok = urgent.measured < kFullTarget && runs.fair.urgent_done > 0.99;
  urgent.detail +=
      Describe("; ours max=%.3f started=%.4f n=%.0f",
               SharesQuantile(runs.fair.full_waits, 1.0), runs.fair.urgent_done,
               static_cast<double>(runs.fair.full_waits.size()));
  results.push_back(urgent);
  BenchResult throughput = Compare(
      "shares.long_throughput." + site.name, seed, runs, false, "fraction",
      [](const SharesOutcome& outcome) { return outcome.long_throughput; });
  throughput.ok = throughput.measured >= kThroughputTarget;
  throughput.detail +=
      Describe("; ours checkpoints=%.0f next_us=%.3f seconds=%.0f",
               static_cast<double>(runs.fair.checkpoints),
               runs.fair.next_microseconds, 540.0);
  results.push_back(throughput);
}

void MeasureRoom(SharesSite site,
                 std::uint64_t seed,
                 std::vector<BenchResult>& results) {
  site.urgent_load = 0.1;
  site.long_load = 0.1;
  const Runs runs = RunAll(site, seed);
  BenchResult result =
      Compare("shares.urgent_p99_room." + site.name, seed, runs, true, "s",
              [](const SharesOutcome& outcome) {
                return SharesQuantile(outcome.room_waits, 0.99);
              });
  result.ok = result.measured < kRoomTarget && !runs.fair.room_waits.empty();
  results.push_back(result);
}

std::vector<BenchResult> RunSharesBench(std::uint64_t seed) {
  std::vector<BenchResult> results;
  for (const SharesSite& site : Sites()) {
    MeasureFull(site, seed, results);
    if (site.urgent_load < 0.15) {
      MeasureRoom(site, seed, results);
    }
  }
  return results;
}

const BenchRegistration kRegistration("shares", RunSharesBench);

}  // namespace
}  // namespace daisyroad

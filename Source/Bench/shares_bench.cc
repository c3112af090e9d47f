// Measures the deviation from fair shares, the start latency of urgent tasks
// and the throughput of long tasks, and compares them with three baseline
// policies on the same arrivals.

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
constexpr double kUrgentWaitTargetWhenFull = 2.7;       // seconds
constexpr double kUrgentWaitTargetWithFreeSlots = 0.1;  // seconds
constexpr double kThroughputTarget = 0.9;

// The cells of design 1.3: a cell is the workers of one pool in one zone, so 10
// workers are split over 4 or 3 zones; six teams, a few of them large. The cell
// "two_years" is that of design 1.4: 950 workers in 26 pools and 4 zones, 68
// teams. Demand is 130% of the capacity of the cell, 10 percentage points of it
// urgent, so that a burst of urgent tasks takes half of the share of its team.
// In the "_heavy" cells, a burst takes the whole share.
std::vector<SharesScenario> Scenarios() {
  const std::vector<double> six_teams = {8, 6, 4, 2, 1, 1};
  std::vector<double> many_teams(68, 1.0);
  std::fill(many_teams.begin(), many_teams.begin() + 8, 4.0);
  std::vector<SharesScenario> scenarios = {
      {"izarra", 3, {64.0, 128.0, 0.0, 8.0}, six_teams, 0.1, 1.2},
      {"liitto", 4, {16.0, 32.0, 0.0, 8.0}, six_teams, 0.1, 1.2},
      {"two_years", 9, {64.0, 128.0, 2.0, 8.0}, many_teams, 0.1, 1.2}};
  for (std::size_t i = 0; i < 3; ++i) {
    SharesScenario heavy = scenarios[i];
    heavy.name += "_heavy";
    heavy.urgent_load = 0.2;
    scenarios.push_back(heavy);
  }
  return scenarios;
}

std::string FormatValues(const char* format, double a, double b, double c) {
  char text[200];
  std::snprintf(text, sizeof(text), format, a, b, c);
  return text;
}

struct PolicyOutcomes {
  SharesOutcome fair;
  // First come first served, round robin and static split, in this order.
  std::vector<SharesOutcome> baselines;
};

PolicyOutcomes SimulateAllPolicies(const SharesScenario& scenario,
                                   std::uint64_t seed) {
  PolicyOutcomes outcomes;
  outcomes.fair = SimulateShares(scenario, SharesPolicy::kFair, seed);
  for (const SharesPolicy policy :
       {SharesPolicy::kFirstComeFirstServed, SharesPolicy::kRoundRobin,
        SharesPolicy::kStaticSplit}) {
    outcomes.baselines.push_back(SimulateShares(scenario, policy, seed));
  }
  return outcomes;
}

template <typename Measure>
BenchResult Compare(const std::string& name,
                    std::uint64_t seed,
                    const PolicyOutcomes& outcomes,
                    bool lower_is_better,
                    const std::string& unit,
                    Measure measure) {
  BenchResult result;
  result.name = name;
  result.seed = seed;
  result.unit = unit;
  result.measured = measure(outcomes.fair);
  std::vector<double> values;
  for (const SharesOutcome& outcome : outcomes.baselines) {
    values.push_back(measure(outcome));
  }
  result.baseline = lower_is_better
                        ? *std::min_element(values.begin(), values.end())
                        : *std::max_element(values.begin(), values.end());
  result.detail =
      FormatValues("first_come=%.4f round_robin=%.4f static_split=%.4f",
                   values[0], values[1], values[2]);
  return result;
}

void MeasureFullCell(const SharesScenario& scenario,
                     std::uint64_t seed,
                     std::vector<BenchResult>& results) {
  const PolicyOutcomes outcomes = SimulateAllPolicies(scenario, seed);
  for (const double quantile : {0.5, 0.95, 1.0}) {
    const std::string percent = std::to_string(std::lround(quantile * 100));
    BenchResult deviation = Compare(
        "shares.deviation_p" + percent + "." + scenario.name, seed, outcomes,
        true, "fraction", [quantile](const SharesOutcome& outcome) {
          return SharesQuantile(outcome.deviations, quantile);
        });
    deviation.ok = !outcomes.fair.deviations.empty() &&
                   deviation.measured <= kDeviationTarget;
    deviation.detail += "; ours " +
                        std::to_string(outcomes.fair.deviations.size()) +
                        " windows of 30 s";
    results.push_back(deviation);
  }
  BenchResult urgent =
      Compare("shares.urgent_p99_full." + scenario.name, seed, outcomes, true,
              "s", [](const SharesOutcome& outcome) {
                return SharesQuantile(outcome.waits_without_free_slot, 0.99);
              });
  urgent.ok = urgent.measured < kUrgentWaitTargetWhenFull &&
              outcomes.fair.urgent_started_fraction > 0.99;
  urgent.detail += FormatValues(
      "; ours max=%.3f started=%.4f n=%.0f",
      SharesQuantile(outcomes.fair.waits_without_free_slot, 1.0),
      outcomes.fair.urgent_started_fraction,
      static_cast<double>(outcomes.fair.waits_without_free_slot.size()));
  results.push_back(urgent);
  BenchResult throughput = Compare(
      "shares.long_throughput." + scenario.name, seed, outcomes, false,
      "fraction",
      [](const SharesOutcome& outcome) { return outcome.long_throughput; });
  throughput.ok = throughput.measured >= kThroughputTarget;
  throughput.detail +=
      FormatValues("; ours checkpoints=%.0f next_us=%.3f seconds=%.0f",
                   static_cast<double>(outcomes.fair.checkpoints),
                   outcomes.fair.mean_decision_microseconds, 540.0);
  results.push_back(throughput);
}

void MeasureCellWithFreeSlots(SharesScenario scenario,
                              std::uint64_t seed,
                              std::vector<BenchResult>& results) {
  scenario.urgent_load = 0.1;
  scenario.long_load = 0.1;
  const PolicyOutcomes outcomes = SimulateAllPolicies(scenario, seed);
  BenchResult result =
      Compare("shares.urgent_p99_room." + scenario.name, seed, outcomes, true,
              "s", [](const SharesOutcome& outcome) {
                return SharesQuantile(outcome.waits_with_free_slot, 0.99);
              });
  result.ok = result.measured < kUrgentWaitTargetWithFreeSlots &&
              !outcomes.fair.waits_with_free_slot.empty();
  results.push_back(result);
}

std::vector<BenchResult> RunSharesBench(std::uint64_t seed) {
  std::vector<BenchResult> results;
  for (const SharesScenario& scenario : Scenarios()) {
    MeasureFullCell(scenario, seed, results);
    if (scenario.urgent_load < 0.15) {
      MeasureCellWithFreeSlots(scenario, seed, results);
    }
  }
  return results;
}

const BenchRegistration kRegistration("shares", RunSharesBench);

}  // namespace
}  // namespace daisyroad

// Measures the roll-out time of one maintenance interval in virtual time, for
// today's fleet size and for the design size, and compares it with the lower
// bound given by the budgets and with three baseline plans.

#include <algorithm>
#include <chrono>
#include <sstream>
#include <string>
#include <vector>

#include "Bench/bench_registry.h"
#include "Bench/maintenance_simulation.h"
#include "Core/Maintenance/baseline_planner.h"
#include "Core/Maintenance/maintenance_planner.h"

namespace daisyroad {
namespace {

using Planner = std::function<MaintenancePlan(const MaintenanceInput&)>;

constexpr Duration kInterval = std::chrono::hours(24 * 7 * 7);
constexpr double kMaxRolloutRatio = 1.15;  // design 1.2

MaintenanceSimulationConfig TodayFleet() {
  MaintenanceSimulationConfig config;
  config.workers = 50;
  config.pools = 5;
  config.zones = 4;
  config.allowed_fraction = 0.2;
  return config;
}

MaintenanceSimulationConfig DesignFleet() {
  MaintenanceSimulationConfig config;
  config.workers = 950;
  config.pools = 26;
  config.zones = 4;
  config.allowed_fraction = 0.08;
  return config;
}

MaintenanceSimulationConfig WithFaults(MaintenanceSimulationConfig config) {
  config.failures_per_day = 11.0 * config.workers / 950;
  config.restarts_per_day = 89.0 * config.workers / 950;
  config.has_zone_loss = true;
  return config;
}

double HoursOf(Duration duration) {
  return std::chrono::duration<double, std::ratio<3600>>(duration).count();
}

double MillisecondsOf(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

MaintenanceSimulationResult RunSimulation(
    const MaintenanceSimulationConfig& config,
    const Planner& planner,
    std::uint64_t seed) {
  MaintenanceSimulation simulation(config, seed);
  return simulation.Run(planner(simulation.MakeInput()), kInterval);
}

// Shortest time for which a reboot is charged to a budget: an instance counts
// as down until the instance list shows it again.
constexpr Duration kMinDowntime = MaintenanceSimulation::kRebootTime +
                                  MaintenanceSimulation::kInstanceListLag;

Duration ComputeLowerBound(const MaintenanceSimulationConfig& config,
                           std::uint64_t seed) {
  MaintenanceSimulation simulation(config, seed);
  return std::max(
      MaintenancePlanner::LowerBound(simulation.MakeInput(), kMinDowntime),
      simulation.RolloutLowerBound(kMinDowntime, kInterval));
}

std::string Describe(const MaintenanceSimulationResult& result) {
  std::ostringstream text;
  text << "complete " << result.is_complete << ", rollout h "
       << HoursOf(result.rollout) << ", reboots " << result.reboots
       << ", tasks disturbed " << result.checkpoints << ", store writes "
       << result.store_writes << ", budget breaches " << result.budget_breaches
       << ", slowest decision ms " << MillisecondsOf(result.slowest_decision);
  return text.str();
}

// Compares the planner with the lower bound; the baseline is the best of the
// baseline plans.
BenchResult MeasureRollout(const std::string& name,
                           const MaintenanceSimulationConfig& config,
                           std::uint64_t seed) {
  const MaintenanceSimulationResult outcome =
      RunSimulation(config, MaintenancePlanner::Plan, seed);
  const std::vector<std::pair<std::string, Planner>> baselines = {
      {"one at a time", BaselinePlanner::OneAtATime},
      {"5% per wave",
       [](const MaintenanceInput& input) {
         return BaselinePlanner::FixedFraction(input, 0.05);
       }},
      {"rack per wave", BaselinePlanner::OneRackPerWave}};
  const double bound = HoursOf(ComputeLowerBound(config, seed));
  BenchResult result;
  result.name = "maintenance.rollout." + name;
  result.seed = seed;
  result.unit = "times the lower bound";
  result.measured = HoursOf(outcome.rollout) / bound;
  result.ok = outcome.is_complete && outcome.budget_breaches == 0 &&
              result.measured <= kMaxRolloutRatio;
  std::ostringstream detail;
  detail << "bound h " << bound << "; " << Describe(outcome);
  for (const std::pair<std::string, Planner>& baseline : baselines) {
    const MaintenanceSimulationResult baseline_outcome =
        RunSimulation(config, baseline.second, seed);
    const double ratio = HoursOf(baseline_outcome.rollout) / bound;
    result.baseline =
        result.baseline == 0.0 ? ratio : std::min(result.baseline, ratio);
    detail << "; " << baseline.first << ": " << Describe(baseline_outcome);
  }
  result.detail = detail.str();
  return result;
}

// Measures the slack left in the interval with faults and nightly maintenance
// windows of four hours.
BenchResult MeasureIntervalSlack(const std::string& name,
                                 MaintenanceSimulationConfig config,
                                 std::uint64_t seed) {
  using std::chrono::hours;
  config.windows = MaintenanceWindows(hours(24), hours(1), hours(5));
  const MaintenanceSimulationResult outcome =
      RunSimulation(config, MaintenancePlanner::Plan, seed);
  const IntervalFit bound = MaintenancePlanner::Fit(
      config.windows,
      MaintenancePlanner::LowerBound(
          MaintenanceSimulation(config, seed).MakeInput(), kMinDowntime),
      kInterval);
  BenchResult result;
  result.name = "maintenance.interval." + name;
  result.seed = seed;
  result.unit = "hours of slack in 7 weeks";
  result.baseline = HoursOf(bound.slack);
  result.measured = HoursOf(kInterval - outcome.rollout);
  result.ok = outcome.is_complete && outcome.budget_breaches == 0;
  result.detail = Describe(outcome);
  return result;
}

BenchResult MeasurePlanningTime(const std::string& name,
                                const MaintenanceSimulationConfig& config,
                                std::uint64_t seed) {
  const MaintenanceInput input =
      MaintenanceSimulation(config, seed).MakeInput();
  const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  const MaintenancePlan plan = MaintenancePlanner::Plan(input);
  BenchResult result;
  result.name = "maintenance.planning." + name;
  result.seed = seed;
  result.unit = "ms";
  result.measured = MillisecondsOf(std::chrono::steady_clock::now() - start);
  result.ok = result.measured < 100.0;
  result.detail = "waves " + std::to_string(plan.waves.size()) + ", blocked " +
                  std::to_string(plan.blocked.size());
  return result;
}

std::vector<BenchResult> RunFleetBenches(
    const std::string& name,
    const MaintenanceSimulationConfig& config,
    std::uint64_t seed) {
  return {MeasureRollout(name, config, seed),
          MeasureRollout(name + "_faults", WithFaults(config), seed),
          MeasureIntervalSlack(name, WithFaults(config), seed),
          MeasurePlanningTime(name, config, seed)};
}

const BenchRegistration kTodayRegistration("maintenance.today",
                                           [](std::uint64_t seed) {
                                             return RunFleetBenches(
                                                 "today", TodayFleet(), seed);
                                           });
const BenchRegistration kDesignRegistration("maintenance.design",
                                            [](std::uint64_t seed) {
                                              return RunFleetBenches(
                                                  "design", DesignFleet(),
                                                  seed);
                                            });

}  // namespace
}  // namespace daisyroad

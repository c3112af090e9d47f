// Roll-out of one maintenance interval at today's size and at the design size,
// in virtual time, against the lower bound that the budgets allow and three
// baseline plans.

#include <algorithm>
#include <chrono>
#include <sstream>
#include <string>
#include <vector>

#include "Bench/bench_registry.h"
#include "Bench/maintenance_world.h"
#include "Core/Maintenance/baseline_planner.h"
#include "Core/Maintenance/maintenance_planner.h"

namespace daisyroad {
namespace {

using Planner = std::function<MaintenancePlan(const MaintenanceInput&)>;

constexpr Duration kInterval = std::chrono::hours(24 * 7 * 7);
constexpr double kTarget = 1.15;  // design 1.2

WorldConfig Today() {
  WorldConfig config;
  config.workers = 50;
  config.pools = 5;
  config.zones = 4;
  config.allowed = 0.2;
  return config;
}

WorldConfig Design() {
  WorldConfig config;
  config.workers = 950;
  config.pools = 26;
  config.zones = 4;
  config.allowed = 0.08;
  return config;
}

WorldConfig WithFaults(WorldConfig config) {
  config.failures_per_day = 11.0 * config.workers / 950;
  config.restarts_per_day = 89.0 * config.workers / 950;
  config.zone_loss = true;
  return config;
}

double Hours(Duration duration) {
  return std::chrono::duration<double, std::ratio<3600>>(duration).count();
}

double InMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

WorldResult Execute(const WorldConfig& config,
                    const Planner& planner,
                    std::uint64_t seed) {
  MaintenanceWorld world(config, seed);
  return world.Run(planner(world.Input()), kInterval);
}

// An instance that the list does not show yet counts as down, so no reboot
// costs a budget less than this.
constexpr Duration kDowntime =
    MaintenanceWorld::kReboot + MaintenanceWorld::kListLag;

Duration Bound(const WorldConfig& config, std::uint64_t seed) {
  MaintenanceWorld world(config, seed);
  return std::max(MaintenancePlanner::LowerBound(world.Input(), kDowntime),
                  world.BudgetBound(kDowntime, kInterval));
}

std::string Describe(const WorldResult& result) {
  std::ostringstream text;
  text << "complete " << result.complete << ", rollout h "
       << Hours(result.rollout) << ", reboots " << result.reboots
       << ", tasks disturbed " << result.checkpoints << ", store writes "
       << result.store_writes << ", budget breaches " << result.budget_breaches
       << ", slowest decision ms " << InMilliseconds(result.slowest_decision);
  return text.str();
}

// The planner against the bound, with the best baseline beside it.
BenchResult Compare(const std::string& name,
                    const WorldConfig& config,
                    std::uint64_t seed) {
  const WorldResult ours = Execute(config, MaintenancePlanner::Plan, seed);
  const std::vector<std::pair<std::string, Planner>> baselines = {
      {"one at a time", BaselinePlanner::OneAtATime},
      {"5% per wave",
       [](const MaintenanceInput& input) {
         return BaselinePlanner::FixedFraction(input, 0.05);
       }},
      {"rack per wave", BaselinePlanner::OneRackPerWave}};
  const double bound = Hours(Bound(config, seed));
  BenchResult result;
  result.name = "maintenance.rollout." + name;
  result.seed = seed;
  result.unit = "times the lower bound";
  result.measured = Hours(ours.rollout) / bound;
  result.ok =
      ours.complete && ours.budget_breaches == 0 && result.measured <= kTarget;
  std::ostringstream detail;
  detail << "bound h " << bound << "; " << Describe(ours);
  for (const std::pair<std::string, Planner>& baseline : baselines) {
    const WorldResult other = Execute(config, baseline.second, seed);
    const double ratio = Hours(other.rollout) / bound;
    result.baseline =
        result.baseline == 0.0 ? ratio : std::min(result.baseline, ratio);
    detail << "; " << baseline.first << ": " << Describe(other);
  }
  result.detail = detail.str();
  return result;
}

// The whole interval with windows of four hours a night and faults.
BenchResult FitsInterval(const std::string& name,
                         WorldConfig config,
                         std::uint64_t seed) {
  using std::chrono::hours;
  config.windows = MaintenanceWindows(hours(24), hours(1), hours(5));
  const WorldResult ours = Execute(config, MaintenancePlanner::Plan, seed);
  const IntervalFit bound = MaintenancePlanner::Fit(
      config.windows,
      MaintenancePlanner::LowerBound(MaintenanceWorld(config, seed).Input(),
                                     kDowntime),
      kInterval);
  BenchResult result;
  result.name = "maintenance.interval." + name;
  result.seed = seed;
  result.unit = "hours of slack in 7 weeks";
  result.baseline = Hours(bound.slack);
  result.measured = Hours(kInterval - ours.rollout);
  result.ok = ours.complete && ours.budget_breaches == 0;
  result.detail = Describe(ours);
  return result;
}

BenchResult PlanningTime(const std::string& name,
                         const WorldConfig& config,
                         std::uint64_t seed) {
  const MaintenanceInput input = MaintenanceWorld(config, seed).Input();
  const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  const MaintenancePlan plan = MaintenancePlanner::Plan(input);
  BenchResult result;
  result.name = "maintenance.planning." + name;
  result.seed = seed;
  result.unit = "ms";
  result.measured = InMilliseconds(std::chrono::steady_clock::now() - start);
  result.ok = result.measured < 100.0;
  result.detail = "waves " + std::to_string(plan.waves.size()) + ", blocked " +
                  std::to_string(plan.blocked.size());
  return result;
}

std::vector<BenchResult> RunSize(const std::string& name,
                                 const WorldConfig& config,
                                 std::uint64_t seed) {
  return {Compare(name, config, seed),
          Compare(name + "_faults", WithFaults(config), seed),
          FitsInterval(name, WithFaults(config), seed),
          PlanningTime(name, config, seed)};
}

const BenchRegistration today_registration("maintenance.today",
                                           [](std::uint64_t seed) {
                                             return RunSize("today", Today(),
                                                            seed);
                                           });
const BenchRegistration design_registration("maintenance.design",
                                            [](std::uint64_t seed) {
                                              return RunSize("design", Design(),
                                                             seed);
                                            });

}  // namespace
}  // namespace daisyroad

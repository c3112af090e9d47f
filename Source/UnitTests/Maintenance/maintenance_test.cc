// Tests of the planners, and of the executor over the fake fleet of the Fleet
// tests. CI runs a fixed set of seeds. To run more:
//   DAISYROAD_FLEET_SEEDS=100000 test_maintenance "[property]"
// DAISYROAD_FLEET_FIRST_SEED sets the first seed (default 1).

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <string>

#include "Core/Maintenance/baseline_planner.h"
#include "Core/Maintenance/maintenance_planner.h"
#include "Core/Maintenance/wave_executor.h"
#include "UnitTests/Fleet/fake_fleet.h"

namespace daisyroad {
namespace {

constexpr std::uint64_t kSeedsInCi = 100;

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

MaintenanceInput MakeInput(Random& random) {
  MaintenanceInput input;
  input.cycle = 1;
  const std::uint64_t count = 1 + random.Below(60);
  for (std::uint64_t i = 0; i < count; ++i) {
    InstanceRecord record;
    record.worker = WorkerName("w" + std::to_string(i));
    record.pool = PoolName("p" + std::to_string(random.Below(5)));
    record.zone = ZoneName("z" + std::to_string(i / 4 % 3));
    record.rack = RackName("r" + std::to_string(i / 4));
    input.instances.push_back(record);
  }
  for (std::uint64_t i = 0; i < 5; ++i) {
    const ServiceName service("s" + std::to_string(i));
    input.topology.Add(service, PoolName("p" + std::to_string(i)));
    input.topology.Add(service,
                       PoolName("p" + std::to_string(random.Below(5))));
    input.allowed[service] = static_cast<std::int64_t>(random.Below(4));
  }
  return input;
}

void CheckWave(const MaintenanceInput& input,
               const std::vector<WorkerName>& wave) {
  std::map<ServiceName, std::int64_t> used;
  for (const InstanceRecord& record : input.instances) {
    if (std::find(wave.begin(), wave.end(), record.worker) == wave.end()) {
      continue;
    }
    for (const ServiceName& service : input.topology.ServicesOf(record.pool)) {
      CHECK(++used[service] <= input.allowed.at(service));
    }
  }
}

// Guards against a plan that omits or repeats an instance, exceeds a budget in
// a wave, or depends on the order of the records or on what is already
// maintained.
TEST_CASE("A plan has every instance once and is deterministic") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Random random(seed);
    MaintenanceInput input = MakeInput(random);
    const MaintenancePlan plan = MaintenancePlanner::Plan(input);
    std::set<WorkerName> seen(plan.blocked.begin(), plan.blocked.end());
    std::size_t total = plan.blocked.size();
    for (const std::vector<WorkerName>& wave : plan.waves) {
      CheckWave(input, wave);
      seen.insert(wave.begin(), wave.end());
      total += wave.size();
    }
    CHECK(seen.size() == input.instances.size());
    CHECK(total == input.instances.size());
    std::reverse(input.instances.begin(), input.instances.end());
    for (InstanceRecord& record : input.instances) {
      record.maintained_cycle = static_cast<std::int64_t>(random.Below(2));
    }
    CHECK(MaintenancePlanner::Plan(input).waves == plan.waves);
    // With a downtime of one unit, each wave takes one unit, so the number of
    // waves cannot be below the lower bound.
    const Duration unit = std::chrono::seconds(1);
    if (plan.blocked.empty()) {
      CHECK(unit * static_cast<std::int64_t>(plan.waves.size()) >=
            MaintenancePlanner::LowerBound(input, unit));
    }
  }
}

// Guards against baseline plans that omit an instance and so appear too fast.
TEST_CASE("Baseline plans have every instance once") {
  Random random(7);
  const MaintenanceInput input = MakeInput(random);
  for (const MaintenancePlan& plan :
       {BaselinePlanner::OneAtATime(input),
        BaselinePlanner::FixedFraction(input, 0.1),
        BaselinePlanner::OneRackPerWave(input)}) {
    std::set<WorkerName> seen;
    std::size_t total = 0;
    for (const std::vector<WorkerName>& wave : plan.waves) {
      seen.insert(wave.begin(), wave.end());
      total += wave.size();
    }
    CHECK(seen.size() == input.instances.size());
    CHECK(total == input.instances.size());
  }
}

// Guards against work that is planned outside the windows.
TEST_CASE("Work that exceeds a window continues in the next") {
  using std::chrono::hours;
  const MaintenanceWindows windows(hours(24), hours(2), hours(6));
  CHECK_FALSE(windows.IsOpen(hours(1)));
  CHECK(windows.IsOpen(hours(26)));
  CHECK_FALSE(windows.IsOpen(hours(30)));
  CHECK(windows.Finish(hours(0), hours(4)) == hours(6));
  CHECK(windows.Finish(hours(0), hours(5)) == hours(27));
  CHECK(windows.Finish(hours(7), hours(1)) == hours(27));
  CHECK(MaintenancePlanner::Fit(windows, hours(9), hours(48)).slack ==
        hours(-3));
}

// Guards against draining all instances of a pool at once because no service
// depends on it, such as a spare pool.
TEST_CASE("A pool without a budget is maintained one at a time") {
  PoolLedger ledger;
  FleetObservation observation;
  MaintenanceInput input;
  input.cycle = 1;
  for (int i = 0; i < 5; ++i) {
    InstanceRecord record;
    record.worker = WorkerName("w" + std::to_string(i));
    record.pool = PoolName("spare");
    observation.workers[record.worker] = {true, true, false, 1, {}};
    ledger.Apply({record, 1 + i});
    input.instances.push_back(record);
  }
  const WaveExecutor executor(EntryName("e"), std::chrono::seconds(8));
  const MaintenancePlan plan = MaintenancePlanner::Plan(input);
  const BudgetTable budgets;
  const ExecutorInput view{ledger, budgets, observation, input.topology};
  const std::vector<FleetAction> first =
      executor.Next(plan, view, observation.observed_at);
  REQUIRE(first.size() == 1);
  ledger.Apply({std::get<WriteInstance>(first.front()).record, 9});
  const std::vector<FleetAction> second =
      executor.Next(plan, view, observation.observed_at);
  REQUIRE(second.size() == 1);
  CHECK(std::get<WriteInstance>(second.front()).record.step ==
        InstanceStep::kDraining);
}

MaintenancePlan PlanFor(const EntryView& view,
                        const ServiceTopology& topology) {
  MaintenanceInput input;
  input.cycle = 1;
  input.topology = topology;
  for (const InstanceTable::value_type& instance : view.ledger.instances()) {
    input.instances.push_back(instance.second.value);
  }
  for (const BudgetTable::value_type& budget : view.budgets) {
    input.allowed[budget.first] = budget.second.value.allowed;
  }
  return MaintenancePlanner::Plan(input);
}

bool IsComplete(const FakeFleet& fleet) {
  return fleet.checker.completed == static_cast<int>(fleet.records.size()) &&
         std::all_of(fleet.budgets.begin(), fleet.budgets.end(),
                     [](const BudgetTable::value_type& budget) {
                       return budget.second.value.charges.empty();
                     });
}

// Returns a description of the first failure, or an empty string.
std::string RunSeed(std::uint64_t seed) {
  const std::unique_ptr<FakeFleet>* fleet_of_policy = nullptr;
  const std::unique_ptr<FakeFleet> fleet = std::make_unique<FakeFleet>(
      seed, [&fleet_of_policy](const EntryView& view, MonotonicTime now,
                               Random& random) {
        const ServiceTopology& topology = (*fleet_of_policy)->topology();
        // The window is open at random in 90% of the calls.
        const ExecutorInput input{view.ledger, view.budgets, view.observation,
                                  topology, random.Chance(0.9)};
        return WaveExecutor(view.name, std::chrono::seconds(8))
            .Next(PlanFor(view, topology), input, now);
      });
  fleet_of_policy = &fleet;
  fleet->Run(150, true);
  // Stops early, as most schedules complete long before the tick limit.
  for (int i = 0; i < 30 && !IsComplete(*fleet); ++i) {
    fleet->Run(20, false);
  }
  if (!fleet->checker.failures.empty()) {
    return fleet->checker.failures.front();
  }
  if (!IsComplete(*fleet)) {
    return "maintained " + std::to_string(fleet->checker.completed) + " of " +
           std::to_string(fleet->records.size());
  }
  return fleet->HasDraining() ? "worker left draining" : "";
}

// Guards against a rollout by several entry instances that exceeds a budget, or
// maintains an instance twice or not at all in one interval.
TEST_CASE("A rollout maintains every instance exactly once", "[property]") {
  const std::uint64_t first = FromEnvironment("DAISYROAD_FLEET_FIRST_SEED", 1);
  const std::uint64_t count =
      FromEnvironment("DAISYROAD_FLEET_SEEDS", kSeedsInCi);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::string failure = RunSeed(seed);
    INFO("seed " << seed);
    REQUIRE(failure == "");
  }
}

}  // namespace
}  // namespace daisyroad

// Runs several entry instances over a fake store and fake workers on random
// schedules. CI runs a fixed set of seeds. To run more:
//   DAISYROAD_FLEET_SEEDS=100000 test_fleet "[property]"
// DAISYROAD_FLEET_FIRST_SEED sets the first seed (default 1), to repeat a
// single seed or to split a long run over several processes.

#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>

#include "Core/Fleet/instance_lifecycle.h"
#include "UnitTests/Fleet/fake_fleet.h"

namespace daisyroad {
namespace {

constexpr std::uint64_t kSeedsInCi = 300;

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

void AddRandomRequest(const EntryView& view,
                      Random& random,
                      std::vector<FleetAction>& actions) {
  const WorkerName worker("w" + std::to_string(random.Below(11)));
  const PoolName source("p" + std::to_string(random.Below(3)));
  const PoolName target("p" + std::to_string(random.Below(3)));
  const std::string change = view.name.str() + "/" + random.Hex(8);
  const Result<WriteInstance> request =
      random.Chance(0.5)
          ? view.ledger.RequestMove(worker, source, target, change)
          : view.ledger.RequestMaintenance(worker, 1 + random.Below(3), change);
  if (request.ok()) {
    actions.emplace_back(request.value());
  }
}

std::vector<FleetAction> Decide(const EntryView& view,
                                const ServiceTopology& topology,
                                MonotonicTime now,
                                bool has_requests,
                                Random& random) {
  const DownTable unplanned =
      DisruptionBudget::UnplannedDown(view.ledger, topology, view.observation);
  const InstanceLifecycle lifecycle(view.name, std::chrono::seconds(8));
  std::vector<FleetAction> actions;
  if (has_requests && random.Chance(0.5)) {
    AddRandomRequest(view, random, actions);
  }
  for (const InstanceTable::value_type& instance : view.ledger.instances()) {
    for (FleetAction& action : lifecycle.Next(
             instance.second,
             {view.budgets, unplanned, view.observation, topology}, now)) {
      actions.push_back(std::move(action));
    }
  }
  for (const BudgetTable::value_type& budget : view.budgets) {
    if (std::optional<BudgetRecord> credited =
            DisruptionBudget::Credit(budget.second.value, view.ledger)) {
      actions.emplace_back(WriteBudget{*credited, budget.second.version});
    }
  }
  return actions;
}

// Returns a description of the first failure, or an empty string.
std::string RunSeed(std::uint64_t seed, int& completed, int& lost) {
  bool has_requests = true;
  FakeFleet* fleet_of_policy = nullptr;
  FakeFleet fleet(seed, [&](const EntryView& view, MonotonicTime now,
                            Random& random) {
    return Decide(view, fleet_of_policy->topology(), now, has_requests, random);
  });
  fleet_of_policy = &fleet;
  fleet.Run(150, true);
  has_requests = false;
  fleet.Run(200, false);
  completed += fleet.checker.completed;
  lost += fleet.lost_responses;
  if (!fleet.checker.failures.empty()) {
    return fleet.checker.failures.front();
  }
  for (const InstanceTable::value_type& record : fleet.records) {
    if (record.second.value.Busy()) {
      return "operation stuck at step " + ToString(record.second.value.step);
    }
  }
  for (const BudgetTable::value_type& budget : fleet.budgets) {
    if (!budget.second.value.charges.empty()) {
      return "charge never credited in the budget of " + budget.first.str();
    }
  }
  return fleet.HasDraining() ? "worker left draining" : "";
}

// Guards against a disruption that exceeds a budget, a step that an operation
// repeats, a pool that changes other than by a handover, a charge credited
// without proof that the worker has returned, and operations or charges that
// never end.
TEST_CASE("The rules of pools and budgets hold on random schedules",
          "[property]") {
  const std::uint64_t first = FromEnvironment("DAISYROAD_FLEET_FIRST_SEED", 1);
  const std::uint64_t count =
      FromEnvironment("DAISYROAD_FLEET_SEEDS", kSeedsInCi);
  int completed = 0;
  int lost = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::string failure = RunSeed(seed, completed, lost);
    INFO("seed " << seed);
    REQUIRE(failure == "");
  }
  // Ensures that the schedules contain enough operations and lost responses for
  // the checks above to mean something.
  if (count >= kSeedsInCi) {
    CHECK(completed > static_cast<int>(count));
    CHECK(lost > static_cast<int>(count));
  }
  WARN("seeds " << count << ", operations completed " << completed
                << ", lost responses " << lost);
}

}  // namespace
}  // namespace daisyroad

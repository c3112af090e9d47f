#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include "Core/Capacity/buffer_planner.h"
#include "Core/Common/random.h"

namespace daisyroad {
namespace {

CapacityInput MakeInput(Random& random) {
  CapacityInput input;
  const std::uint64_t zones = 2 + random.Below(2);
  for (std::uint64_t zone = 0; zone < zones; ++zone) {
    input.zones.emplace_back("z" + std::to_string(zone));
  }
  const std::uint64_t count = 4 + random.Below(16);
  PoolCounts members;
  for (std::uint64_t i = 0; i < count; ++i) {
    const PoolName pool("p" + std::to_string(random.Below(3)));
    input.workers.push_back({pool, input.zones[i / 4 % zones],
                             RackName("r" + std::to_string(i / 4))});
    ++members[pool];
  }
  for (const PoolCounts::value_type& entry : members) {
    input.needed[entry.first] =
        static_cast<std::int64_t>(random.Below(entry.second + 2));
  }
  input.rates[FailureDomain::kZone] = {1.5, std::chrono::hours(4)};
  return input;
}

// Number of instances missing when the workers for which `is_lost` is true are
// lost.
template <typename Predicate>
std::int64_t Missing(const CapacityInput& input, const Predicate& is_lost) {
  std::int64_t missing = 0;
  for (const PoolCounts::value_type& entry : input.needed) {
    std::int64_t remaining = 0;
    for (std::size_t i = 0; i < input.workers.size(); ++i) {
      remaining += input.workers[i].pool == entry.first && !is_lost(i) ? 1 : 0;
    }
    missing += std::max<std::int64_t>(0, entry.second - remaining);
  }
  return missing;
}

// True if the pools have the instances that they need after the loss of any one
// domain, computed without the code under test.
bool KeepsServiceLevel(const CapacityInput& input, const SpareByZone& spare) {
  std::int64_t total = 0;
  for (const SpareByZone::value_type& entry : spare) {
    total += entry.second;
  }
  const std::vector<CapacityWorker>& workers = input.workers;
  for (std::size_t lost = 0; lost < workers.size(); ++lost) {
    if (Missing(input, [&](std::size_t i) { return i == lost; }) > total ||
        Missing(input, [&](std::size_t i) {
          return workers[i].rack == workers[lost].rack;
        }) > total) {
      return false;
    }
  }
  for (const ZoneName& zone : input.zones) {
    const auto in_zone = spare.find(zone);
    const std::int64_t lost_spare =
        in_zone == spare.end() ? 0 : in_zone->second;
    if (Missing(input, [&](std::size_t i) { return workers[i].zone == zone; }) >
        total - lost_spare) {
      return false;
    }
  }
  const std::int64_t rack = std::min(total, input.workers_per_rack);
  return Missing(input, [](std::size_t) { return false; }) <= total - rack;
}

// True if some placement of `total` spare instances in the zones from index
// `zone` on keeps the service level.
bool HasPlacement(const CapacityInput& input,
                  std::size_t zone,
                  std::int64_t total,
                  SpareByZone& spare) {
  if (zone + 1 == input.zones.size()) {
    spare[input.zones[zone]] = total;
    return KeepsServiceLevel(input, spare);
  }
  for (std::int64_t in_zone = 0; in_zone <= total; ++in_zone) {
    spare[input.zones[zone]] = in_zone;
    if (HasPlacement(input, zone + 1, total - in_zone, spare)) {
      return true;
    }
  }
  return false;
}

// Guards against a plan with more spare instances than needed, or with too few
// to keep the service level. An exhaustive search must find no smaller plan.
TEST_CASE(
    "The plan has the fewest spare instances that keep the service level") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    const CapacityInput input = MakeInput(random);
    const BufferPlan plan = BufferPlanner(input).Plan();
    INFO("seed " << seed);
    REQUIRE(plan.feasible);
    REQUIRE(KeepsServiceLevel(input, plan.spare));
    REQUIRE(plan.total <= plan.separate_total);
    SpareByZone spare;
    REQUIRE(
        (plan.total == 0 || !HasPlacement(input, 0, plan.total - 1, spare)));
  }
}

// Guards against a what-if table in which one more spare instance increases the
// shortfall.
TEST_CASE("The shortfall never increases from one what-if row to the next") {
  Random random(3);
  const BufferPlanner planner(MakeInput(random));
  const std::vector<WhatIfRow> rows = planner.WhatIf(10);
  REQUIRE(rows.size() == 11);
  for (std::size_t i = 1; i < rows.size(); ++i) {
    CHECK(rows[i].shortfall_hours_per_year <=
          rows[i - 1].shortfall_hours_per_year);
    CHECK(rows[i].cost_hours_per_year - rows[i - 1].cost_hours_per_year ==
          Approx(8760.0));
  }
}

// Guards against a plan that is reported as feasible although the only zone may
// be lost.
TEST_CASE("No plan covers the loss of the only zone") {
  CapacityInput input;
  input.zones = {ZoneName("z")};
  input.workers = {{PoolName("p"), ZoneName("z"), RackName("r")}};
  input.needed[PoolName("p")] = 1;
  CHECK_FALSE(BufferPlanner(input).Plan().feasible);
  input.survive = {FailureDomain::kWorker, FailureDomain::kRack};
  const BufferPlan plan = BufferPlanner(input).Plan();
  CHECK(plan.feasible);
  CHECK(plan.total == 1);
  CHECK(BufferPlanner::CostHours(plan.total, std::chrono::hours(24)) ==
        Approx(24.0));
}

}  // namespace
}  // namespace daisyroad

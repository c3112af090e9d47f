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

// Instances missing when the workers for which `is_lost` holds are gone.
template <typename Predicate>
std::int64_t Missing(const CapacityInput& input, const Predicate& is_lost) {
  std::int64_t missing = 0;
  for (const PoolCounts::value_type& entry : input.needed) {
    std::int64_t left = 0;
    for (std::size_t i = 0; i < input.workers.size(); ++i) {
      left += input.workers[i].pool == entry.first && !is_lost(i) ? 1 : 0;
    }
    missing += std::max<std::int64_t>(0, entry.second - left);
  }
  return missing;
}

// Tries the loss of every domain, without the code under test.
bool KeepsLevel(const CapacityInput& input, const SpareByZone& spare) {
  std::int64_t total = 0;
  for (const SpareByZone::value_type& entry : spare) {
    total += entry.second;
  }
  const std::vector<CapacityWorker>& all = input.workers;
  for (std::size_t lost = 0; lost < all.size(); ++lost) {
    if (Missing(input, [&](std::size_t i) { return i == lost; }) > total ||
        Missing(input, [&](std::size_t i) {
          return all[i].rack == all[lost].rack;
        }) > total) {
      return false;
    }
  }
  for (const ZoneName& zone : input.zones) {
    const auto here = spare.find(zone);
    const std::int64_t gone = here == spare.end() ? 0 : here->second;
    if (Missing(input, [&](std::size_t i) { return all[i].zone == zone; }) >
        total - gone) {
      return false;
    }
  }
  const std::int64_t rack = std::min(total, input.workers_per_rack);
  return Missing(input, [](std::size_t) { return false; }) <= total - rack;
}

// True if some placement of `total` spare over the zones from `zone` on keeps
// the level.
bool Exists(const CapacityInput& input,
            std::size_t zone,
            std::int64_t total,
            SpareByZone& spare) {
  if (zone + 1 == input.zones.size()) {
    spare[input.zones[zone]] = total;
    return KeepsLevel(input, spare);
  }
  for (std::int64_t here = 0; here <= total; ++here) {
    spare[input.zones[zone]] = here;
    if (Exists(input, zone + 1, total - here, spare)) {
      return true;
    }
  }
  return false;
}

// Guards against a spare that is larger than needed or does not keep the level:
// an exhaustive search finds no smaller one.
TEST_CASE("The shared spare is the smallest that keeps the level") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    const CapacityInput input = MakeInput(random);
    const BufferPlan plan = BufferPlanner(input).Plan();
    INFO("seed " << seed);
    REQUIRE(plan.feasible);
    REQUIRE(KeepsLevel(input, plan.spare));
    REQUIRE(plan.total <= plan.separate_total);
    SpareByZone spare;
    REQUIRE((plan.total == 0 || !Exists(input, 0, plan.total - 1, spare)));
  }
}

// Guards against a what-if table in which a further instance makes it worse.
TEST_CASE("What-if rows never get worse") {
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

// Guards against a claim that one zone can survive its own loss.
TEST_CASE("A single zone cannot survive its loss") {
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

// Measures the size and cost of the spare capacity for today's fleet size and
// for the design size. Baseline: separate spare capacity for each pool.

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "Bench/bench_registry.h"
#include "Core/Capacity/buffer_planner.h"

namespace daisyroad {
namespace {

constexpr Duration kInterval = std::chrono::hours(24 * 7 * 7);

// Makes a fleet with racks of four workers. Racks are assigned to zones in
// turn, workers to pools in consecutive blocks. `service_level` is the fraction
// of a pool that must be available.
CapacityInput MakeInput(int workers,
                        int pools,
                        int zones,
                        double service_level) {
  CapacityInput input;
  for (int zone = 0; zone < zones; ++zone) {
    input.zones.emplace_back("z" + std::to_string(zone));
  }
  PoolCounts members;
  for (int i = 0; i < workers; ++i) {
    const int rack = i / 4;
    const PoolName pool("p" + std::to_string(i * pools / workers));
    input.workers.push_back({pool, input.zones[rack % zones],
                             RackName("r" + std::to_string(rack))});
    ++members[pool];
  }
  for (const PoolCounts::value_type& entry : members) {
    input.needed[entry.first] = static_cast<std::int64_t>(
        service_level * static_cast<double>(entry.second));
  }
  // Design 1.4: 11 instances a day, a rack every six weeks, a zone 1.5 times a
  // year. Repair times are assumptions.
  input.rates[FailureDomain::kWorker] = {11.0 * 365 * workers / 950,
                                         std::chrono::hours(2)};
  input.rates[FailureDomain::kRack] = {8.7, std::chrono::hours(4)};
  input.rates[FailureDomain::kZone] = {1.5, std::chrono::hours(4)};
  return input;
}

std::string Describe(const BufferPlan& plan,
                     const BufferPlanner& planner,
                     double milliseconds) {
  std::string text = "spare " + std::to_string(plan.total) + ", separate " +
                     std::to_string(plan.separate_total) + ", planning ms " +
                     std::to_string(milliseconds) +
                     ", shortfall hours a year by spare:";
  const std::vector<WhatIfRow> rows = planner.WhatIf(plan.total);
  const std::size_t step = std::max<std::size_t>(1, rows.size() / 5);
  for (std::size_t i = 0; i < rows.size(); i += step) {
    text += " " + std::to_string(rows[i].spare) + ":" +
            std::to_string(rows[i].shortfall_hours_per_year);
  }
  return text;
}

BenchResult MeasureBuffer(const std::string& name,
                          const CapacityInput& input,
                          std::uint64_t seed) {
  const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  const BufferPlanner planner(input);
  const BufferPlan plan = planner.Plan();
  const double milliseconds = std::chrono::duration<double, std::milli>(
                                  std::chrono::steady_clock::now() - start)
                                  .count();
  BenchResult result;
  result.name = "capacity.buffer." + name;
  result.seed = seed;
  result.measured = BufferPlanner::CostHours(plan.total, kInterval);
  result.baseline = BufferPlanner::CostHours(plan.separate_total, kInterval);
  result.unit = "instance-hours per 7 weeks";
  result.ok = plan.feasible && result.measured <= result.baseline;
  result.detail = Describe(plan, planner, milliseconds);
  return result;
}

// Leaves out zone failures, which need most of the spare capacity; without them
// a higher service level is feasible.
CapacityInput MakeInputWithoutZoneFailures(int workers, int pools, int zones) {
  CapacityInput input = MakeInput(workers, pools, zones, 0.95);
  input.survive = {FailureDomain::kWorker, FailureDomain::kRack};
  return input;
}

// Today, one of five pools of ten workers each is the spare capacity, so four
// pools are planned.
std::vector<BenchResult> RunCapacityBench(std::uint64_t seed) {
  const CapacityInput today = MakeInput(40, 4, 4, 0.9);
  const CapacityInput design = MakeInput(950, 26, 4, 0.9);
  return {
      MeasureBuffer("today", today, seed),
      MeasureBuffer("design", design, seed),
      MeasureBuffer("today_rack", MakeInputWithoutZoneFailures(40, 4, 4), seed),
      MeasureBuffer("design_rack", MakeInputWithoutZoneFailures(950, 26, 4),
                    seed)};
}

const BenchRegistration kCapacityRegistration("capacity", RunCapacityBench);

}  // namespace
}  // namespace daisyroad

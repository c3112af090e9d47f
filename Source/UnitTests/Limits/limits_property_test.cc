// Random schedules of the escrow of limits. CI runs 200 seeds. To run more:
//   DAISYROAD_SEEDS=100000 DAISYROAD_FIRST_SEED=1 build/bin/test_limits
//       '[schedule]'

#include <catch2/catch.hpp>

#include "UnitTests/Limits/limits_model.h"
#include "UnitTests/Schedule/schedule_runner.h"

namespace daisyroad {
namespace {

// Guards against more running tasks than a team's limit, under crashes, pauses,
// partitions, lost and reordered answers, stale reads, store outages, roster
// and limit changes, and differing clocks.
TEST_CASE("The running count of a team never exceeds its limit", "[schedule]") {
  const ScheduleRunner runner(200);
  LimitsModel::Totals totals;
  const std::string failure = runner.Run(
      [&totals](std::uint64_t seed) { return LimitsModel(seed).Run(&totals); });
  INFO("started " << totals.started << ", fenced " << totals.fenced
                  << ", lapsed " << totals.lapsed << ", reclaimed "
                  << totals.reclaimed << ", limit reached " << totals.full);
  CHECK(failure == "");
  // Ensures that the schedules reach the limit often enough for the test to be
  // meaningful.
  if (runner.count() >= 200) {
    CHECK(totals.full > runner.count());
    CHECK(totals.fenced > 0);
    CHECK(totals.lapsed > 0);
    CHECK(totals.reclaimed > runner.count() / 10);
  }
}

}  // namespace
}  // namespace daisyroad

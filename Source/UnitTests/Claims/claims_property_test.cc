// Random schedules of the claim protocol. CI runs 300 seeds. To run more:
//   DAISYROAD_SEEDS=100000 DAISYROAD_FIRST_SEED=1 build/bin/test_claims
//       '[schedule]'

#include <catch2/catch.hpp>

#include "UnitTests/Claims/claims_model.h"
#include "UnitTests/Schedule/schedule_runner.h"

namespace daisyroad {
namespace {

// Guards against a non-idempotent request that runs twice and against a false
// `not_run` answer, under crashes, pauses, partitions, lost and reordered
// answers, stale reads, store outages and roster changes.
TEST_CASE("A keyed request runs at most once", "[schedule]") {
  const ScheduleRunner runner(300);
  ClaimsModel::Totals totals;
  const std::string failure = runner.Run(
      [&totals](std::uint64_t seed) { return ClaimsModel(seed).Run(&totals); });
  INFO("runs " << totals.runs << " of " << totals.keys << " keys, not_run "
               << totals.not_run << ", unknown " << totals.unknown
               << ", memory claims " << totals.memory_claims);
  CHECK(failure == "");
  // Ensures that enough requests run for the test to be meaningful.
  CHECK(totals.runs * 2 > totals.keys);
  if (runner.count() >= 300) {
    CHECK(totals.not_run > 0);
    CHECK(totals.unknown > 0);
    CHECK(totals.memory_claims > 0);
  }
}

}  // namespace
}  // namespace daisyroad

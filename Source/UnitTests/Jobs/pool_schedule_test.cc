// Randomized simulations of a pool. CI runs 150 seeds; to run more:
//   DAISYROAD_SEEDS=20000 DAISYROAD_FIRST_SEED=1 build/bin/test_jobs
//       '[schedule]'

#include <catch2/catch.hpp>

#include "UnitTests/Jobs/pool_simulation.h"
#include "UnitTests/Schedule/schedule_runner.h"

namespace daisyroad {
namespace {

// Guards against concurrent runs of a task, a start after an acknowledged end,
// and lost jobs, under crashes, network partitions, late orders, lost answers
// and changes of the scheduler.
TEST_CASE("A task runs once at a time and every job ends", "[schedule]") {
  const ScheduleRunner runner(150);
  PoolSimulation::Totals totals;
  const std::string failure = runner.Run([&totals](std::uint64_t seed) {
    return PoolSimulation(seed).Run(&totals);
  });
  INFO("starts " << totals.starts << ", late orders " << totals.late_orders
                 << ", terms " << totals.terms << ", crashes " << totals.crashes
                 << ", partitions " << totals.partitions
                 << ", crashes by tasks " << totals.crashes_by_tasks
                 << ", jobs given up " << totals.crashing_jobs_failed
                 << ", of others " << totals.bystanders_failed);
  CHECK(failure == "");
  if (runner.count() >= 100) {
    CHECK(totals.late_orders > 100);
    CHECK(totals.terms > 500);
    CHECK(totals.partitions > 100);
    CHECK(totals.crashes > 100);
    CHECK(totals.crashes_by_tasks > 100);
    CHECK(totals.crashing_jobs_failed > 100);
  }
}

}  // namespace
}  // namespace daisyroad

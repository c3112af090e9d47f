// Randomized simulations of changes of the scheduler of a pool. CI runs few
// seeds; DAISYROAD_SEEDS, DAISYROAD_FIRST_SEED and DAISYROAD_COUNT_FAILURES are
// described in schedule_runner.h. DAISYROAD_TRACE=1 prints the events of
// failing seeds.

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "UnitTests/Jobs/takeover_simulation.h"
#include "UnitTests/Schedule/schedule_runner.h"

namespace daisyroad {
namespace {

std::string RunSeed(std::uint64_t seed,
                    TakeoverOptions options,
                    TakeoverSimulation::Totals* totals) {
  options.keeps_trace = std::getenv("DAISYROAD_TRACE") != nullptr;
  TakeoverSimulation simulation(seed, options);
  std::string failure = simulation.Run(totals);
  if (!failure.empty()) {
    for (const std::string& line : simulation.trace()) {
      std::cout << line << "\n";
    }
  }
  return failure;
}

void RunSeeds(std::uint64_t default_seeds, const TakeoverOptions& options) {
  const ScheduleRunner runner(default_seeds);
  TakeoverSimulation::Totals totals;
  const std::string failure =
      runner.Run([&totals, &options](std::uint64_t seed) {
        return RunSeed(seed, options, &totals);
      });
  INFO("starts " << totals.starts << ", by replaced schedulers "
                 << totals.starts_by_replaced << ", their lease renewals "
                 << totals.renewals_by_replaced << ", late orders "
                 << totals.late_orders << ", lost answers "
                 << totals.lost_answers << ", late lists " << totals.late_lists
                 << ", terms " << totals.terms << ", chained "
                 << totals.chained_terms << ", predecessors gone "
                 << totals.predecessors_gone << ", instances killed "
                 << totals.instances_killed << ", worker restarts "
                 << totals.worker_restarts << ", cuts " << totals.cuts
                 << ", jobs complete " << totals.jobs_complete << ", failed "
                 << totals.jobs_failed);
  INFO(failure);
  CHECK(failure.empty());
  if (failure.empty() && runner.count() >= 100) {
    CHECK(totals.starts_by_replaced > 100);
    CHECK(totals.renewals_by_replaced > 1000);
    CHECK(totals.late_orders > 100);
    CHECK(totals.lost_answers > 100);
    CHECK(totals.terms > 500);
    CHECK(totals.chained_terms > 50);
    CHECK(totals.predecessors_gone > 100);
    CHECK(totals.instances_killed > 100);
    CHECK(totals.worker_restarts > 200);
    CHECK((totals.late_lists > 50 || !options.has_late_machine_lists));
  }
}

// Guards against concurrent runs of a task and a start after an acknowledged
// end when schedulers replace each other.
TEST_CASE("A task runs once at a time when schedulers replace each other",
          "[takeover]") {
  RunSeeds(500, TakeoverOptions());
}

// Guards against runs given up by a list of machines that shows a time before
// they began.
TEST_CASE("A task runs once at a time when lists of machines are late",
          "[late_list]") {
  TakeoverOptions options;
  options.has_late_machine_lists = true;
  RunSeeds(500, options);
}

}  // namespace
}  // namespace daisyroad

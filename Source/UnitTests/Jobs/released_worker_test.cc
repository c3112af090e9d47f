#include <catch2/catch.hpp>

#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Jobs/one_worker_pool.h"

namespace daisyroad {
namespace {

// Guards against tasks that are sent to the worker of a machine that was moved
// or maintained, and wait there for a refusal (issue 19).
TEST_CASE("A worker that was emptied gets no runs until it reports again") {
  OneWorkerPool pool;
  pool.scheduler.SetVacating({pool.worker}, {});
  pool.TakeOrders<StartRun>();
  pool.elapsed += Milliseconds(200);
  pool.scheduler.SetVacating({}, {});
  pool.AddJob(JobBuilder("j").Step(1).Build());
  CHECK(pool.TakeOrders<StartRun>().empty());
  pool.elapsed += Milliseconds(50);
  pool.SendReport();
  CHECK(pool.TakeOrders<StartRun>().size() == 1);
}

// Guards against workers that stay unused because nobody asks them.
TEST_CASE("A worker that was emptied is asked for a report") {
  OneWorkerPool pool;
  pool.scheduler.SetVacating({pool.worker}, {});
  CHECK(pool.TakeOrders<AskReport>().empty());
  pool.scheduler.SetVacating({}, {});
  CHECK(pool.TakeOrders<AskReport>().size() == 1);
}

}  // namespace
}  // namespace daisyroad

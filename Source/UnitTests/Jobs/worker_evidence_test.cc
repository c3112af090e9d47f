// What a scheduler may conclude from answers of a worker whose process may have
// changed since.

#include <catch2/catch.hpp>

#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Jobs/one_worker_pool.h"

namespace daisyroad {
namespace {

constexpr std::int64_t kLaterProcess = 8;

RunReport ReportOf(std::int64_t incarnation, Milliseconds clock) {
  RunReport report;
  report.worker_clock = clock;
  report.incarnation = incarnation;
  return report;
}

// Guards against a start order that is executed by the next process of its
// worker, after the answer to its stop order by the one before.
TEST_CASE("The answer to a stop order ends with the process that gave it") {
  OneWorkerPool pool;
  pool.AddJob(JobBuilder("j").Step(1).Build());
  const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
  REQUIRE(starts.size() == 1);
  pool.scheduler.OnStart(starts[0], StartOutcome::kUnknown, std::nullopt,
                         pool.Now());
  const std::vector<StopRun> stops = pool.TakeOrders<StopRun>();
  REQUIRE(stops.size() == 1);
  pool.scheduler.OnStop(stops[0], true, pool.Now());

  pool.elapsed += Milliseconds(100);
  const RunReport later = ReportOf(kLaterProcess, Milliseconds(5));
  pool.scheduler.OnReport(pool.worker, later, pool.Now(), pool.Now());
  pool.elapsed += Milliseconds(100);
  REQUIRE(pool.TakeOrders<StopRun>().size() == 1);
  CHECK(pool.TakeOrders<StartRun>().empty());

  pool.scheduler.OnStop(stops[0], true, pool.Now());
  pool.elapsed += Milliseconds(100);
  pool.scheduler.OnReport(pool.worker, later, pool.Now(), pool.Now());
  CHECK(pool.TakeOrders<StartRun>().size() == 1);
}

}  // namespace
}  // namespace daisyroad

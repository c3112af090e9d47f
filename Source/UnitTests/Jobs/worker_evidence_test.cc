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
  pool.scheduler.OnStop(stops[0], true, pool.Now(), pool.Now());

  pool.elapsed += Milliseconds(100);
  const RunReport later = ReportOf(kLaterProcess, Milliseconds(5));
  pool.scheduler.OnReport(pool.worker, later, pool.Now(), pool.Now());
  pool.elapsed += Milliseconds(100);
  REQUIRE(pool.TakeOrders<StopRun>().size() == 1);
  CHECK(pool.TakeOrders<StartRun>().empty());

  pool.scheduler.OnStop(stops[0], true, pool.Now(), pool.Now());
  pool.elapsed += Milliseconds(100);
  pool.scheduler.OnReport(pool.worker, later, pool.Now(), pool.Now());
  CHECK(pool.TakeOrders<StartRun>().size() == 1);
}

// Guards against the same if that answer arrives once the next process is
// known.
TEST_CASE("A late answer to a stop order does not count for the next process") {
  OneWorkerPool pool;
  pool.AddJob(JobBuilder("j").Step(1).Build());
  const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
  REQUIRE(starts.size() == 1);
  pool.scheduler.OnStart(starts[0], StartOutcome::kUnknown, std::nullopt,
                         pool.Now());
  const std::vector<StopRun> stops = pool.TakeOrders<StopRun>();
  REQUIRE(stops.size() == 1);
  const MonotonicTime stop_asked_at = pool.Now();

  pool.elapsed += Milliseconds(100);
  const RunReport later = ReportOf(kLaterProcess, Milliseconds(5));
  pool.scheduler.OnReport(pool.worker, later, pool.Now(), pool.Now());
  pool.scheduler.OnStop(stops[0], true, stop_asked_at, pool.Now());
  pool.elapsed += Milliseconds(100);
  pool.scheduler.OnReport(pool.worker, later, pool.Now(), pool.Now());
  REQUIRE(pool.TakeOrders<StopRun>().size() == 1);
  CHECK(pool.TakeOrders<StartRun>().empty());
}

// Guards against leases by the clock of a process that has ended, which bind
// the next one only from when it gets them.
TEST_CASE("A late answer to a start order does not set the worker's clock") {
  OneWorkerPool pool;
  pool.AddJob(JobBuilder("j").Step(1).Build());
  const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
  REQUIRE(starts.size() == 1);
  pool.elapsed += Milliseconds(100);
  const RunReport later = ReportOf(kLaterProcess, Milliseconds(5));
  pool.scheduler.OnReport(pool.worker, later, pool.Now(), pool.Now());
  pool.scheduler.OnStart(starts[0], StartOutcome::kStarted, Milliseconds(1100),
                         pool.Now());
  pool.elapsed += Milliseconds(100);
  const std::vector<AskReport> asks = pool.TakeOrders<AskReport>();
  REQUIRE(asks.size() == 1);
  CHECK(asks[0].lease_until ==
        Milliseconds(105) + SchedulerSettings().longest_lease);
}

// Guards against a start on a restarted worker by a process that was paused,
// which handles a report from before the pause.
TEST_CASE("A report is as old as its request while another may lead") {
  OneWorkerPool pool;
  pool.AddJob(JobBuilder("j").Step(1).Build());
  const MonotonicTime asked_at = pool.Now();
  pool.elapsed += 2 * SchedulerSettings().unled_report_window;
  pool.scheduler.SetSole(false);
  pool.scheduler.OnReport(pool.worker, ReportOf(7, Milliseconds(1001)),
                          asked_at, pool.Now());
  CHECK(pool.TakeOrders<StartRun>().empty());
  pool.elapsed += Milliseconds(100);
  pool.SendReport();
  CHECK(pool.TakeOrders<StartRun>().size() == 1);
}

// Guards against a start on a worker that crashed and came back unnoticed.
TEST_CASE("A worker is always being asked while another may lead") {
  OneWorkerPool pool;
  pool.scheduler.SetSole(false);
  for (int i = 0; i < 3; ++i) {
    pool.elapsed += Milliseconds(10);
    const std::vector<AskReport> asks = pool.TakeOrders<AskReport>();
    REQUIRE(asks.size() == 1);
    CHECK(asks[0].wait.count() > 0);
    pool.SendReport();
  }
  pool.scheduler.SetSole(true);
  CHECK(pool.TakeOrders<AskReport>().empty());
}

// Guards against runs at an address of which the next scheduler is not told.
TEST_CASE("A worker gets no runs until its new address is remembered") {
  OneWorkerPool pool;
  WorkerListing moved;
  moved.name = pool.worker;
  moved.pool = PoolName("pool");
  moved.address = "elsewhere:80";
  moved.capacity = Resources{4000, 8000, 0};
  pool.scheduler.SetListing({{pool.worker, moved}}, pool.Now());
  pool.AddJob(JobBuilder("j").Step(1).Build());
  CHECK(pool.TakeOrders<StartRun>().empty());
  pool.scheduler.SetRemembered({pool.worker});
  CHECK(pool.TakeOrders<StartRun>().size() == 1);
}

}  // namespace
}  // namespace daisyroad

#include <catch2/catch.hpp>

#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Jobs/one_worker_pool.h"

namespace daisyroad {
namespace {

// Both occurrences are due.
AcceptedJob ScheduledJob() {
  return JobBuilder("j")
      .Step(1)
      .Schedule(2, WallTime(std::chrono::hours(999)), Milliseconds(1000))
      .Build();
}

// Guards against an occurrence that never runs since a later one has ended.
TEST_CASE("A new scheduler opens the occurrences before one that is done") {
  OneWorkerPool pool;
  JobProgress progress;
  progress.done.insert(TaskRef{JobId("j"), 1, 0, 0});
  pool.scheduler.AddJob(ScheduledJob(), progress, true, pool.Now());
  const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.occurrence == 0);
}

// Guards against attempts that a new scheduler does not know of.
TEST_CASE("A new scheduler knows the failed runs of a scheduled job") {
  OneWorkerPool pool;
  JobProgress progress;
  const TaskRef task{JobId("j"), 0, 0, 0};
  progress.failures[task] = {101, 102};
  pool.scheduler.AddJob(ScheduledJob(), progress, true, pool.Now());
  const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
  REQUIRE(starts.size() == 2);
  RunReport report;
  report.worker_clock = Milliseconds(2000);
  report.incarnation = 7;
  report.ended = {RunEnd{1, task, starts[0].run, EndKind::kFailed, ""}};
  pool.scheduler.OnReport(pool.worker, report, pool.Now(), pool.Now());
  const std::vector<std::pair<JobId, JobProgress>> saved =
      pool.scheduler.TakeUnsaved(10, pool.Now());
  REQUIRE(saved.size() == 1);
  CHECK(saved[0].second.status == JobStatus::kFailed);
}

}  // namespace
}  // namespace daisyroad

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "Core/Jobs/scheduler_settings.h"
#include "UnitTests/Jobs/ending_worker.h"
#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Jobs/one_worker_pool.h"

namespace daisyroad {
namespace {

// Guards against a loop of requests to a worker whose address answers for
// another process (issue 19).
TEST_CASE("A worker whose process has ended is asked only now and then") {
  constexpr Milliseconds kDuration{3000};
  OneWorkerPool pool;
  pool.AddJob(JobBuilder("j").Step(1).Build());
  pool.elapsed += Milliseconds(2);
  int requests = 0;
  while (pool.elapsed < kDuration) {
    if (!pool.TakeOrders<AskReport>().empty()) {
      pool.scheduler.OnWorkerGone(pool.worker, pool.Now(), pool.Now());
      pool.scheduler.OnReportFailed(pool.worker, pool.Now());
      ++requests;
    }
    pool.elapsed += Milliseconds(2);
  }
  // Two reports have to fail before a worker counts as unreachable.
  CHECK(requests <= 2 + kDuration / SchedulerSettings().gone_retry_delay);
}

// Guards against requests to the workers of a zone that was cut off that take
// the CPU time of the others (issue 19).
TEST_CASE("A worker that cannot be reached is asked less and less often") {
  constexpr Milliseconds kDuration{10000};
  OneWorkerPool pool;
  pool.AddJob(JobBuilder("j").Step(1).Build());
  int requests = 0;
  while (pool.elapsed < kDuration) {
    if (!pool.TakeOrders<AskReport>().empty()) {
      pool.scheduler.OnReportFailed(pool.worker, pool.Now());
      ++requests;
    }
    pool.elapsed += Milliseconds(2);
  }
  CHECK(requests <= 5 + kDuration / SchedulerSettings().max_retry_delay);
}

// Guards against TWICE: a worker that was no longer listed was forgotten with
// ends that were not saved, so the next scheduler started its tasks again.
TEST_CASE("A worker is remembered until its ends are saved") {
  OneWorkerPool pool;
  EndingWorker worker(&pool);
  pool.AddJob(JobBuilder("j").Step(2).Build());
  worker.EndAll(pool.TakeOrders<StartRun>());
  const std::vector<std::pair<JobId, JobProgress>> unsaved =
      pool.scheduler.TakeUnsaved(10, pool.Now());
  REQUIRE(unsaved.size() == 1);
  pool.scheduler.SetListing({}, pool.Now());
  pool.TakeOrders<AskReport>();
  CHECK(pool.scheduler.WorkersToRemember().size() == 1);
  pool.scheduler.OnSaveFailed({unsaved[0].first});
  pool.TakeOrders<AskReport>();
  CHECK(pool.scheduler.WorkersToRemember().size() == 1);
  pool.elapsed += Milliseconds(20);
  pool.scheduler.TakeUnsaved(10, pool.Now());
  pool.scheduler.OnSaved({unsaved[0].first});
  pool.TakeOrders<AskReport>();
  CHECK(pool.scheduler.WorkersToRemember().empty());
}

}  // namespace
}  // namespace daisyroad

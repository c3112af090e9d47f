#include <catch2/catch.hpp>

#include "Core/Jobs/scheduler_settings.h"
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

}  // namespace
}  // namespace daisyroad

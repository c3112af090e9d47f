// Jobs that name more occurrences than a scheduler could hold.

#include <catch2/catch.hpp>
#include <set>

#include "Core/Common/json.h"
#include "UnitTests/Jobs/allocation_limit.h"
#include "UnitTests/Jobs/ending_worker.h"
#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Jobs/one_worker_pool.h"

namespace daisyroad {
namespace {

// A quarter of the memory that an instance may use for control.
constexpr std::size_t kMostHeld = 8 << 20;
constexpr int kManyOccurrences = 2'000'000'000;
// Tasks of the job that the worker runs at a time.
constexpr std::size_t kRoom = 40;

// All its occurrences are due.
AcceptedJob LongOverdueJob() {
  return JobBuilder("long")
      .Step(1, 100)
      .Schedule(kManyOccurrences, WallTime(), Milliseconds(1))
      .Build();
}

// Guards against an accepted job whose due occurrences fill the memory of each
// scheduler of its pool.
TEST_CASE("Occurrences that are due are opened as they can start") {
  OneWorkerPool pool;
  const AllocationLimit limit(kMostHeld);
  pool.AddJob(LongOverdueJob());
  CHECK(pool.TakeOrders<StartRun>().size() == kRoom);
}

// Guards against a job that no other job of its pool starts beside.
TEST_CASE("Other jobs start beside one with many due occurrences") {
  OneWorkerPool pool;
  const AllocationLimit limit(kMostHeld);
  pool.AddJob(LongOverdueJob());
  const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
  AcceptedJob ordinary = JobBuilder("ordinary").Step(1, 1000).Build();
  ordinary.team = TeamName("other");
  ordinary.accepted_at = WallTime(std::chrono::hours(1000));
  pool.AddJob(ordinary);
  EndingWorker(&pool).EndAll(starts);
  int found = 0;
  for (const StartRun& start : pool.TakeOrders<StartRun>()) {
    found += start.task.job == JobId("ordinary");
  }
  CHECK(found == 1);
}

// Guards against a scheduler that holds and stores all occurrences that have
// ended, and against one that runs them again after a takeover.
TEST_CASE("Occurrences that have ended need no room and do not run again") {
  constexpr int kRounds = 200;
  JobProgress progress;
  std::set<TaskRef> started;
  {
    OneWorkerPool pool;
    EndingWorker worker(&pool);
    const AllocationLimit limit(kMostHeld);
    pool.AddJob(LongOverdueJob());
    std::ptrdiff_t held_early = 0;
    for (int round = 0; round < kRounds; ++round) {
      const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
      REQUIRE(starts.size() == kRoom);
      for (const StartRun& start : starts) {
        REQUIRE(started.insert(start.task).second);
      }
      worker.EndAll(starts);
      const std::vector<std::pair<JobId, JobProgress>> saved =
          pool.scheduler.TakeUnsaved(10, pool.Now());
      REQUIRE(saved.size() == 1);
      progress = saved[0].second;
      pool.scheduler.OnSaved({saved[0].first});
      pool.scheduler.TakeDecisions();
      held_early = round == kRounds / 10 ? limit.Held() : held_early;
    }
    // The set of started tasks is the test's own.
    const std::ptrdiff_t set_size = kRoom * kRounds * 256;
    CHECK(limit.Held() < held_early + set_size);
  }
  CHECK(WriteJson(ToJson(progress)).size() < 1000);
  OneWorkerPool next;
  const AllocationLimit limit(kMostHeld);
  next.scheduler.AddJob(LongOverdueJob(), progress, true, next.Now());
  const std::vector<StartRun> starts = next.TakeOrders<StartRun>();
  CHECK(starts.size() == kRoom);
  for (const StartRun& start : starts) {
    CHECK(started.insert(start.task).second);
  }
}

// Guards against stored progress that a later scheduler cannot hold.
TEST_CASE("Progress that names a late occurrence opens no others") {
  OneWorkerPool pool;
  const AllocationLimit limit(kMostHeld);
  JobProgress progress;
  progress.failures[TaskRef{JobId("long"), kManyOccurrences - 2, 0, 0}] = {7};
  pool.scheduler.AddJob(LongOverdueJob(), progress, true, pool.Now());
  const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
  REQUIRE(starts.size() == kRoom);
  CHECK(starts[0].task.occurrence == 0);
}

// Guards against a report that makes the scheduler open all occurrences before
// the one that it names.
TEST_CASE("A report that names a late occurrence opens no others") {
  OneWorkerPool pool;
  const AllocationLimit limit(kMostHeld);
  AcceptedJob job = LongOverdueJob();
  job.spec.interval = std::chrono::hours(24 * 365);
  pool.scheduler.AddJob(job, JobProgress(), true, pool.Now());
  RunReport report;
  report.worker_clock = Milliseconds(2000);
  report.incarnation = 7;
  ActiveRun active;
  active.task = TaskRef{JobId("long"), kManyOccurrences - 2, 0, 0};
  active.run = 7;
  report.active = {active};
  pool.scheduler.OnReport(pool.worker, report, pool.Now(), pool.Now());
  CHECK(pool.TakeOrders<StopRun>().empty());
  CHECK(pool.scheduler.MaxUsage()[TeamName("team")].cpu_millicores == 200);
}

}  // namespace
}  // namespace daisyroad

// Jobs that name more tasks than a scheduler could hold.

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
constexpr int kManyTasks = 10000;
// The limit on the runs of one job.
constexpr std::size_t kMostRuns = 10000;

AcceptedJob ManySteps(int steps, std::int64_t cpu) {
  JobBuilder job("large");
  for (int i = 0; i < steps; ++i) {
    job.Step(kManyTasks, cpu);
  }
  return job.Build();
}

// Guards against an accepted job whose tasks fill the memory of each scheduler
// of its pool.
TEST_CASE("Tasks take memory when they start") {
  OneWorkerPool pool;
  const AllocationLimit limit(kMostHeld);
  pool.AddJob(ManySteps(150, 1000));
  const std::size_t starts = pool.TakeOrders<StartRun>().size();
  CHECK(starts == 4);
}

// Guards against progress that outgrows what the store takes, and against done
// tasks that run again after a takeover.
TEST_CASE("Done tasks take no room and do not run again") {
  JobProgress progress;
  std::set<TaskRef> started;
  {
    OneWorkerPool pool;
    EndingWorker worker(&pool);
    pool.AddJob(ManySteps(1, 100));
    for (int round = 0; round < 100; ++round) {
      const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
      REQUIRE(starts.size() == 40);
      for (const StartRun& start : starts) {
        REQUIRE(started.insert(start.task).second);
      }
      worker.EndAll(starts);
      const std::vector<std::pair<JobId, JobProgress>> saved =
          pool.scheduler.TakeUnsaved(10, pool.Now());
      REQUIRE(saved.size() == 1);
      progress = saved[0].second;
      pool.scheduler.OnSaved({saved[0].first});
    }
  }
  const std::string stored = WriteJson(ToJson(progress));
  CHECK(stored.size() < 1000);
  const Result<JobProgress> read =
      ParseJobProgress(JobId("large"), ParseJson(stored).value());
  REQUIRE(read.ok());
  OneWorkerPool next;
  const AllocationLimit limit(kMostHeld);
  next.scheduler.AddJob(ManySteps(1, 100), read.value(), true, next.Now());
  const std::vector<StartRun> starts = next.TakeOrders<StartRun>();
  CHECK(starts.size() == 40);
  for (const StartRun& start : starts) {
    CHECK(started.insert(start.task).second);
  }
}

// Guards against a job whose tasks request nothing, so that the room of the
// workers does not limit its runs, and against jobs that wait behind it.
TEST_CASE("The runs of one job are limited") {
  OneWorkerPool pool;
  AcceptedJob large = ManySteps(2, 0);
  for (StepSpec& step : large.spec.steps) {
    step.request = Resources();
  }
  pool.AddJob(large);
  std::size_t runs = 0;
  for (std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
       !starts.empty(); starts = pool.TakeOrders<StartRun>()) {
    runs += starts.size();
    for (const StartRun& start : starts) {
      pool.scheduler.OnStart(start, StartOutcome::kStarted, std::nullopt,
                             pool.Now());
    }
  }
  CHECK(runs == kMostRuns);
  pool.AddJob(JobBuilder("ordinary").Step(1, 1000).Build());
  const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.job == JobId("ordinary"));
}

// Guards against malformed ranges in stored progress.
TEST_CASE("Ranges of done tasks are checked when they are read") {
  for (const char* const bad :
       {"[0,0,5,4]", "[0,0,0,-1]", "[0,0,-1]", "[-1,0,0]", "[0,0,1,2,3]",
        "[0,0,0,2147483647]", "[0,0,\"a\"]"}) {
    const std::string text =
        std::string(R"({"status":"running","done":[)") + bad + "]}";
    CHECK_FALSE(ParseJobProgress(JobId("j"), ParseJson(text).value()).ok());
  }
}

// Guards against stored progress that names tasks which the job does not have.
TEST_CASE("Done tasks beyond the end of a job are passed over") {
  OneWorkerPool pool;
  JobProgress progress;
  progress.done.insert(TaskRef{JobId("large"), 0, 7, 0});
  progress.done.insert(TaskRef{JobId("large"), 3, 0, 0});
  progress.done.insert(TaskRef{JobId("large"), 0, 0, 2 * kManyTasks});
  pool.scheduler.AddJob(ManySteps(1, 1000), progress, true, pool.Now());
  CHECK(pool.TakeOrders<StartRun>().size() == 4);
}

}  // namespace
}  // namespace daisyroad

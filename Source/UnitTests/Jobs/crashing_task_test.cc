#include <catch2/catch.hpp>

#include "UnitTests/Jobs/crashing_pool.h"
#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Jobs/one_worker_pool.h"

namespace daisyroad {
namespace {

constexpr int kWorkers = 8;
constexpr Milliseconds kLongEnough{60000};
// Starts that a task is allowed after three workers have crashed under it.
constexpr int kStartsAllowed = 2;

const TaskRef kTask{JobId("bad"), 0, 0, 0};

void AddOtherJobs(CrashingPool* pool, int count) {
  for (int i = 0; i < count; ++i) {
    pool->AddJob(JobBuilder("other" + std::to_string(i)).Step(2).Build());
  }
}

// Guards against a task that crashes worker after worker (issue 22).
TEST_CASE("A task that crashes its workers is given up") {
  CrashingPool pool(kWorkers);
  pool.AddJob(JobBuilder("bad").Step(1).Build());
  pool.CrashWorkersOf(kTask, Milliseconds(300));
  AddOtherJobs(&pool, 20);
  pool.RunFor(kLongEnough);
  CHECK(pool.Crashes(kTask) >= 2);
  CHECK(pool.StartsAfterThreeCrashes(kTask) <= kStartsAllowed);
  CHECK(pool.StatusOf("bad") == JobStatus::kFailed);
  CHECK(pool.JobsCompleted() == 20);
}

TEST_CASE("A task that crashes its workers before they answer is given up") {
  CrashingPool pool(kWorkers);
  pool.AddJob(JobBuilder("bad").Step(1).Build());
  pool.CrashWorkersOf(kTask, Milliseconds(0));
  pool.RunFor(kLongEnough);
  CHECK(pool.Crashes(kTask) >= 2);
  CHECK(pool.StartsAfterThreeCrashes(kTask) <= kStartsAllowed);
  CHECK(pool.StatusOf("bad") == JobStatus::kFailed);
}

TEST_CASE("A task with copies that crashes its workers is given up") {
  CrashingPool pool(kWorkers);
  JobBuilder job("bad");
  job.Step(1).Last().allows_copies = true;
  pool.AddJob(job.Build());
  pool.CrashWorkersOf(kTask, Milliseconds(10));
  AddOtherJobs(&pool, 20);
  pool.RunFor(kLongEnough);
  CHECK(pool.Crashes(kTask) >= 2);
  CHECK(pool.StartsAfterThreeCrashes(kTask) <= kStartsAllowed);
  CHECK(pool.StatusOf("bad") == JobStatus::kFailed);
  CHECK(pool.JobsCompleted() == 20);
}

TEST_CASE("A service task that crashes its workers is given up") {
  CrashingPool pool(kWorkers);
  pool.AddJob(JobBuilder("bad").Service(2, 1).Build());
  pool.CrashWorkersOf(kTask, Milliseconds(1200));
  AddOtherJobs(&pool, 20);
  pool.RunFor(kLongEnough);
  CHECK(pool.Crashes(kTask) >= 2);
  CHECK(pool.StartsAfterThreeCrashes(kTask) <= kStartsAllowed);
  CHECK(pool.StatusOf("bad") == JobStatus::kFailed);
  CHECK(pool.JobsCompleted() == 20);
}

TEST_CASE("Crashes that only the next process of a worker shows are counted") {
  const Milliseconds restart_delay =
      GENERATE(Milliseconds(20), Milliseconds(200), Milliseconds(2000),
               // Longer than the leases of the lost runs.
               Milliseconds(9000));
  CrashingPool pool(kWorkers);
  pool.SetCrashesListed(false);
  pool.SetRestartDelay(restart_delay);
  pool.AddJob(JobBuilder("bad").Step(1).Build());
  pool.CrashWorkersOf(kTask, Milliseconds(300));
  pool.RunFor(2 * kLongEnough);
  INFO("restart after " << restart_delay.count() << " ms");
  CHECK(pool.Crashes(kTask) >= 2);
  CHECK(pool.StartsAfterThreeCrashes(kTask) <= kStartsAllowed);
  CHECK(pool.StatusOf("bad") == JobStatus::kFailed);
}

TEST_CASE("Each task of a step that crashes its workers stays in bounds") {
  CrashingPool pool(kWorkers);
  pool.AddJob(JobBuilder("bad").Step(6).Build());
  for (int i = 0; i < 6; ++i) {
    pool.CrashWorkersOf(TaskRef{JobId("bad"), 0, 0, i},
                        Milliseconds(100 + 50 * i));
  }
  AddOtherJobs(&pool, 20);
  pool.RunFor(kLongEnough);
  for (int i = 0; i < 6; ++i) {
    const TaskRef task{JobId("bad"), 0, 0, i};
    CHECK(pool.StartsAfterThreeCrashes(task) <= kStartsAllowed);
  }
  CHECK(pool.StatusOf("bad") == JobStatus::kFailed);
  CHECK(pool.JobsCompleted() == 20);
}

// Guards against crashes that are taken for planned work that was called off.
TEST_CASE("A crash counts on a worker that was to be emptied before") {
  CrashingPool pool(2);
  for (int i = 0; i < 6; ++i) {
    pool.SetVacating({pool.WorkerNames()[0], pool.WorkerNames()[1]});
    pool.RunFor(Milliseconds(100));
    pool.SetVacating({});
    if (i == 0) {
      pool.AddJob(JobBuilder("bad").Step(1).Build());
      pool.CrashWorkersOf(kTask, Milliseconds(300));
    }
    pool.RunFor(Milliseconds(3000));
  }
  pool.RunFor(kLongEnough);
  CHECK(pool.Crashes(kTask) >= 2);
  CHECK(pool.StartsAfterThreeCrashes(kTask) <= kStartsAllowed);
  CHECK(pool.StatusOf("bad") == JobStatus::kFailed);
}

TEST_CASE(
    "A crash counts though a report was under way as work was called off") {
  OneWorkerPool pool;
  const MonotonicTime asked_at = pool.Now();
  pool.elapsed += Milliseconds(10);
  pool.scheduler.SetVacating({pool.worker}, {});
  pool.TakeOrders<AskReport>();
  pool.elapsed += Milliseconds(10);
  pool.scheduler.SetVacating({}, {});
  RunReport report;
  report.worker_clock = Milliseconds(1000) + pool.elapsed;
  report.incarnation = 7;
  pool.scheduler.OnReport(pool.worker, report, asked_at, pool.Now());
  pool.AddJob(JobBuilder("bad").Step(1).Build());
  REQUIRE(pool.TakeOrders<StartRun>().size() == 1);
  pool.elapsed += Milliseconds(200);
  pool.scheduler.OnWorkerGone(pool.worker, pool.Now(), pool.Now());
  const std::vector<std::pair<JobId, JobProgress>> saved =
      pool.scheduler.TakeUnsaved(10, pool.Now());
  REQUIRE(saved.size() == 1);
  CHECK(saved[0].second.crashes.contains(kTask));
}

// Guards against crashes that are taken for planned work that was only
// prepared.
TEST_CASE(
    "A crash counts though the worker was to be emptied since its start") {
  const WorkerEnd end = GENERATE(WorkerEnd::kDown, WorkerEnd::kPlanned);
  OneWorkerPool pool;
  pool.AddJob(JobBuilder("bad").Step(1).Build());
  REQUIRE(pool.TakeOrders<StartRun>().size() == 1);
  pool.elapsed += Milliseconds(10);
  pool.scheduler.SetVacating({pool.worker}, {});
  pool.TakeOrders<StartRun>();
  pool.elapsed += Milliseconds(200);
  pool.scheduler.OnWorkerGone(pool.worker, pool.Now(), pool.Now(), end);
  const std::vector<std::pair<JobId, JobProgress>> saved =
      pool.scheduler.TakeUnsaved(10, pool.Now());
  CHECK(saved.size() == (end == WorkerEnd::kDown ? 1 : 0));
}

TEST_CASE("A gang that crashes a worker of each run is given up") {
  CrashingPool pool(kWorkers);
  JobBuilder gang("bad");
  gang.Step(3).Last().is_gang = true;
  pool.AddJob(gang.Build());
  pool.CrashWorkersOf(kTask, Milliseconds(300));
  pool.RunFor(kLongEnough);
  CHECK(pool.StartsAfterThreeCrashes(kTask) <= kStartsAllowed);
  CHECK(pool.StatusOf("bad") == JobStatus::kFailed);
}

TEST_CASE("A new scheduler knows the crashes that earlier ones have seen") {
  CrashingPool pool(kWorkers);
  pool.AddJob(JobBuilder("bad").Step(1).Build());
  pool.CrashWorkersOf(kTask, Milliseconds(300));
  for (int crashes = 1; crashes <= 12; ++crashes) {
    for (int i = 0; pool.Crashes(kTask) < crashes && i < 2000; ++i) {
      pool.RunFor(Milliseconds(10));
    }
    // Long enough for the crash to be seen and saved, and too short for a start
    // that crashes the next worker.
    pool.RunFor(Milliseconds(250));
    pool.EndScheduler();
    pool.BeginScheduler();
  }
  pool.RunFor(kLongEnough);
  CHECK(pool.StartsAfterThreeCrashes(kTask) <= kStartsAllowed);
  CHECK(pool.StatusOf("bad") == JobStatus::kFailed);
}

TEST_CASE("A crash without a scheduler counts if the task crashed before") {
  const int first_start = GENERATE(2, 3);
  CrashingPool pool(kWorkers);
  pool.AddJob(JobBuilder("bad").Step(1).Build());
  pool.CrashWorkersOf(kTask, Milliseconds(200));
  pool.EndSchedulerAtStartsOf(kTask, first_start, Milliseconds(1000));
  pool.RunFor(2 * kLongEnough);
  INFO("from start " << first_start << " on");
  CHECK(pool.Crashes(kTask) >= 2);
  CHECK(pool.StartsAfterThreeCrashes(kTask) <= kStartsAllowed);
  CHECK(pool.StatusOf("bad") == JobStatus::kFailed);
}

// Regression test (seed 9514 of the simulation): the runs of a task whose
// leases had expired were forgotten with the scheduler, though their workers
// crashed.
TEST_CASE("A crash of a worker that is cut off counts under a new scheduler") {
  CrashingPool pool(kWorkers);
  pool.SetCrashesListed(false);
  pool.AddJob(JobBuilder("bad").Step(1).Build());
  pool.CrashWorkersOf(kTask, Milliseconds(300));
  for (int starts = 2; starts <= 10; ++starts) {
    for (int i = 0; pool.Starts(kTask) < starts && i < 3000; ++i) {
      pool.RunFor(Milliseconds(10));
    }
    if (starts % 2 == 0 && pool.WorkerOf(kTask) != WorkerName()) {
      pool.Disconnect(pool.WorkerOf(kTask), Milliseconds(9000));
    } else {
      pool.EndScheduler();
      pool.BeginScheduler();
    }
  }
  pool.RunFor(kLongEnough);
  CHECK(pool.Crashes(kTask) >= 3);
  CHECK(pool.StartsAfterThreeCrashes(kTask) <= kStartsAllowed);
  CHECK(pool.StatusOf("bad") == JobStatus::kFailed);
}

// Guards against starts whose crashes a new scheduler would not know of.
TEST_CASE("A task with two crashes is not started before they are saved") {
  CrashingPool pool(kWorkers);
  pool.AddJob(JobBuilder("bad").Step(1).Build());
  pool.CrashWorkersOf(kTask, Milliseconds(300));
  pool.RunFor(Milliseconds(200));
  REQUIRE(pool.Starts(kTask) == 1);
  pool.SetStoreAvailable(false);
  pool.RunFor(Milliseconds(20000));
  CHECK(pool.Crashes(kTask) == 2);
  CHECK(pool.Starts(kTask) == 2);
  const bool is_scheduler_replaced = GENERATE(false, true);
  if (is_scheduler_replaced) {
    pool.EndScheduler();
    pool.BeginScheduler();
  }
  pool.SetStoreAvailable(true);
  pool.RunFor(kLongEnough);
  CHECK(pool.StartsAfterThreeCrashes(kTask) <= kStartsAllowed);
  CHECK(pool.StatusOf("bad") == JobStatus::kFailed);
}

// Guards against tasks that wait for the store since a worker crashed.
TEST_CASE("A task with one crash starts while the store does not answer") {
  CrashingPool pool(kWorkers);
  JobBuilder job("long");
  job.Step(4).Last().estimate = Milliseconds(3000);
  pool.AddJob(job.Build());
  pool.RunFor(Milliseconds(200));
  pool.SetStoreAvailable(false);
  pool.CrashWorker(pool.WorkerOf(TaskRef{JobId("long"), 0, 0, 0}));
  pool.RunFor(Milliseconds(300));
  for (int i = 0; i < 4; ++i) {
    CHECK(pool.WorkerOf(TaskRef{JobId("long"), 0, 0, i}) != WorkerName());
  }
}

// Guards against a job that is kept alive by its other tasks until the pool has
// lost most of its workers.
TEST_CASE("Many tasks that crash their workers leave the others room") {
  CrashingPool pool(kWorkers);
  for (int i = 0; i < 10; ++i) {
    const std::string id = "bad" + std::to_string(i);
    pool.AddJob(JobBuilder(id).Step(2).Build());
    pool.CrashWorkersOf(TaskRef{JobId(id), 0, 0, 0}, Milliseconds(300));
  }
  AddOtherJobs(&pool, 40);
  pool.RunFor(2 * kLongEnough);
  for (int i = 0; i < 10; ++i) {
    const std::string id = "bad" + std::to_string(i);
    const TaskRef task{JobId(id), 0, 0, 0};
    CHECK(pool.StartsAfterThreeCrashes(task) <= kStartsAllowed);
    CHECK(pool.StatusOf(id) == JobStatus::kFailed);
  }
  CHECK(pool.JobsCompleted() == 40);
}

}  // namespace
}  // namespace daisyroad

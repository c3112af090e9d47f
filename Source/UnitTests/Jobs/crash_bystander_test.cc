#include <catch2/catch.hpp>

#include "Core/Common/json.h"
#include "UnitTests/Jobs/crashing_pool.h"
#include "UnitTests/Jobs/job_builder.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kLongEnough{60000};
constexpr Milliseconds kLongTask{4000};

AcceptedJob LongJob(const std::string& id, int tasks) {
  JobBuilder builder(id);
  builder.Step(tasks).Last().estimate = kLongTask;
  return builder.Build();
}

// Guards against giving up a task for the crashes of another one beside it.
TEST_CASE("Tasks beside one that crashes its workers complete") {
  const int workers = GENERATE(2, 3, 6);
  CrashingPool pool(workers);
  for (int i = 0; i < 3; ++i) {
    const std::string id = "bad" + std::to_string(i);
    pool.AddJob(JobBuilder(id).Step(1).Build());
    pool.CrashWorkersOf(TaskRef{JobId(id), 0, 0, 0}, Milliseconds(400));
  }
  for (int i = 0; i < 10; ++i) {
    pool.AddJob(JobBuilder("other" + std::to_string(i)).Step(2).Build());
  }
  pool.AddJob(LongJob("long", 2));
  pool.AddJob(JobBuilder("service").Service(2, 1).Build());
  for (int second = 0; second < 60; ++second) {
    pool.RunFor(Milliseconds(1000));
    for (int i = 0; i < 10; ++i) {
      CHECK(pool.StatusOf("other" + std::to_string(i)) != JobStatus::kFailed);
    }
    CHECK(pool.StatusOf("long") != JobStatus::kFailed);
    CHECK(pool.StatusOf("service") != JobStatus::kFailed);
  }
}

// Guards against tasks that wait while their pool has room.
TEST_CASE("A task starts within 3 s of a crash under it while there is room") {
  CrashingPool pool(6);
  pool.AddJob(JobBuilder("service").Service(1, 1).Build());
  const TaskRef task{JobId("service"), 0, 0, 0};
  // Tasks that end keep each worker in use.
  for (int i = 0; i < 12; ++i) {
    pool.AddJob(LongJob("long" + std::to_string(i), 4));
  }
  pool.RunFor(Milliseconds(500));
  for (int crash = 0; crash < 5; ++crash) {
    const WorkerName worker = pool.WorkerOf(task);
    REQUIRE(worker != WorkerName());
    pool.CrashWorker(worker);
    Milliseconds waited{0};
    while (pool.WorkerOf(task) == WorkerName() &&
           waited < Milliseconds(60000)) {
      pool.RunFor(Milliseconds(10));
      waited += Milliseconds(10);
    }
    CHECK(waited <= Milliseconds(3000) + kLongTask);
    pool.RunFor(Milliseconds(20000));
  }
  CHECK(pool.StatusOf("service") == JobStatus::kRunning);
}

// Guards against jobs that are given up since machines crash now and then.
TEST_CASE("Crashes of single workers give up no task") {
  CrashingPool pool(6);
  pool.AddJob(JobBuilder("service").Service(3, 1).Build());
  for (int i = 0; i < 6; ++i) {
    pool.AddJob(LongJob("long" + std::to_string(i), 4));
  }
  std::vector<WorkerName> names = pool.WorkerNames();
  for (int crash = 0; crash < 30; ++crash) {
    pool.RunFor(Milliseconds(5700));
    pool.CrashWorker(names[crash % names.size()]);
  }
  pool.RunFor(kLongEnough);
  CHECK(pool.total_crashes() == 30);
  CHECK(pool.JobsFailed() == 0);
  CHECK(pool.JobsCompleted() == 6);
}

TEST_CASE("The crash of a service's worker every minute gives up no task") {
  CrashingPool pool(4);
  pool.AddJob(JobBuilder("service").Service(1, 1).Build());
  const TaskRef task{JobId("service"), 0, 0, 0};
  for (int crash = 0; crash < 12; ++crash) {
    pool.RunFor(kLongEnough);
    REQUIRE(pool.WorkerOf(task) != WorkerName());
    pool.CrashWorker(pool.WorkerOf(task));
  }
  pool.RunFor(kLongEnough);
  CHECK(pool.StatusOf("service") == JobStatus::kRunning);
  CHECK(pool.WorkerOf(task) != WorkerName());
}

// Guards against a pool that starts tasks one by one after it lost racks.
TEST_CASE("The loss of racks gives up no task and leaves starts unthrottled") {
  CrashingPool pool(12);
  pool.AddJob(JobBuilder("service").Service(4, 2).Build());
  for (int i = 0; i < 11; ++i) {
    pool.AddJob(LongJob("long" + std::to_string(i), 4));
  }
  // The second loss takes the tasks that were just started again.
  for (int loss = 0; loss < 2; ++loss) {
    pool.RunFor(Milliseconds(2500));
    for (int i = 0; i < 8; ++i) {
      pool.CrashWorker(pool.WorkerNames()[i]);
    }
  }
  // The tasks lost at 5 s fit on the workers that are back at 7 s.
  pool.RunFor(Milliseconds(2000) + 3 * kLongTask);
  CHECK(pool.JobsFailed() == 0);
  CHECK(pool.JobsCompleted() == 11);
  // Services outlive what they have seen.
  for (int loss = 0; loss < 6; ++loss) {
    pool.RunFor(Milliseconds(15000));
    for (int i = 0; i < 8; ++i) {
      pool.CrashWorker(pool.WorkerNames()[i]);
    }
  }
  pool.RunFor(kLongEnough);
  CHECK(pool.JobsFailed() == 0);
  for (int i = 0; i < 4; ++i) {
    CHECK(pool.WorkerOf(TaskRef{JobId("service"), 0, 0, i}) != WorkerName());
  }
}

TEST_CASE("Planned work on machines gives up no task") {
  CrashingPool pool(4);
  pool.AddJob(JobBuilder("service").Service(3, 1).Build());
  pool.AddJob(LongJob("long", 8));
  for (int i = 0; i < 20; ++i) {
    pool.RunFor(Milliseconds(3000));
    const WorkerName worker = pool.WorkerNames()[i % 4];
    pool.SetVacating({worker});
    pool.RunFor(Milliseconds(30));
    pool.EndPlanned(worker);
    pool.RunFor(Milliseconds(100));
    pool.SetVacating({});
  }
  pool.RunFor(kLongEnough);
  CHECK(pool.JobsFailed() == 0);
  CHECK(pool.StatusOf("long") == JobStatus::kCompleted);
}

TEST_CASE("Workers that drain and end give up no task") {
  CrashingPool pool(4);
  pool.AddJob(JobBuilder("service").Service(3, 1).Build());
  pool.AddJob(LongJob("long", 8));
  for (int i = 0; i < 20; ++i) {
    pool.RunFor(Milliseconds(3000));
    const WorkerName worker = pool.WorkerNames()[i % 4];
    pool.SetDraining(worker, true);
    pool.RunFor(Milliseconds(30));
    pool.EndPlanned(worker);
    pool.RunFor(Milliseconds(100));
  }
  pool.RunFor(kLongEnough);
  CHECK(pool.JobsFailed() == 0);
  CHECK(pool.StatusOf("long") == JobStatus::kCompleted);
}

TEST_CASE("Leases that expire give up no task") {
  CrashingPool pool(3);
  pool.AddJob(JobBuilder("service").Service(2, 1).Build());
  pool.AddJob(LongJob("long", 12));
  for (int i = 0; i < 8; ++i) {
    pool.RunFor(Milliseconds(2000));
    pool.Disconnect(pool.WorkerNames()[i % 3], Milliseconds(9000));
    pool.RunFor(Milliseconds(9500));
  }
  pool.RunFor(kLongEnough);
  CHECK(pool.JobsFailed() == 0);
  CHECK(pool.StatusOf("long") == JobStatus::kCompleted);
}

// Regression test (seeds 364, 1787 and 2182 of the simulation): starts that
// were stored and never sent counted as crashes, and the job was closed as
// failed.
TEST_CASE("A start that was stored and not sent does not count as a crash") {
  const Milliseconds term(GENERATE(10, 20, 30, 40));
  CrashingPool pool(6);
  pool.AddJob(LongJob("long", 1));
  const TaskRef task{JobId("long"), 0, 0, 0};
  for (int crash = 0; crash < 2; ++crash) {
    for (int i = 0; pool.Crashes(task) == crash && i < 1000; ++i) {
      pool.RunFor(Milliseconds(10));
      if (pool.WorkerOf(task) != WorkerName()) {
        pool.CrashWorker(pool.WorkerOf(task));
      }
    }
  }
  REQUIRE(pool.Crashes(task) == 2);
  pool.RunFor(Milliseconds(210));
  for (int i = 0; i < 20; ++i) {
    pool.EndScheduler();
    pool.BeginScheduler();
    pool.RunFor(term);
    CHECK(pool.StatusOf("long") != JobStatus::kFailed);
  }
  pool.RunFor(kLongEnough);
  CHECK(pool.StatusOf("long") == JobStatus::kCompleted);
}

// Guards against a scheduler that cannot read the records of an older one.
TEST_CASE("Progress without a record of crashes is read") {
  const Result<JobProgress> progress = ParseJobProgress(
      JobId("j"),
      ParseJson(R"({"status":"running","done":[[0,0,0]],"failures":[]})")
          .value());
  REQUIRE(progress.ok());
  CHECK(progress.value().done.size() == 1);
}

}  // namespace
}  // namespace daisyroad

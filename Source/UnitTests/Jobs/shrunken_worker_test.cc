#include <catch2/catch.hpp>

#include "UnitTests/Jobs/crashing_pool.h"
#include "UnitTests/Jobs/job_builder.h"

namespace daisyroad {
namespace {

const Resources kFull{4000, 100000, 0};
const Resources kShrunken{1500, 100000, 0};

// Guards against starts on a worker whose runs exceed its capacity (issue 22).
TEST_CASE("Nothing starts on a worker that has shrunk until it fits") {
  CrashingPool pool(1);
  const WorkerName worker = pool.WorkerNames()[0];
  JobBuilder job("long");
  job.Step(3).Last().estimate = Milliseconds(3000);
  pool.AddJob(job.Build());
  pool.RunFor(Milliseconds(100));
  REQUIRE(pool.RunsOn(worker).size() == 3);
  pool.SetCapacity(worker, kShrunken);
  pool.RunFor(Milliseconds(50));
  pool.AddJob(JobBuilder("small").Step(2, 400).Build());
  JobBuilder filler("filler");
  filler.Step(1, 100).Last().uses_idle_capacity = true;
  pool.AddJob(filler.Build());
  pool.RunFor(Milliseconds(2000));
  CHECK(pool.RunsOn(worker).size() == 3);
  CHECK(pool.Starts(TaskRef{JobId("small"), 0, 0, 0}) == 0);
  CHECK(pool.Starts(TaskRef{JobId("filler"), 0, 0, 0}) == 0);
  pool.RunFor(Milliseconds(4000));
  CHECK(pool.JobsCompleted() == 3);
  // While shrunken, one task of 1000 millicores fits at a time.
  pool.AddJob(JobBuilder("next").Step(3).Build());
  for (int i = 0; i < 20; ++i) {
    pool.RunFor(Milliseconds(20));
    CHECK(pool.RunsOn(worker).size() <= 1);
  }
  pool.SetCapacity(worker, kFull);
  pool.RunFor(Milliseconds(3000));
  CHECK(pool.JobsCompleted() == 4);
}

// Guards against starts in the room of a run that has not ended yet.
TEST_CASE("A run that is being stopped takes its room until it has ended") {
  CrashingPool pool(1);
  const WorkerName worker = pool.WorkerNames()[0];
  JobBuilder job("long");
  job.Step(4).Last().estimate = Milliseconds(30000);
  pool.AddJob(job.Build());
  pool.RunFor(Milliseconds(100));
  REQUIRE(pool.RunsOn(worker).size() == 4);
  // Orders to stop do not arrive, so the runs go on.
  pool.Disconnect(worker, Milliseconds(1500));
  pool.CancelJob("long");
  pool.AddJob(JobBuilder("next").Step(4).Build());
  pool.RunFor(Milliseconds(1400));
  CHECK(pool.RunsOn(worker).size() == 4);
  CHECK(pool.Starts(TaskRef{JobId("next"), 0, 0, 0}) == 0);
  pool.RunFor(Milliseconds(5000));
  CHECK(pool.StatusOf("next") == JobStatus::kCompleted);
}

}  // namespace
}  // namespace daisyroad

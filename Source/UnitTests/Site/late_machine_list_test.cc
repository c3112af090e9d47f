#include <catch2/catch.hpp>

#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Site/pool_leader_fixture.h"

namespace daisyroad {
namespace {

const WorkerName kFirst("w1");
const WorkerName kSecond("w2");

// Guards against a second run of a task when a list of machines that shows a
// crash of its worker arrives after the worker is back.
TEST_CASE("A late list of machines does not end the runs of a new process") {
  PoolLeaderFixture fixture;
  fixture.Lead(fixture.FirstTerm());
  // The task can only run on the first worker until the list has been sent.
  fixture.workers.Crash(kSecond);
  const AcceptedJob job = JobBuilder("j").Service(1, 1).Build();
  const TaskRef task{job.id, 0, 0, 0};
  fixture.Store(job);
  fixture.loop.RunFor(PoolLeaderFixture::kSettled);
  REQUIRE(fixture.workers.WorkersOf(task) == std::vector<WorkerName>{kFirst});

  fixture.machines.delay = Milliseconds(900);
  fixture.workers.Crash(kFirst);
  fixture.SetMachineState(kFirst, MachineState::kDown);
  fixture.loop.RunFor(Milliseconds(100));
  fixture.SetMachineState(kFirst, MachineState::kUp);
  fixture.workers.Boot(kFirst);
  fixture.loop.RunFor(2 * PoolLeaderFixture::kSettled);
  REQUIRE(fixture.workers.WorkersOf(task) == std::vector<WorkerName>{kFirst});
  fixture.workers.Boot(kSecond);

  std::size_t most_runs = 0;
  for (Milliseconds elapsed{0}; elapsed < Milliseconds(1500);
       elapsed += Milliseconds(50)) {
    fixture.loop.RunFor(Milliseconds(50));
    most_runs = std::max(most_runs, fixture.workers.WorkersOf(task).size());
  }
  CHECK(most_runs == 1);
}

}  // namespace
}  // namespace daisyroad

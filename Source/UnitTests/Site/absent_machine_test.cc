#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

#include "Core/Site/persisted_workers.h"
#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Site/pool_leader_fixture.h"

namespace daisyroad {
namespace {

const WorkerName kFirst("w1");
const WorkerName kSecond("w2");

// Cuts the first worker off and leaves its machine out of one list.
void CutDuringIncompleteList(PoolLeaderFixture* fixture) {
  const std::vector<Machine> complete = fixture->machines.machines;
  std::erase_if(fixture->machines.machines, [](const Machine& machine) {
    return machine.worker == kFirst;
  });
  fixture->workers.SetReachable(kFirst, false);
  const int lists = fixture->machines.lists;
  for (int i = 0; i < 200 && fixture->machines.lists == lists; ++i) {
    fixture->loop.RunFor(Milliseconds(10));
  }
  fixture->machines.machines = complete;
  fixture->loop.RunFor(Milliseconds(20));
}

// Guards against a second run of a task whose worker two lists left out, with a
// report between them.
TEST_CASE("Lists without a machine count only until its worker reports") {
  PoolLeaderFixture fixture;
  fixture.Lead(fixture.FirstTerm());
  fixture.workers.Crash(kSecond);
  const AcceptedJob job = JobBuilder("j").Service(1, 1).Build();
  const TaskRef task{job.id, 0, 0, 0};
  fixture.Store(job);
  fixture.loop.RunFor(PoolLeaderFixture::kSettled);
  REQUIRE(fixture.workers.WorkersOf(task) == std::vector<WorkerName>{kFirst});
  fixture.workers.Boot(kSecond);
  fixture.loop.RunFor(4 * PoolLeaderFixture::kSettled);

  std::map<WorkerName, WorkerListing> listing = fixture.listing;
  listing.erase(kFirst);
  fixture.leader->SetListing(listing);
  CutDuringIncompleteList(&fixture);
  fixture.workers.SetReachable(kFirst, true);
  fixture.loop.RunFor(3 * PoolLeaderFixture::kSettled);
  CutDuringIncompleteList(&fixture);
  fixture.loop.RunFor(PoolLeaderFixture::kSettled);
  CHECK(fixture.workers.WorkersOf(task) == std::vector<WorkerName>{kFirst});
}

// Guards against a second run of a task whose worker lists left out before the
// list of workers was read.
TEST_CASE("A machine is not absent while the list of workers is unknown") {
  PoolLeaderFixture fixture;
  const AcceptedJob job = JobBuilder("j").Service(1, 1).Build();
  const TaskRef task{job.id, 0, 0, 0};
  fixture.Store(job);
  std::vector<PersistedWorker> used;
  for (const std::pair<const WorkerName, WorkerListing>& worker :
       fixture.listing) {
    used.push_back(PersistedWorker{worker.second, MachineName()});
  }
  fixture.store.Put(WorkersKey(fixture.pool), SerializePersistedWorkers(used));
  fixture.workers.SetReachable(kFirst, false);
  std::erase_if(fixture.machines.machines, [](const Machine& machine) {
    return machine.worker == kFirst;
  });

  const std::map<WorkerName, WorkerListing> listing =
      std::exchange(fixture.listing, {});
  Term term = fixture.FirstTerm();
  term.number = 2;
  fixture.Lead(term);
  fixture.loop.RunFor(Milliseconds(1500));
  fixture.leader->SetListing(listing);
  fixture.loop.RunFor(PoolLeaderFixture::kSettled);
  CHECK(fixture.workers.WorkersOf(task).empty());
}

}  // namespace
}  // namespace daisyroad

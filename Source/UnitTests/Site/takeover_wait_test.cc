#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "Core/Site/persisted_workers.h"
#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Site/pool_leader_fixture.h"

namespace daisyroad {
namespace {

const WorkerName kUnreachable("w1");
const WorkerName kReachable("w2");
constexpr Milliseconds kLease{1000};
// Several renewals fit into one lease.
constexpr Milliseconds kReportWait{200};

// Guards against a second run of a task that runs on a worker whose lease the
// previous scheduler renewed until it ended.
TEST_CASE("Unknown runs are waited for from the end of the predecessor on") {
  PoolLeaderFixture fixture;
  fixture.settings.longest_lease = kLease;
  fixture.settings.report_wait = kReportWait;
  fixture.workers.Crash(kUnreachable);
  const AcceptedJob job = JobBuilder("j").Service(1, 1).Build();
  const TaskRef task{job.id, 0, 0, 0};
  fixture.Store(job);
  std::vector<PersistedWorker> used;
  for (const std::pair<const WorkerName, WorkerListing>& worker :
       fixture.listing) {
    used.push_back(PersistedWorker{worker.second, MachineName()});
  }
  fixture.store.Put(WorkersKey(fixture.pool), SerializePersistedWorkers(used));

  Term term = fixture.FirstTerm();
  term.number = 2;
  term.is_predecessor_gone = false;
  fixture.Lead(term);
  fixture.loop.RunFor(2 * kLease);
  REQUIRE(fixture.workers.WorkersOf(task).empty());

  fixture.leader->OnPredecessorGone();
  fixture.loop.RunFor(kLease);
  CHECK(fixture.workers.WorkersOf(task).empty());
  fixture.loop.RunFor(kLease);
  CHECK(fixture.workers.WorkersOf(task) == std::vector<WorkerName>{kReachable});
}

// Guards against a wait for a worker that ended before a list of machines
// showed where it was.
TEST_CASE("A worker that no machine reports is not waited for") {
  PoolLeaderFixture fixture;
  const WorkerName next("w3");
  const bool is_next_known = GENERATE(true, false);
  fixture.workers.Crash(kUnreachable);
  for (Machine& machine : fixture.machines.machines) {
    if (machine.worker == kUnreachable) {
      machine.worker = is_next_known ? next : WorkerName();
    }
  }
  const AcceptedJob job = JobBuilder("j").Service(1, 1).Build();
  fixture.Store(job);
  std::vector<PersistedWorker> used;
  for (const std::pair<const WorkerName, WorkerListing>& worker :
       fixture.listing) {
    used.push_back(PersistedWorker{worker.second, MachineName()});
  }
  fixture.store.Put(WorkersKey(fixture.pool), SerializePersistedWorkers(used));
  fixture.listing.erase(kUnreachable);

  Term term = fixture.FirstTerm();
  term.number = 2;
  term.is_predecessor_gone = false;
  fixture.Lead(term);
  fixture.loop.RunFor(Milliseconds(2000));
  CHECK(fixture.workers.WorkersOf(TaskRef{job.id, 0, 0, 0}).size() ==
        (is_next_known ? 1 : 0));
}

// Guards against a second run of a task on a worker that is listed only after
// the record of workers could not be read.
TEST_CASE("An unreadable record has each worker that is listed waited for") {
  PoolLeaderFixture fixture;
  fixture.workers.SetReachable(kUnreachable, false);
  const AcceptedJob job = JobBuilder("j").Service(1, 1).Build();
  fixture.Store(job);
  fixture.store.Put(WorkersKey(fixture.pool), "unreadable");
  const std::map<WorkerName, WorkerListing> listing =
      std::exchange(fixture.listing, {});

  Term term = fixture.FirstTerm();
  term.number = 2;
  term.is_predecessor_gone = false;
  fixture.Lead(term);
  fixture.leader->SetListing(listing);
  fixture.loop.RunFor(Milliseconds(2000));
  CHECK(fixture.workers.WorkersOf(TaskRef{job.id, 0, 0, 0}).empty());
}

// Guards against a second run of a task whose worker two lists of machines left
// out before the list of workers, which has it, was read.
TEST_CASE("A worker has not ended while the list of workers is not read") {
  PoolLeaderFixture fixture;
  fixture.workers.SetReachable(kUnreachable, false);
  const std::vector<Machine> complete = fixture.machines.machines;
  std::erase_if(fixture.machines.machines, [](const Machine& machine) {
    return machine.worker == kUnreachable;
  });
  const AcceptedJob job = JobBuilder("j").Service(1, 1).Build();
  fixture.Store(job);
  std::vector<PersistedWorker> used;
  for (const Machine& machine : complete) {
    used.push_back(
        PersistedWorker{fixture.listing[machine.worker], machine.name});
  }
  fixture.store.Put(WorkersKey(fixture.pool), SerializePersistedWorkers(used));
  const std::map<WorkerName, WorkerListing> listing =
      std::exchange(fixture.listing, {});

  Term term = fixture.FirstTerm();
  term.number = 2;
  term.is_predecessor_gone = false;
  fixture.Lead(term);
  fixture.loop.RunFor(Milliseconds(1500));
  fixture.machines.machines = complete;
  fixture.leader->SetListing(listing);
  fixture.loop.RunFor(Milliseconds(1000));
  CHECK(fixture.workers.WorkersOf(TaskRef{job.id, 0, 0, 0}).empty());
}

// Guards against a start on a restarted worker, which knows no fence of the
// next scheduler, by a process that was paused.
TEST_CASE("A restart that a listing shows after a pause may be one unled") {
  PoolLeaderFixture fixture;
  fixture.Lead(fixture.FirstTerm());
  fixture.workers.Crash(kUnreachable);
  fixture.workers.Crash(kReachable);
  const AcceptedJob job = JobBuilder("j").Service(1, 1).Build();
  fixture.Store(job);
  fixture.loop.RunFor(PoolLeaderFixture::kSettled);

  fixture.is_lease_valid = false;
  fixture.workers.Boot(kReachable);
  fixture.listing[kReachable].incarnation =
      fixture.workers.IncarnationOf(kReachable);
  fixture.leader->SetListing(fixture.listing);
  fixture.loop.RunFor(Milliseconds(1500));
  CHECK(fixture.workers.WorkersOf(TaskRef{job.id, 0, 0, 0}).empty());
  fixture.is_lease_valid = true;
  fixture.loop.RunFor(Milliseconds(1500));
  CHECK(fixture.workers.WorkersOf(TaskRef{job.id, 0, 0, 0}).size() == 1);
}

// Guards against leases that a process renews when it goes on after a pause, in
// which its term has ended.
TEST_CASE("A term that has ended issues no orders") {
  PoolLeaderFixture fixture;
  fixture.settings.longest_lease = kLease;
  fixture.settings.report_wait = kReportWait;
  fixture.Lead(fixture.FirstTerm());
  const AcceptedJob job = JobBuilder("j").Service(1, 1).Build();
  const TaskRef task{job.id, 0, 0, 0};
  fixture.Store(job);
  fixture.loop.RunFor(PoolLeaderFixture::kSettled);
  REQUIRE(fixture.workers.WorkersOf(task).size() == 1);
  fixture.may_issue_orders = false;
  fixture.loop.RunFor(3 * kLease);
  CHECK(fixture.workers.WorkersOf(task).empty());
}

}  // namespace
}  // namespace daisyroad

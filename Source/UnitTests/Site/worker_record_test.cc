#include <catch2/catch.hpp>
#include <utility>

#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Site/pool_leader_fixture.h"

namespace daisyroad {
namespace {

// Longer than a commit without an answer.
constexpr Milliseconds kCommitOver{1000};

// Guards against workers that get no runs after the answer to a write of the
// record of workers was lost.
TEST_CASE("Workers that are listed again after a lost answer are used") {
  PoolLeaderFixture fixture;
  fixture.Lead(fixture.FirstTerm());
  fixture.store.loses_answers = true;
  fixture.leader->SetListing({});
  fixture.loop.RunFor(PoolLeaderFixture::kSettled);
  fixture.store.loses_answers = false;
  fixture.leader->SetListing(fixture.listing);
  fixture.loop.RunFor(kCommitOver);

  const AcceptedJob job = JobBuilder("j").Service(1, 1).Build();
  fixture.Store(job);
  fixture.loop.RunFor(PoolLeaderFixture::kSettled);
  CHECK(fixture.workers.WorkersOf(TaskRef{job.id, 0, 0, 0}).size() == 1);
}

// Guards against the same after a write that was not carried out.
TEST_CASE("Workers that are listed again after a failed write are used") {
  PoolLeaderFixture fixture;
  fixture.Lead(fixture.FirstTerm());
  fixture.store.is_silent = true;
  fixture.leader->SetListing({});
  fixture.loop.RunFor(PoolLeaderFixture::kSettled);
  fixture.leader->SetListing(fixture.listing);
  fixture.loop.RunFor(kCommitOver);
  fixture.store.is_silent = false;
  fixture.loop.RunFor(kCommitOver);

  const AcceptedJob job = JobBuilder("j").Service(1, 1).Build();
  fixture.Store(job);
  fixture.loop.RunFor(kCommitOver);
  CHECK(fixture.workers.WorkersOf(TaskRef{job.id, 0, 0, 0}).size() == 1);
}

// Guards against the same for workers that are listed again just after an
// answer, before the next pass.
TEST_CASE("Workers that are listed again after a late answer are used") {
  constexpr Milliseconds kAnswerDelay{300};
  PoolLeaderFixture fixture;
  fixture.Lead(fixture.FirstTerm());
  fixture.leader->SetListing({});
  fixture.loop.RunFor(PoolLeaderFixture::kSettled);
  fixture.store.response_delay = kAnswerDelay;
  fixture.leader->SetListing(fixture.listing);
  // A pass follows 5 ms after the list and after the answer.
  fixture.loop.After(Milliseconds(100),
                     [&fixture]() { fixture.leader->SetListing({}); });
  fixture.loop.After(kAnswerDelay + Milliseconds(8), [&fixture]() {
    fixture.leader->SetListing(fixture.listing);
  });
  fixture.loop.RunFor(kCommitOver);
  fixture.store.response_delay = Milliseconds(0);

  const AcceptedJob job = JobBuilder("j").Service(1, 1).Build();
  fixture.Store(job);
  fixture.loop.RunFor(kCommitOver);
  CHECK(fixture.workers.WorkersOf(TaskRef{job.id, 0, 0, 0}).size() == 1);
}

// Guards against the same without a fault of the store: the record was not
// written while the worker was unlisted.
TEST_CASE("Workers that are listed again after their last run are used") {
  PoolLeaderFixture fixture;
  fixture.settings.report_wait = Milliseconds(20);
  fixture.Lead(fixture.FirstTerm());
  const AcceptedJob first = JobBuilder("first").Service(2, 1).Build();
  fixture.Store(first);
  fixture.loop.RunFor(PoolLeaderFixture::kSettled);
  REQUIRE(fixture.workers.WorkersOf(TaskRef{first.id, 0, 0, 0}).size() == 1);
  fixture.leader->SetListing({});
  fixture.loop.RunFor(Milliseconds(50));
  fixture.store.Put(CancelKey(fixture.pool, first.id), "");
  fixture.loop.RunFor(PoolLeaderFixture::kSettled);
  fixture.leader->SetListing(fixture.listing);

  const AcceptedJob second = JobBuilder("second").Service(1, 1).Build();
  fixture.Store(second);
  fixture.loop.RunFor(PoolLeaderFixture::kSettled);
  CHECK(fixture.workers.WorkersOf(TaskRef{second.id, 0, 0, 0}).size() == 1);
}

// Guards against a second run of a task of an earlier scheduler, whose record
// of workers is in no known form.
TEST_CASE("Runs of an earlier scheduler are waited for without its record") {
  PoolLeaderFixture fixture;
  const AcceptedJob job = JobBuilder("j").Service(1, 1).Build();
  fixture.Store(job);
  fixture.store.Put(WorkersKey(fixture.pool), "[]");
  const std::map<WorkerName, WorkerListing> listing =
      std::exchange(fixture.listing, {});
  Term term = fixture.FirstTerm();
  term.number = 2;
  fixture.Lead(term);
  fixture.leader->SetListing(listing);
  fixture.loop.RunFor(2 * PoolLeaderFixture::kSettled);
  CHECK(fixture.workers.WorkersOf(TaskRef{job.id, 0, 0, 0}).empty());
}

// Guards against writes in every pass while the store refuses them.
TEST_CASE("A record that the store refuses is written again after a pause") {
  PoolLeaderFixture fixture;
  fixture.Lead(fixture.FirstTerm());
  fixture.store.Put(kLeaderPrefix + fixture.FirstTerm().duty, "another");
  fixture.leader->SetListing({});
  const int commits = fixture.store.commits;
  for (int i = 0; i < 100; ++i) {
    fixture.leader->SetOperatorState(OperatorState());
    fixture.loop.RunFor(Milliseconds(10));
  }
  CHECK(fixture.store.commits - commits <= 10);
}

}  // namespace
}  // namespace daisyroad

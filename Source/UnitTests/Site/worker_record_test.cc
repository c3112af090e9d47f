#include <catch2/catch.hpp>

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

}  // namespace
}  // namespace daisyroad

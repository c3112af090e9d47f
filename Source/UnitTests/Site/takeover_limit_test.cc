#include <catch2/catch.hpp>
#include <memory>

#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Site/pool_leader_fixture.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kLease{3000};
// Several renewals fit into one lease.
constexpr Milliseconds kReportWait{200};
constexpr std::int64_t kTaskCpu = 1000;
constexpr int kTasks = 4;
const WorkerName kCutOff("w1");

// A pool whose scheduler was replaced while the worker with all runs of a team
// is cut off.
class CutOffPool {
 public:
  explicit CutOffPool(std::int64_t limit)
      : first(JobBuilder("first").Step(kTasks, kTaskCpu).Build()),
        second(JobBuilder("second").Step(kTasks, kTaskCpu).Build()) {
    this->fixture.settings.longest_lease = kLease;
    this->fixture.settings.report_wait = kReportWait;
    TeamConfig team;
    team.limit.cpu_millicores = limit;
    this->teams[this->first.team] = team;
    this->fixture.allotments.SetTeams(this->teams, {this->fixture.pool});
    const std::map<WorkerName, WorkerListing> all = this->fixture.listing;
    std::erase_if(this->fixture.listing,
                  [](const std::pair<const WorkerName, WorkerListing>& entry) {
                    return entry.first != kCutOff;
                  });
    this->fixture.Lead(this->fixture.FirstTerm());
    this->fixture.Store(this->first);
    this->fixture.loop.RunFor(2 * PoolLeaderFixture::kSettled);
    this->fixture.leader->SetListing(all);
    this->fixture.loop.RunFor(PoolLeaderFixture::kSettled);
    this->fixture.listing = all;
  }

  // `is_elsewhere`: another instance takes over, which has not read any
  // allotments yet.
  void TakeOver(bool is_elsewhere) {
    PoolLeaderContext context = this->fixture.Context();
    if (is_elsewhere) {
      this->elsewhere =
          std::make_unique<AllotmentManager>(&this->fixture.store);
      this->elsewhere->SetTeams(this->teams, {this->fixture.pool});
      context.allotments = this->elsewhere.get();
    }
    Term term = this->fixture.FirstTerm();
    term.number = ++this->terms;
    this->fixture.leader.reset();
    this->fixture.leader =
        std::make_unique<PoolLeader>(context, this->fixture.pool, term);
    this->fixture.leader->SetListing(this->fixture.listing);
    this->fixture.leader->Start();
    this->fixture.loop.RunFor(PoolLeaderFixture::kSettled);
  }
  int CountRuns(const AcceptedJob& job) {
    int runs = 0;
    for (int i = 0; i < kTasks; ++i) {
      runs += static_cast<int>(
          this->fixture.workers.WorkersOf(TaskRef{job.id, 0, 0, i}).size());
    }
    return runs;
  }

  PoolLeaderFixture fixture;
  const AcceptedJob first;
  const AcceptedJob second;

 private:
  std::map<TeamName, TeamConfig> teams;
  std::unique_ptr<AllotmentManager> elsewhere;
  int terms = 1;
};

// Guards against QUOTA: a new scheduler left out runs that it could not see.
TEST_CASE("Runs on workers that are cut off count for the limit") {
  // Two tasks of the second job fit beside the first one, or none.
  const int free = GENERATE(0, 2);
  const int takeovers = free == 0 ? 1 : 2;
  const bool is_elsewhere = free == 0;
  CutOffPool pool((kTasks + free) * kTaskCpu);
  REQUIRE(pool.CountRuns(pool.first) == kTasks);
  pool.fixture.workers.SetReachable(kCutOff, false);
  for (int i = 0; i < takeovers; ++i) {
    pool.TakeOver(is_elsewhere);
  }
  pool.fixture.Store(pool.second);
  pool.fixture.loop.RunFor(2 * PoolLeaderFixture::kSettled);
  REQUIRE(pool.CountRuns(pool.first) == kTasks);
  CHECK(pool.CountRuns(pool.second) == free);
  SECTION("until it reports") {
    pool.fixture.workers.SetReachable(kCutOff, true);
    pool.fixture.loop.RunFor(Milliseconds(1000));
    CHECK(pool.CountRuns(pool.first) == kTasks);
    CHECK(pool.CountRuns(pool.second) == free);
  }
  SECTION("or its leases are over") {
    pool.fixture.loop.RunFor(2 * kLease);
    CHECK(pool.CountRuns(pool.first) + pool.CountRuns(pool.second) == kTasks);
  }
}

}  // namespace
}  // namespace daisyroad

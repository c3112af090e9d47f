#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Jobs/team_demand.h"
#include "Core/Site/allotment_manager.h"
#include "UnitTests/Site/fake_revision_store.h"

namespace daisyroad {
namespace {

const TeamName kTeam("team");
constexpr std::int64_t kTaskCpu = 1000;
constexpr std::int64_t kLimit = 32000;
// Long enough for all pools to read the record and to change their allotments.
constexpr Milliseconds kSettled{1000};
constexpr Milliseconds kPass{20};
constexpr int kSeeds = 4;

// Pools of one team, each scheduled by an instance of its own.
class LimitedPools {
 public:
  struct Pool {
    std::unique_ptr<AllotmentManager> instance;
    std::int64_t running = 0;  // millicores
    std::int64_t waiting = 0;
    // Runs of an earlier scheduler that the present one has not found yet.
    std::int64_t unknown = 0;
    std::int64_t limit = 0;  // as the instance knows it; 0: none
    bool has_scheduler = true;
  };

  LimitedPools() : store(&loop) {}

  Pool* Add(const std::string& name) {
    this->names.insert(PoolName(name));
    Pool* const pool = &this->pools[PoolName(name)];
    this->TakeOver(PoolName(name));
    for (std::pair<const PoolName, Pool>& other : this->pools) {
      this->TellLimit(&other.second, other.second.limit);
    }
    return pool;
  }
  // Another instance schedules the pool.
  void TakeOver(const PoolName& name) {
    Pool& pool = this->pools.at(name);
    pool.instance = std::make_unique<AllotmentManager>(&this->store);
    this->TellLimit(&pool, pool.limit);
    pool.instance->BeginTerm(name);
  }
  void TellLimit(Pool* pool, std::int64_t limit) {
    TeamConfig team;
    team.limit.cpu_millicores = limit == 0 ? kUnlimited : limit;
    pool->limit = limit;
    pool->instance->SetTeams({{kTeam, team}}, this->names);
  }
  void SetLimit(std::int64_t limit) {
    for (std::pair<const PoolName, Pool>& pool : this->pools) {
      this->TellLimit(&pool.second, limit);
    }
  }

  std::int64_t Running() const {
    std::int64_t sum = 0;
    for (const std::pair<const PoolName, Pool>& pool : this->pools) {
      sum += pool.second.running + pool.second.unknown;
    }
    return sum;
  }

  // Each pool starts what it may, in the order of its name.
  void RunFor(Milliseconds duration) {
    const MonotonicTime end = Now() + duration;
    while (Now() < end) {
      for (std::pair<const PoolName, Pool>& pool : this->pools) {
        if (pool.second.has_scheduler) {
          this->RunPass(pool.first, &pool.second);
        }
      }
      this->loop.RunFor(kPass);
    }
  }

  // Most that ran when a task was started while all instances knew a limit, as
  // a part of the highest one that they knew.
  double MostBeyondLimit() const { return this->most_beyond; }

  EventLoop loop;
  FakeRevisionStore store;
  std::map<PoolName, Pool> pools;

 private:
  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }

  void RunPass(const PoolName& name, Pool* pool) {
    const std::map<TeamName, Resources> allotments =
        pool->instance->AllotmentsOf(name);
    TeamDemand demand;
    const Resources request{kTaskCpu, 0, 0};
    while (pool->waiting > 0) {
      if (allotments.contains(kTeam) &&
          !FitsBeside(request, Resources{pool->running, 0, 0},
                      allotments.at(kTeam))) {
        demand.total = Resources{pool->waiting, 0, 0};
        demand.requests.Add(request);
        break;
      }
      pool->waiting -= kTaskCpu;
      pool->running += kTaskCpu;
      this->CheckStart();
    }
    pool->instance->Report(name, {{kTeam, Resources{pool->running, 0, 0}}},
                           {{kTeam, demand}}, pool->unknown == 0, Now());
  }

  void CheckStart() {
    std::int64_t highest = 0;
    for (const std::pair<const PoolName, Pool>& pool : this->pools) {
      if (pool.second.limit == 0) {
        return;
      }
      highest = std::max(highest, pool.second.limit);
    }
    this->most_beyond =
        std::max(this->most_beyond, static_cast<double>(this->Running()) /
                                        static_cast<double>(highest));
  }

  std::set<PoolName> names;
  double most_beyond = 0.0;
};

// Guards against QUOTA: a new limit went to the pool that wrote first, whatever
// the others used (review/14).
TEST_CASE("A new limit counts what all pools use") {
  LimitedPools team;
  // The pool that reports first has the demand.
  LimitedPools::Pool* const first = team.Add("a");
  LimitedPools::Pool* const second = team.Add("b");
  team.RunFor(kSettled);
  second->waiting = 20000;
  team.RunFor(kPass);
  REQUIRE(second->running == 20000);
  team.SetLimit(kLimit);
  first->waiting = 40000;
  team.RunFor(kSettled);
  CHECK(first->running == 12000);
  CHECK(second->running == 20000);
}

// Guards against trusting an allotment from before the limit was taken away.
TEST_CASE("A limit that returns counts what was started without it") {
  LimitedPools team;
  LimitedPools::Pool* const first = team.Add("a");
  LimitedPools::Pool* const second = team.Add("b");
  team.SetLimit(kLimit);
  second->waiting = 4000;
  team.RunFor(kSettled);
  REQUIRE(second->running == 4000);
  team.SetLimit(0);
  team.RunFor(kSettled);
  second->waiting = 20000;
  team.RunFor(kPass);
  REQUIRE(second->running == 24000);
  first->waiting = 40000;
  SECTION("seen by all at once") {
    team.SetLimit(kLimit);
    first->waiting = 40000;
    team.RunFor(kSettled);
    CHECK(team.MostBeyondLimit() <= 1.0);
  }
  SECTION("seen by the other pool late") {
    first->waiting = 0;
    team.TellLimit(first, kLimit);
    team.RunFor(kSettled);
    first->waiting = 40000;
    team.RunFor(kSettled);
    CHECK(first->running == 0);
    team.TellLimit(second, kLimit);
    team.RunFor(kSettled);
    CHECK(first->running == 8000);
  }
}

// Guards against QUOTA by pools that cannot say what they use yet.
TEST_CASE("A new limit waits for each pool that may have runs") {
  LimitedPools team;
  LimitedPools::Pool* const first = team.Add("a");
  LimitedPools::Pool* const second = team.Add("b");
  team.RunFor(kSettled);
  second->waiting = 20000;
  team.RunFor(kPass);
  SECTION("without a scheduler") {
    second->has_scheduler = false;
    team.SetLimit(kLimit);
    first->waiting = 40000;
    team.RunFor(kSettled);
    CHECK(first->running == 0);
    second->has_scheduler = true;
  }
  SECTION("whose new scheduler has not found all runs") {
    second->unknown = 8000;
    second->running = 12000;
    team.TakeOver(PoolName("b"));
    team.SetLimit(kLimit);
    first->waiting = 40000;
    team.RunFor(kSettled);
    CHECK(first->running == 0);
    second->running += second->unknown;
    second->unknown = 0;
  }
  team.RunFor(kSettled);
  CHECK(first->running == 12000);
}

// Guards against a pool without runs or demand that keeps the others waiting.
TEST_CASE("Idle and new pools do not hold up a limit") {
  LimitedPools team;
  LimitedPools::Pool* const first = team.Add("a");
  team.Add("idle");
  team.SetLimit(kLimit);
  first->waiting = 20000;
  team.RunFor(kSettled);
  CHECK(first->running == 20000);
  team.TellLimit(team.Add("new"), kLimit);
  first->waiting = 10000;
  team.RunFor(kSettled);
  CHECK(first->running == 30000);
}

// Guards against exceeding the limit in any order of changes, takeovers and
// lost answers.
TEST_CASE("Pools keep a limit that comes, goes and changes") {
  for (int seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    Random random(static_cast<std::uint64_t>(seed));
    LimitedPools team;
    const std::vector<PoolName> names{PoolName("a"), PoolName("b"),
                                      PoolName("c")};
    for (const PoolName& name : names) {
      team.Add(name.str());
    }
    for (int step = 0; step < 25; ++step) {
      LimitedPools::Pool& pool = team.pools.at(names[random.Below(3)]);
      const std::int64_t limit =
          random.Chance(0.4)
              ? 0
              : kLimit + kTaskCpu * static_cast<std::int64_t>(random.Below(16));
      switch (random.Below(5)) {
        case 0:
          team.SetLimit(limit);
          break;
        case 1:
          team.TellLimit(&pool, limit);
          break;
        case 2:
          team.TakeOver(names[random.Below(3)]);
          break;
        case 3:
          team.store.loses_answers = random.Chance(0.4);
          break;
        default:
          pool.running = random.Chance(0.5) ? pool.running / 2000 * 1000 : 0;
          pool.waiting = kTaskCpu * static_cast<std::int64_t>(random.Below(40));
      }
      team.RunFor(Milliseconds(static_cast<int>(20 + random.Below(150))));
    }
    // The limit of a pool that knows an older one may be higher.
    CHECK(team.MostBeyondLimit() <= 1.0);
    team.store.loses_answers = false;
    for (const PoolName& name : names) {
      team.pools.at(name).running = 0;
      team.pools.at(name).waiting = 6000;
    }
    team.SetLimit(kLimit);
    team.RunFor(2 * kSettled);
    CHECK(team.Running() == 18000);
  }
}

}  // namespace
}  // namespace daisyroad

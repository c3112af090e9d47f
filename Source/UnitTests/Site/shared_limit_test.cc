#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Jobs/team_demand.h"
#include "Core/Site/team_allotments.h"

namespace daisyroad {
namespace {

const TeamName kTeam("team");
constexpr int kRuns = 300;
constexpr int kMaxRounds = 2000;

// Pools that run tasks of one team within its limit. In each round, each pool
// starts what its allotment allows and adjusts its allotment; some runs end.
class SharedLimit {
 public:
  struct Pool {
    PoolName name;
    std::vector<Resources> waiting;
    std::vector<Resources> running;
    bool may_end = true;  // false for tasks that last
  };

  explicit SharedLimit(Resources limit) : limit(limit) {}

  Pool* AddPool(const std::string& name) {
    Pool pool;
    pool.name = PoolName(name);
    return &this->pools.emplace(name, pool).first->second;
  }
  void SetLimit(const Resources& limit) { this->limit = limit; }

  Resources Used() const {
    Resources used;
    for (const std::pair<const std::string, Pool>& pool : this->pools) {
      used += UsedBy(pool.second);
    }
    return used;
  }
  bool IsIdle() const {
    return std::all_of(this->pools.begin(), this->pools.end(),
                       [](const std::pair<const std::string, Pool>& pool) {
                         return pool.second.waiting.empty() &&
                                pool.second.running.empty();
                       });
  }

  void PlayRound(Random* random) {
    for (std::pair<const std::string, Pool>& pool : this->pools) {
      this->EndRuns(&pool.second, random);
      this->StartTasks(&pool.second);
      this->Adjust(pool.second);
    }
  }

 private:
  static Resources UsedBy(const Pool& pool) {
    Resources used;
    for (const Resources& request : pool.running) {
      used += request;
    }
    return used;
  }

  static void EndRuns(Pool* pool, Random* random) {
    std::erase_if(pool->running, [pool, random](const Resources&) {
      return pool->may_end && random->Chance(0.3);
    });
  }

  void StartTasks(Pool* pool) {
    const Resources usable = this->table.Usable(kTeam, pool->name, this->limit);
    std::erase_if(pool->waiting, [&](const Resources& request) {
      if (!FitsBeside(request, UsedBy(*pool), usable)) {
        return false;
      }
      CHECK(FitsBeside(request, this->Used(), this->limit));
      pool->running.push_back(request);
      return true;
    });
  }

  void Adjust(const Pool& pool) {
    TeamDemand demand;
    for (const Resources& request : pool.waiting) {
      demand.total += request;
      demand.requests.Add(request);
    }
    this->table.Adjust(kTeam, pool.name, this->limit, UsedBy(pool), demand,
                       true);
    const Result<AllotmentTable> stored =
        AllotmentTable::Parse(this->table.Serialize());
    REQUIRE(stored.ok());
    this->table = stored.value();
  }

  Resources limit;
  std::map<std::string, Pool> pools;
  AllotmentTable table;
};

// Guards against jobs that stop for good after the limit of their team was
// lowered (review/4).
TEST_CASE("Pools go on after the limit was lowered") {
  Random random(1);
  SharedLimit team(Resources{162000, 1000000, 0});
  const std::vector<SharedLimit::Pool*> pools{
      team.AddPool("a"), team.AddPool("b"), team.AddPool("c")};
  const Resources request{6000, 100, 0};
  for (SharedLimit::Pool* const pool : pools) {
    pool->waiting.assign(6, request);
    pool->may_end = false;
  }
  team.PlayRound(&random);
  team.PlayRound(&random);
  for (SharedLimit::Pool* const pool : pools) {
    REQUIRE(pool->running.size() == 6);
    pool->waiting.assign(20, request);
    pool->may_end = true;
  }
  team.SetLimit(Resources{13000, 1000000, 0});
  int rounds = 0;
  while (!team.IsIdle() && rounds < kMaxRounds) {
    team.PlayRound(&random);
    ++rounds;
  }
  CHECK(team.IsIdle());
}

// Guards against a pool that keeps more than its lasting task needs while the
// task of another pool fits in the rest of the limit.
TEST_CASE("A pool gives what it cannot use to a pool that waits") {
  Random random(1);
  SharedLimit team(Resources{13000, 1000, 0});
  SharedLimit::Pool* const lasting = team.AddPool("a");
  lasting->may_end = false;
  lasting->waiting.push_back(Resources{6000, 100, 0});
  team.PlayRound(&random);
  team.PlayRound(&random);
  REQUIRE(lasting->running.size() == 1);
  SharedLimit::Pool* const other = team.AddPool("b");
  other->waiting.push_back(Resources{6000, 100, 0});
  for (int round = 0; round < 5; ++round) {
    team.PlayRound(&random);
  }
  CHECK(other->waiting.empty());
}

// Guards against pools that each hold one of two resources that all need.
TEST_CASE("Pools do not block each other with parts of what they need") {
  for (int run = 0; run < kRuns; ++run) {
    CAPTURE(run);
    Random random(static_cast<std::uint64_t>(run));
    const auto below = [&random](std::int64_t bound) {
      return static_cast<std::int64_t>(
          random.Below(static_cast<std::uint64_t>(bound)));
    };
    SharedLimit team(Resources{20000 + below(60000), 2000 + below(6000), 0});
    const int pools = 2 + static_cast<int>(random.Below(4));
    for (int i = 0; i < pools; ++i) {
      SharedLimit::Pool* const pool = team.AddPool(std::string(1, 'a' + i));
      const std::size_t tasks = random.Below(20);
      while (pool->waiting.size() < tasks) {
        pool->waiting.push_back(
            Resources{1 + below(10000), 1 + below(1000), 0});
      }
    }
    int rounds = 0;
    for (; !team.IsIdle() && rounds < kMaxRounds; ++rounds) {
      team.PlayRound(&random);
      if (rounds == 10) {
        team.SetLimit(Resources{10000 + below(10000), 1000 + below(1000), 0});
      }
    }
    CHECK(team.IsIdle());
  }
}

}  // namespace
}  // namespace daisyroad

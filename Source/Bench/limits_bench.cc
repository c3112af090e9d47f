// Escrow of limits under bursts (design 1.3): each queue in turn asks for five
// times its mean for some seconds and for a twentieth in between. Compared are
// a static split of the limit and one central counter, which needs two store
// writes for each task.

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Bench/bench_registry.h"
#include "Core/Common/random.h"
#include "Core/Limits/allotment_holder.h"

namespace daisyroad {
namespace {

constexpr std::size_t kHolders = 9;
constexpr Duration kTick = Milliseconds(20);
constexpr Duration kWarmUp = std::chrono::seconds(5);
constexpr Duration kRunTime = std::chrono::seconds(45);
constexpr Duration kGossipInterval = Milliseconds(500);
constexpr std::size_t kGossipPeers = 2;
constexpr Duration kTaskTime = Milliseconds(500);
constexpr Duration kBurst = std::chrono::seconds(4);

// Demand of one queue in tasks that would run at once.
class BurstyDemand {
 public:
  BurstyDemand(double mean_demand, Random* random)
      : mean(mean_demand), next(random->DurationBelow(kBurst * 5)) {}

  std::int64_t At(Duration now, Random* random) {
    if (now >= this->next) {
      this->bursting = !this->bursting;
      // One fifth of the time in a burst keeps the mean.
      const Duration length = this->bursting ? kBurst : kBurst * 4;
      this->next = now + length / 2 + random->DurationBelow(length);
    }
    return static_cast<std::int64_t>(this->mean *
                                     (this->bursting ? 5.0 : 0.05));
  }

 private:
  double mean;
  Duration next;
  bool bursting = false;
};

struct Usage {
  // Sums over ticks. Lost is the room below the limit while tasks wait: a
  // central counter would have started them.
  double reachable = 0;
  double lost = 0;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t starts = 0;

  double Lost() const { return 100.0 * this->lost / this->reachable; }
};

// Running tasks end at random with the mean kTaskTime.
std::int64_t Ending(std::int64_t running, Random* random) {
  const double chance = static_cast<double>(kTick.count()) /
                        static_cast<double>(kTaskTime.count());
  std::int64_t ended = 0;
  for (std::int64_t i = 0; i < running; ++i) {
    ended += random->Chance(chance) ? 1 : 0;
  }
  return ended;
}

// All holders and the store of one team.
class TeamSimulation {
 public:
  enum class Rule { kEscrow, kStaticSplit, kCentral };

  TeamSimulation(Rule rule, std::int64_t limit, std::uint64_t seed)
      : rule(rule), limit(limit), random(seed), gossip_random(seed + 1) {
    AllotmentHolder::Options options;
    std::set<EntryName> members;
    for (std::size_t i = 0; i < kHolders; ++i) {
      const EntryName name("e" + std::to_string(i));
      members.insert(name);
      this->names.push_back(name);
      this->demands.emplace_back(static_cast<double>(limit) / kHolders,
                                 &this->random);
      this->holders.emplace_back(name, options, seed + i);
      this->running.push_back(0);
    }
    this->seen.assign(kHolders, std::vector<Report>(kHolders));
    for (AllotmentHolder& holder : this->holders) {
      holder.SetRoster(members, MonotonicTime(), MonotonicTime());
      holder.SetLimit(Team(), limit, 1);
    }
  }

  Usage Run() {
    for (Duration now = Duration::zero(); now < kRunTime; now += kTick) {
      if (now == kWarmUp) {
        this->usage = Usage();
      }
      this->Step(now);
    }
    return this->usage;
  }

 private:
  struct Report {
    PeerDemand demand;
    Duration at = Duration(-1);
  };

  static const TeamName& Team() {
    static const TeamName kTeam("team");
    return kTeam;
  }

  void Step(Duration now) {
    std::int64_t waiting = 0;
    std::int64_t used = 0;
    if (this->rule == Rule::kEscrow) {
      this->DeliverAnswers(now);
      this->Gossip(now);
    }
    for (std::size_t i = 0; i < kHolders; ++i) {
      const std::int64_t ended = Ending(this->running[i], &this->random);
      this->running[i] -= ended;
      const std::int64_t wanted = this->demands[i].At(now, &this->random);
      if (this->rule == Rule::kEscrow) {
        this->StepHolder(i, ended, wanted, now);
      } else {
        this->StepBaseline(i, wanted);
      }
      waiting += std::max<std::int64_t>(0, wanted - this->running[i]);
      used += this->running[i];
    }
    this->usage.reachable +=
        static_cast<double>(std::min(this->limit, used + waiting));
    this->usage.lost += static_cast<double>(
        std::clamp<std::int64_t>(this->limit - used, 0, waiting));
  }

  void StepBaseline(std::size_t i, std::int64_t wanted) {
    std::int64_t room =
        this->limit / static_cast<std::int64_t>(kHolders) - this->running[i];
    if (this->rule == Rule::kCentral) {
      room = this->limit;
      for (const std::int64_t count : this->running) {
        room -= count;
      }
    }
    const std::int64_t starts = std::clamp<std::int64_t>(
        wanted - this->running[i], 0, std::max<std::int64_t>(0, room));
    this->running[i] += starts;
    this->usage.starts += static_cast<std::uint64_t>(starts);
    if (this->rule == Rule::kCentral) {
      this->usage.writes += 2 * static_cast<std::uint64_t>(starts);
    }
  }

  void StepHolder(std::size_t i,
                  std::int64_t ended,
                  std::int64_t wanted,
                  Duration now) {
    AllotmentHolder& holder = this->holders[i];
    for (std::int64_t n = 0; n < ended; ++n) {
      holder.OnFinished(Team());
    }
    while (this->running[i] < wanted && holder.TryStart(Team())) {
      this->running[i] += 1;
      this->usage.starts += 1;
    }
    holder.SetWaiting(Team(),
                      std::max<std::int64_t>(0, wanted - this->running[i]));
    for (const LimitAction& action : holder.Tick(MonotonicTime(now))) {
      this->requests.emplace_back(i, action);
    }
  }

  // The store answers within one tick; a watch tells all holders of a write.
  void DeliverAnswers(Duration now) {
    std::vector<std::pair<std::size_t, LimitAction>> waiting;
    waiting.swap(this->requests);
    const std::uint64_t before = this->stored.revision;
    for (const std::pair<std::size_t, LimitAction>& request : waiting) {
      AllotmentHolder& holder = this->holders[request.first];
      const WriteLimit* write = std::get_if<WriteLimit>(&request.second);
      if (write == nullptr) {
        this->usage.reads += 1;
        holder.OnRecord(Team(), this->stored, MonotonicTime(now));
        continue;
      }
      this->usage.writes += 1;
      const bool wins = write->base == this->stored.revision;
      if (wins) {
        this->stored = LimitSnapshot{write->base + 1, write->record};
      }
      const std::vector<LimitAction> more = holder.OnWriteAnswer(
          Team(), write->serial,
          wins ? WriteOutcome::kWritten : WriteOutcome::kConflict,
          this->stored.revision, MonotonicTime(now));
      for (const LimitAction& action : more) {
        this->requests.emplace_back(request.first, action);
      }
    }
    if (this->stored.revision != before) {
      this->usage.reads += kHolders;
      for (AllotmentHolder& holder : this->holders) {
        holder.OnRecord(Team(), this->stored, MonotonicTime(now));
      }
    }
  }

  // Each holder exchanges all it knows with random peers (design 3.8).
  void Gossip(Duration now) {
    for (std::size_t i = 0; i < kHolders; ++i) {
      const TeamAllotment* own = this->holders[i].Find(Team());
      this->seen[i][i] = Report{own->Report(), now};
      const Duration phase = kGossipInterval * static_cast<int>(i) /
                             static_cast<int>(kHolders) / kTick * kTick;
      if ((now - phase) % kGossipInterval != Duration::zero()) {
        continue;
      }
      for (std::size_t n = 0; n < kGossipPeers; ++n) {
        const std::size_t peer =
            (i + 1 + this->gossip_random.Below(kHolders - 1)) % kHolders;
        this->Tell(i, peer, now);
        this->Tell(peer, i, now);
      }
    }
  }

  void Tell(std::size_t from, std::size_t to, Duration now) {
    for (std::size_t about = 0; about < kHolders; ++about) {
      const Report& report = this->seen[from][about];
      if (about != to && report.at > this->seen[to][about].at) {
        this->seen[to][about] = report;
        this->holders[to].OnPeerDemand(Team(), this->names[about],
                                       report.demand, MonotonicTime(now));
      }
    }
  }

  Rule rule;
  std::int64_t limit;
  Random random;
  Random gossip_random;
  std::vector<EntryName> names;
  std::vector<BurstyDemand> demands;
  std::vector<AllotmentHolder> holders;
  std::vector<std::int64_t> running;
  std::vector<std::vector<Report>> seen;
  std::vector<std::pair<std::size_t, LimitAction>> requests;
  LimitSnapshot stored;
  Usage usage;
};

Usage RunTeams(TeamSimulation::Rule rule,
               int teams,
               std::int64_t limit,
               std::uint64_t seed) {
  Usage sum;
  for (int team = 0; team < teams; ++team) {
    const Usage usage =
        TeamSimulation(rule, limit,
                       seed * 1000 + static_cast<std::uint64_t>(team) * 16)
            .Run();
    sum.reachable += usage.reachable;
    sum.lost += usage.lost;
    sum.writes += usage.writes;
    sum.reads += usage.reads;
    sum.starts += usage.starts;
  }
  return sum;
}

double PerSecond(std::uint64_t count) {
  return static_cast<double>(count) /
         std::chrono::duration<double>(kRunTime - kWarmUp).count();
}

std::vector<BenchResult> RunSite(int teams,
                                 std::int64_t limit,
                                 std::uint64_t seed) {
  using Rule = TeamSimulation::Rule;
  const Usage escrow = RunTeams(Rule::kEscrow, teams, limit, seed);
  const Usage split = RunTeams(Rule::kStaticSplit, teams, limit, seed);
  const Usage central = RunTeams(Rule::kCentral, teams, limit, seed);
  const std::string suffix = "." + std::to_string(teams) + "_teams";
  const std::string detail = "baseline static split; central counter " +
                             std::to_string(central.Lost()) + " %";
  // Several hundred writes a second are what the store can do in all.
  constexpr double kWriteBudget = 100.0;
  return {BenchResult{"limits.unreachable" + suffix, seed, escrow.Lost() < 5.0,
                      split.Lost(), escrow.Lost(), "% of limit", detail},
          BenchResult{
              "limits.store_writes" + suffix, seed,
              PerSecond(escrow.writes) < kWriteBudget,
              PerSecond(central.writes), PerSecond(escrow.writes), "1/s",
              "baseline central counter; reads and watch events " +
                  std::to_string(PerSecond(escrow.reads)) + " 1/s; starts " +
                  std::to_string(PerSecond(escrow.starts)) + " 1/s"}};
}

std::vector<BenchResult> RunLimitsBench(std::uint64_t seed) {
  // Limits of about one and a half times an even share of the slots: 50 workers
  // with 8 slots for 6 teams, 950 for 68.
  std::vector<BenchResult> results = RunSite(6, 100, seed);
  const std::vector<BenchResult> large = RunSite(68, 168, seed);
  results.insert(results.end(), large.begin(), large.end());
  return results;
}

const BenchRegistration kLimits("limits", RunLimitsBench);

}  // namespace
}  // namespace daisyroad

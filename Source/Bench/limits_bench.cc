// Measures the escrow of limits under bursts (design 1.3): each queue receives
// five times its mean demand for some seconds and a twentieth of it in between.
// The baselines are a static split of the limit and one central counter, which
// needs two store writes per task.

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

// Demand of one queue, as the number of tasks that would run concurrently.
class BurstyDemand {
 public:
  BurstyDemand(double mean_demand, Random* random)
      : mean(mean_demand),
        next_phase_change(random->DurationBelow(kBurst * 5)) {}

  std::int64_t At(Duration now, Random* random) {
    if (now >= this->next_phase_change) {
      this->is_bursting = !this->is_bursting;
      // With bursts a fifth of the time, the mean demand is preserved.
      const Duration length = this->is_bursting ? kBurst : kBurst * 4;
      this->next_phase_change =
          now + length / 2 + random->DurationBelow(length);
    }
    return static_cast<std::int64_t>(this->mean *
                                     (this->is_bursting ? 5.0 : 0.05));
  }

 private:
  double mean;
  Duration next_phase_change;
  bool is_bursting = false;
};

struct Usage {
  // Sums over all ticks. `unused` is the free part of the limit while tasks
  // wait: a central counter would have started them.
  double usable = 0;
  double unused = 0;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t starts = 0;

  double UnusedPercent() const { return 100.0 * this->unused / this->usable; }
};

// Draws how many of the running tasks end in this tick; the mean run time is
// kTaskTime.
std::int64_t DrawEndedTasks(std::int64_t running, Random* random) {
  const double chance = static_cast<double>(kTick.count()) /
                        static_cast<double>(kTaskTime.count());
  std::int64_t ended = 0;
  for (std::int64_t i = 0; i < running; ++i) {
    ended += random->Chance(chance) ? 1 : 0;
  }
  return ended;
}

// Simulates all allotment holders and the store for one team.
class LimitSimulation {
 public:
  enum class Policy { kEscrow, kStaticSplit, kCentral };

  LimitSimulation(Policy policy, std::int64_t limit, std::uint64_t seed)
      : policy(policy), limit(limit), random(seed), gossip_random(seed + 1) {
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
    this->known_reports.assign(kHolders, std::vector<Report>(kHolders));
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
    if (this->policy == Policy::kEscrow) {
      this->AnswerStoreRequests(now);
      this->Gossip(now);
    }
    for (std::size_t i = 0; i < kHolders; ++i) {
      const std::int64_t ended =
          DrawEndedTasks(this->running[i], &this->random);
      this->running[i] -= ended;
      const std::int64_t wanted = this->demands[i].At(now, &this->random);
      if (this->policy == Policy::kEscrow) {
        this->StepHolder(i, ended, wanted, now);
      } else {
        this->StepBaseline(i, wanted);
      }
      waiting += std::max<std::int64_t>(0, wanted - this->running[i]);
      used += this->running[i];
    }
    this->usage.usable +=
        static_cast<double>(std::min(this->limit, used + waiting));
    this->usage.unused += static_cast<double>(
        std::clamp<std::int64_t>(this->limit - used, 0, waiting));
  }

  void StepBaseline(std::size_t i, std::int64_t wanted) {
    std::int64_t room =
        this->limit / static_cast<std::int64_t>(kHolders) - this->running[i];
    if (this->policy == Policy::kCentral) {
      room = this->limit;
      for (const std::int64_t count : this->running) {
        room -= count;
      }
    }
    const std::int64_t starts = std::clamp<std::int64_t>(
        wanted - this->running[i], 0, std::max<std::int64_t>(0, room));
    this->running[i] += starts;
    this->usage.starts += static_cast<std::uint64_t>(starts);
    if (this->policy == Policy::kCentral) {
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

  // The store answers within one tick; a watch notifies all holders of a write.
  void AnswerStoreRequests(Duration now) {
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
      const bool is_written = write->base == this->stored.revision;
      if (is_written) {
        this->stored = LimitSnapshot{write->base + 1, write->record};
      }
      const std::vector<LimitAction> more = holder.OnWriteAnswer(
          Team(), write->serial,
          is_written ? WriteOutcome::kWritten : WriteOutcome::kConflict,
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

  // Each holder exchanges all known reports with random peers (design 3.8).
  void Gossip(Duration now) {
    for (std::size_t i = 0; i < kHolders; ++i) {
      const TeamAllotment* own = this->holders[i].Find(Team());
      this->known_reports[i][i] = Report{own->Report(), now};
      const Duration phase = kGossipInterval * static_cast<int>(i) /
                             static_cast<int>(kHolders) / kTick * kTick;
      if ((now - phase) % kGossipInterval != Duration::zero()) {
        continue;
      }
      for (std::size_t n = 0; n < kGossipPeers; ++n) {
        const std::size_t peer =
            (i + 1 + this->gossip_random.Below(kHolders - 1)) % kHolders;
        this->SendReports(i, peer, now);
        this->SendReports(peer, i, now);
      }
    }
  }

  void SendReports(std::size_t from, std::size_t to, Duration now) {
    for (std::size_t subject = 0; subject < kHolders; ++subject) {
      const Report& report = this->known_reports[from][subject];
      if (subject != to && report.at > this->known_reports[to][subject].at) {
        this->known_reports[to][subject] = report;
        this->holders[to].OnPeerDemand(Team(), this->names[subject],
                                       report.demand, MonotonicTime(now));
      }
    }
  }

  Policy policy;
  std::int64_t limit;
  Random random;
  Random gossip_random;
  std::vector<EntryName> names;
  std::vector<BurstyDemand> demands;
  std::vector<AllotmentHolder> holders;
  std::vector<std::int64_t> running;
  std::vector<std::vector<Report>> known_reports;
  std::vector<std::pair<std::size_t, LimitAction>> requests;
  LimitSnapshot stored;
  Usage usage;
};

Usage RunTeams(LimitSimulation::Policy policy,
               int teams,
               std::int64_t limit,
               std::uint64_t seed) {
  Usage sum;
  for (int team = 0; team < teams; ++team) {
    const Usage usage =
        LimitSimulation(policy, limit,
                        seed * 1000 + static_cast<std::uint64_t>(team) * 16)
            .Run();
    sum.usable += usage.usable;
    sum.unused += usage.unused;
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

std::vector<BenchResult> MeasureTeams(int teams,
                                      std::int64_t limit,
                                      std::uint64_t seed) {
  using Policy = LimitSimulation::Policy;
  const Usage escrow = RunTeams(Policy::kEscrow, teams, limit, seed);
  const Usage split = RunTeams(Policy::kStaticSplit, teams, limit, seed);
  const Usage central = RunTeams(Policy::kCentral, teams, limit, seed);
  const std::string suffix = "." + std::to_string(teams) + "_teams";
  const std::string detail = "baseline static split; central counter " +
                             std::to_string(central.UnusedPercent()) + " %";
  // The total capacity of the store is several hundred writes per second.
  constexpr double kWriteBudget = 100.0;
  return {BenchResult{"limits.unreachable" + suffix, seed,
                      escrow.UnusedPercent() < 5.0, split.UnusedPercent(),
                      escrow.UnusedPercent(), "% of limit", detail},
          BenchResult{
              "limits.store_writes" + suffix, seed,
              PerSecond(escrow.writes) < kWriteBudget,
              PerSecond(central.writes), PerSecond(escrow.writes), "1/s",
              "baseline central counter; reads and watch events " +
                  std::to_string(PerSecond(escrow.reads)) + " 1/s; starts " +
                  std::to_string(PerSecond(escrow.starts)) + " 1/s"}};
}

std::vector<BenchResult> RunLimitsBench(std::uint64_t seed) {
  // Each limit is about 1.5 times an equal share of the slots: 50 workers with
  // 8 slots for 6 teams, 950 workers for 68 teams.
  std::vector<BenchResult> results = MeasureTeams(6, 100, seed);
  const std::vector<BenchResult> large = MeasureTeams(68, 168, seed);
  results.insert(results.end(), large.begin(), large.end());
  return results;
}

const BenchRegistration kLimits("limits", RunLimitsBench);

}  // namespace
}  // namespace daisyroad

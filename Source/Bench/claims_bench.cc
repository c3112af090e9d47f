// Compares batched claims with one store write per request: store writes per
// second and the latency that a claim adds. The store takes 2 to 6 ms per write
// and at most 400 writes per second from all instances together.

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Bench/bench_registry.h"
#include "Core/Claims/claim_registry.h"
#include "Core/Common/random.h"

namespace daisyroad {
namespace {

constexpr int kInstances = 9;
constexpr Duration kTick = Milliseconds(1);
constexpr Duration kRunTime = std::chrono::seconds(20);
constexpr std::int64_t kStoreWritesPerSecond = 400;

// A store that serves writes in sequence at a fixed rate.
class SimulatedStore {
 public:
  // Returns the time at which a write sent at `now` is answered.
  Duration Write(Duration now, Random* random) {
    this->free_at = std::max(this->free_at, now) +
                    Duration(std::chrono::seconds(1)) / kStoreWritesPerSecond;
    this->writes += 1;
    return this->free_at + Milliseconds(2) +
           random->DurationBelow(Milliseconds(4));
  }

  std::uint64_t writes = 0;

 private:
  Duration free_at = Duration::zero();
};

struct Outcome {
  double writes_per_second = 0;
  double p50_ms = 0;
  double p99_ms = 0;
};

Outcome Summarize(const SimulatedStore& store,
                  std::vector<Duration> latencies) {
  std::sort(latencies.begin(), latencies.end());
  const std::size_t count = latencies.size();
  const auto at = [&latencies, count](std::size_t percent) {
    return std::chrono::duration<double, std::milli>(
               latencies[std::min(count - 1, count * percent / 100)])
        .count();
  };
  return Outcome{static_cast<double>(store.writes) /
                     std::chrono::duration<double>(kRunTime).count(),
                 at(50), at(99)};
}

Outcome RunSingleWrites(double per_second, std::uint64_t seed) {
  Random random(seed);
  SimulatedStore store;
  std::vector<Duration> latencies;
  const Duration mean(static_cast<Duration::rep>(1e9 / per_second));
  for (Duration now = random.Exponential(mean); now < kRunTime;
       now += random.Exponential(mean)) {
    latencies.push_back(store.Write(now, &random) - now);
  }
  return Summarize(store, std::move(latencies));
}

// Simulates the registrars of all instances with one store.
class BatchedClaimSimulation {
 public:
  explicit BatchedClaimSimulation(std::uint64_t seed) : random(seed) {
    ClaimRoster roster;
    roster.epoch = 1;
    for (int i = 0; i < kInstances; ++i) {
      const EntryName name("e" + std::to_string(i));
      roster.members.push_back(ClaimMember{name, ZoneName("za")});
    }
    for (const ClaimMember& member : roster.members) {
      ClaimRegistry& registry =
          this->registries
              .emplace(
                  member.incarnation,
                  ClaimRegistry(member.incarnation, ClaimRegistry::Options()))
              .first->second;
      registry.StartEpoch(roster, {}, false, MonotonicTime());
    }
    this->members = roster;
  }

  Outcome Run(double per_second) {
    const Duration mean(static_cast<Duration::rep>(1e9 / per_second));
    Duration next = this->random.Exponential(mean);
    for (Duration now = Duration::zero(); now < kRunTime; now += kTick) {
      for (; next < now; next += this->random.Exponential(mean)) {
        this->Submit(next, now);
      }
      this->DeliverStoreAnswers(now);
      for (std::pair<const EntryName, ClaimRegistry>& item : this->registries) {
        this->PerformActions(item.first, item.second.Tick(MonotonicTime(now)),
                             now);
      }
    }
    return Summarize(this->store, std::move(this->latencies));
  }

 private:
  void Submit(Duration arrival, Duration now) {
    const std::string key = "k" + std::to_string(this->arrivals.size());
    this->arrivals.emplace(key, arrival);
    const EntryName registrar = *ChooseRegistrar(key, this->members);
    ClaimRegistry& registry = this->registries.at(registrar);
    this->PerformActions(
        registrar, registry.Submit(key, TaskId(key), MonotonicTime(now)).second,
        now);
  }

  void DeliverStoreAnswers(Duration now) {
    while (!this->answers.empty() && this->answers.begin()->first <= now) {
      const std::pair<EntryName, CreateBatch> write =
          this->answers.begin()->second;
      this->answers.erase(this->answers.begin());
      this->PerformActions(
          write.first,
          this->registries.at(write.first)
              .OnCreateAnswer(write.second.log, write.second.seq,
                              CreateOutcome::kCreated, MonotonicTime(now)),
          now);
    }
  }

  void PerformActions(const EntryName& name,
                      const std::vector<ClaimAction>& actions,
                      Duration now) {
    for (const ClaimAction& action : actions) {
      if (const CreateBatch* write = std::get_if<CreateBatch>(&action)) {
        this->answers.emplace(this->store.Write(now, &this->random),
                              std::make_pair(name, *write));
      }
      if (const ClaimReady* ready = std::get_if<ClaimReady>(&action)) {
        this->latencies.push_back(now - this->arrivals.at(ready->key));
        this->registries.at(name).OnFate(ready->key, ready->task,
                                         ClaimState::kRan, MonotonicTime(now));
      }
    }
  }

  Random random;
  SimulatedStore store;
  ClaimRoster members;
  std::map<EntryName, ClaimRegistry> registries;
  std::multimap<Duration, std::pair<EntryName, CreateBatch>> answers;
  std::map<std::string, Duration> arrivals;
  std::vector<Duration> latencies;
};

std::vector<BenchResult> RunClaimsBench(std::uint64_t seed) {
  std::vector<BenchResult> results;
  for (const int rate : {50, 300, 2000}) {
    const Outcome batched = BatchedClaimSimulation(seed).Run(rate);
    const Outcome single = RunSingleWrites(rate, seed);
    const std::string suffix = "." + std::to_string(rate) + "_per_s";
    results.push_back(
        BenchResult{"claims.store_writes" + suffix, seed,
                    batched.writes_per_second <= kStoreWritesPerSecond,
                    single.writes_per_second, batched.writes_per_second, "1/s",
                    "baseline one write per request"});
    results.push_back(BenchResult{
        "claims.latency_p99" + suffix, seed, batched.p99_ms < 100.0,
        single.p99_ms, batched.p99_ms, "ms",
        "p50 " + std::to_string(batched.p50_ms) + " ms, baseline p50 " +
            std::to_string(single.p50_ms) + " ms"});
  }
  return results;
}

const BenchRegistration kClaims("claims", RunClaimsBench);

}  // namespace
}  // namespace daisyroad

#include "Core/Diagnosis/evidence_log.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "Bench/diagnosis_simulation.h"
#include "Core/Common/json.h"
#include "Core/Common/random.h"
#include "Core/Diagnosis/evidence_codec.h"

namespace daisyroad {
namespace {

constexpr std::size_t kBytes = 20'000;
constexpr std::chrono::seconds kAge{60};
constexpr MonotonicTime kNow{std::chrono::hours(1)};

Observation Sample(MonotonicTime at, std::size_t text) {
  return {at, WorkerRestarted{WorkerName(std::string(text, 'w')),
                              PoolName("assembly")}};
}

// Guards against growth with the number or the size of observations.
TEST_CASE("The evidence log holds no more bytes than its bound") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    EvidenceLog log(kBytes, kAge);
    for (int i = 0; i < 2000; ++i) {
      log.Add(Sample(kNow - random.DurationBelow(kAge), random.Below(400)),
              kNow);
      REQUIRE(log.bytes() <= kBytes);
    }
    CHECK(log.size() > 10);
  }
}

// Guards against verdicts from faults that are long over.
TEST_CASE("Observations past the age bound are dropped") {
  EvidenceLog log(kBytes, kAge);
  log.Add(Sample(kNow - kAge - Milliseconds(1), 3), kNow);
  CHECK(log.size() == 0);
  log.Add(Sample(kNow, 3), kNow);
  log.Add(Sample(kNow + 2 * kAge, 3), kNow + 2 * kAge);
  CHECK(log.size() == 1);
  CHECK(log.Between(kNow, kNow + Milliseconds(1)).empty());
}

// Guards against a burst that is not seen because its observations came late.
TEST_CASE("Late observations are kept by time") {
  EvidenceLog log(kBytes, kAge);
  for (const int seconds : {5, 1, 3, 2, 4}) {
    log.Add(Sample(kNow + std::chrono::seconds(seconds), 3),
            kNow + std::chrono::seconds(6));
  }
  const std::vector<Observation> found =
      log.Between(kNow, kNow + std::chrono::seconds(4));
  REQUIRE(found.size() == 4);
  CHECK(std::is_sorted(found.begin(), found.end(),
                       [](const Observation& left, const Observation& right) {
                         return left.at < right.at;
                       }));
}

// Guards against observations that a peer reads otherwise than they were sent,
// and against a message beyond its bound.
TEST_CASE("Observations survive the message between instances") {
  const InjectedFault fault{"all",
                            {{FaultKind::kWorkerReset, Milliseconds(0)},
                             {FaultKind::kLimitLowered, Milliseconds(0)}},
                            Verdict::kWorker,
                            {}};
  const DiagnosisSimulation simulation(fault, 1);
  const MonotonicTime now = simulation.onset() + std::chrono::seconds(9);
  std::vector<Observation> sent = simulation.Gather(0, now);
  sent.push_back(
      {now, TaskTimeline{TaskId("t"), QueueName("q"), WorkerName("w"), kNow,
                         kNow, std::nullopt, Milliseconds(5), "done"}});
  const Json::Value message = EvidenceToJson(sent, now, 10'000'000);
  const Result<std::vector<Observation>> got = EvidenceFromJson(message, now);
  REQUIRE(got.ok());
  REQUIRE(got.value().size() == sent.size());
  CHECK(EvidenceToJson({got.value().rbegin(), got.value().rend()}, now,
                       10'000'000) == message);
  CHECK(WriteJson(EvidenceToJson(sent, now, 3000)).size() <= 3000);
  Json::Value broken = message;
  broken[0]["deadline"] = "soon";
  CHECK_FALSE(EvidenceFromJson(broken, now).ok());
  broken[0]["kind"] = "of a later version";
  CHECK(EvidenceFromJson(broken, now).ok());
}

}  // namespace
}  // namespace daisyroad

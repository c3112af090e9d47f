#include "Core/Diagnosis/evidence_log.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "Bench/diagnosis_simulation.h"
#include "Core/Common/json.h"
#include "Core/Common/random.h"
#include "Core/Diagnosis/evidence_codec.h"

namespace daisyroad {
namespace {

constexpr std::size_t kMaxBytes = 20'000;
constexpr std::chrono::seconds kMaxAge{60};
constexpr MonotonicTime kNow{std::chrono::hours(1)};

Observation RestartObservation(MonotonicTime at, std::size_t text) {
  return {at, WorkerRestarted{WorkerName(std::string(text, 'w')),
                              PoolName("assembly")}};
}

// Guards against memory growth with the number or the size of observations.
TEST_CASE("The evidence log holds no more bytes than its bound") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    EvidenceLog log(kMaxBytes, kMaxAge);
    for (int i = 0; i < 2000; ++i) {
      log.Add(RestartObservation(kNow - random.DurationBelow(kMaxAge),
                                 random.Below(400)),
              kNow);
      REQUIRE(log.bytes() <= kMaxBytes);
    }
    CHECK(log.size() > 10);
  }
}

// Guards against verdicts based on faults that ended long ago.
TEST_CASE("Observations past the age bound are dropped") {
  EvidenceLog log(kMaxBytes, kMaxAge);
  log.Add(RestartObservation(kNow - kMaxAge - Milliseconds(1), 3), kNow);
  CHECK(log.size() == 0);
  log.Add(RestartObservation(kNow, 3), kNow);
  log.Add(RestartObservation(kNow + 2 * kMaxAge, 3), kNow + 2 * kMaxAge);
  CHECK(log.size() == 1);
  CHECK(log.Between(kNow, kNow + Milliseconds(1)).empty());
}

// Guards against missing a burst because its observations arrived out of order.
TEST_CASE("Late observations are kept by time") {
  EvidenceLog log(kMaxBytes, kMaxAge);
  for (const int seconds : {5, 1, 3, 2, 4}) {
    log.Add(RestartObservation(kNow + std::chrono::seconds(seconds), 3),
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

// Guards against observations that a peer decodes differently from what was
// sent, and against a message that exceeds its maximum size.
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
  const Result<std::vector<Observation>> received =
      EvidenceFromJson(message, now);
  REQUIRE(received.ok());
  REQUIRE(received.value().size() == sent.size());
  CHECK(EvidenceToJson({received.value().rbegin(), received.value().rend()},
                       now, 10'000'000) == message);
  CHECK(WriteJson(EvidenceToJson(sent, now, 3000)).size() <= 3000);
  Json::Value broken = message;
  broken[0]["deadline"] = "soon";
  CHECK_FALSE(EvidenceFromJson(broken, now).ok());
  broken[0]["kind"] = "of a later version";
  CHECK(EvidenceFromJson(broken, now).ok());
}

}  // namespace
}  // namespace daisyroad

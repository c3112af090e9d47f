#include "Core/Diagnosis/evidence_log.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "Core/Common/random.h"

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

}  // namespace
}  // namespace daisyroad

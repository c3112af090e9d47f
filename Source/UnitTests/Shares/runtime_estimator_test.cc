#include <catch2/catch.hpp>

#include <chrono>
#include <limits>

#include "Core/Shares/runtime_estimator.h"

namespace daisyroad {
namespace {

const TeamName kTeam("a");
const QueueName kQueue("q");
const Resources kDeclared{32.0, 64.0, 1.0, 1.0};

// Guards against the use of declared sizes that differ much from actual usage.
TEST_CASE("Sizes and run times follow what was observed") {
  RuntimeEstimator estimator;
  for (int i = 0; i < 10; ++i) {
    CHECK(estimator.Size(kTeam, kQueue, kDeclared).cores ==
          (i < 5 ? 32.0 : 2.0));
    estimator.Observe(kTeam, kQueue, {2.0, 3.0, 0.0, 0.0},
                      std::chrono::seconds(4));
  }
  const Resources size = estimator.Size(kTeam, kQueue, kDeclared);
  CHECK(size.memory_gb == 3.0);
  CHECK(size.accelerators == 1.0);
  CHECK(size.slots == 1.0);
  CHECK(estimator.RunTime(kTeam, kQueue, std::chrono::seconds(99)) ==
        std::chrono::seconds(4));
}

// Guards against an estimate that stays at an outdated value.
TEST_CASE("Estimates follow a changed size within one window") {
  RuntimeEstimator estimator;
  for (const double cores : {1.0, 8.0}) {
    for (std::size_t i = 0; i < RuntimeEstimator::kWindowSize; ++i) {
      estimator.Observe(kTeam, kQueue, {cores, 1.0, 0.0, 1.0},
                        std::chrono::seconds(1));
    }
    CHECK(estimator.Size(kTeam, kQueue, kDeclared).cores == cores);
  }
}

// Guards against invalid usage reports that corrupt the estimate, and against
// memory that grows with every new queue name.
TEST_CASE("Invalid reports are ignored and memory is bounded") {
  RuntimeEstimator estimator;
  estimator.Observe(kTeam, kQueue,
                    {std::numeric_limits<double>::quiet_NaN(), 1, 0, 1},
                    std::chrono::seconds(1));
  estimator.Observe(kTeam, kQueue, {-1, 1, 0, 1}, std::chrono::seconds(1));
  CHECK(estimator.queue_count() == 0);
  for (std::size_t i = 0; i < RuntimeEstimator::kMaximumQueues + 100; ++i) {
    estimator.Observe(kTeam, QueueName(std::to_string(i)), {1, 1, 0, 1},
                      std::chrono::seconds(1));
  }
  CHECK(estimator.queue_count() == RuntimeEstimator::kMaximumQueues);
}

}  // namespace
}  // namespace daisyroad

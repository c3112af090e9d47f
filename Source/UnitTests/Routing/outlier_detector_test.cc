#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <chrono>
#include <string>

#include "Core/Common/random.h"
#include "Core/Routing/outlier_detector.h"

namespace daisyroad {
namespace {

using std::chrono::seconds;

WorkerName Name(std::size_t i) {
  return WorkerName("w" + std::to_string(i));
}

struct Cell {
  OutlierDetector detector;
  MonotonicTime now{seconds(1000)};
  std::size_t workers;

  explicit Cell(std::size_t count) : workers(count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->detector.Add(Name(i));
    }
  }
  // Ten tasks on each worker; the first `failing` fail everything.
  void Run(std::size_t failing) {
    for (std::size_t i = 0; i < this->workers; ++i) {
      for (int task = 0; task < 10; ++task) {
        this->detector.Observe(Name(i), i < failing, this->now);
      }
    }
    this->detector.Evaluate(this->now);
  }
  std::size_t Out() const {
    std::size_t out = 0;
    for (std::size_t i = 0; i < this->workers; ++i) {
      out += this->detector.State(Name(i)) == OutlierState::kEjected ? 1 : 0;
    }
    return out;
  }
};

// Guards against a worker that fails everything and keeps getting work, against
// ejecting more than a fifth, and against emptying a cell for a common cause.
TEST_CASE("Failing workers are ejected within the cap unless most fail") {
  const std::size_t failing = GENERATE(0, 1, 2, 3, 5, 8, 10);
  Cell cell(10);
  cell.Run(failing);
  CAPTURE(failing);
  CHECK(cell.Out() == (failing >= 5 ? 0 : std::min<std::size_t>(failing, 2)));
}

// Guards against a cap that rounds up in a small cell.
TEST_CASE("At most a fifth of any cell is ejected") {
  rc::prop("cap", [](std::uint64_t seed) {
    Random random(seed);
    Cell cell(1 + random.Below(20));
    for (int step = 0; step < 100; ++step) {
      cell.now += seconds(1 + random.Below(5));
      for (int i = 0; i < 40; ++i) {
        const std::size_t worker = random.Below(cell.workers);
        const double rate = worker % 3 == 0 ? 0.9 : 0.05;
        cell.detector.Observe(Name(worker), random.Chance(rate), cell.now);
      }
      cell.detector.Evaluate(cell.now);
      RC_ASSERT(cell.Out() * 5 <= cell.workers);
    }
  });
}

// Guards against a worker that is readmitted with full load, and against one
// that still fails and is tried again as often as before.
TEST_CASE("Readmission goes through probation with backoff") {
  Cell cell(10);
  cell.Run(1);
  const WorkerName bad = Name(0);
  CHECK_FALSE(cell.detector.MayStart(bad, 0));
  cell.now += seconds(11);
  cell.detector.Evaluate(cell.now);
  REQUIRE(cell.detector.State(bad) == OutlierState::kProbation);
  CHECK(cell.detector.MayStart(bad, 0));
  CHECK_FALSE(cell.detector.MayStart(bad, 1));
  cell.detector.Observe(bad, true, cell.now);
  REQUIRE(cell.detector.State(bad) == OutlierState::kEjected);
  cell.now += seconds(11);
  cell.detector.Evaluate(cell.now);
  CHECK(cell.detector.State(bad) == OutlierState::kEjected);
  cell.now += seconds(10);
  cell.detector.Evaluate(cell.now);
  for (int i = 0; i < 5; ++i) {
    REQUIRE(cell.detector.State(bad) == OutlierState::kProbation);
    cell.detector.Observe(bad, false, cell.now);
  }
  CHECK(cell.detector.State(bad) == OutlierState::kHealthy);
  CHECK(cell.detector.Evaluate(cell.now).size() == 1);
}

}  // namespace
}  // namespace daisyroad

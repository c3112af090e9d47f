#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <chrono>
#include <string>

#include "Core/Common/random.h"
#include "Core/Routing/outlier_detector.h"

namespace daisyroad {
namespace {

using std::chrono::seconds;

WorkerName MakeName(std::size_t i) {
  return WorkerName("w" + std::to_string(i));
}

struct Cell {
  OutlierDetector detector;
  MonotonicTime now{seconds(1000)};
  std::size_t worker_count;

  explicit Cell(std::size_t count) : worker_count(count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->detector.Add(MakeName(i));
    }
  }
  // Ends ten tasks on each worker; all tasks of the first `failing_count`
  // workers fail.
  void RunTasks(std::size_t failing_count) {
    for (std::size_t i = 0; i < this->worker_count; ++i) {
      for (int task = 0; task < 10; ++task) {
        this->detector.Observe(MakeName(i), i < failing_count, this->now);
      }
    }
    this->detector.Evaluate(this->now);
  }
  std::size_t EjectedCount() const {
    std::size_t ejected_count = 0;
    for (std::size_t i = 0; i < this->worker_count; ++i) {
      ejected_count +=
          this->detector.State(MakeName(i)) == OutlierState::kEjected ? 1 : 0;
    }
    return ejected_count;
  }
};

// Guards against a worker that fails all tasks and still gets more, against the
// ejection of more than a fifth of the cell, and against ejections that empty a
// cell in which all workers fail for a common cause.
TEST_CASE("Failing workers are ejected within the cap unless most fail") {
  const std::size_t failing_count = GENERATE(0, 1, 2, 3, 5, 8, 10);
  Cell cell(10);
  cell.RunTasks(failing_count);
  CAPTURE(failing_count);
  CHECK(cell.EjectedCount() ==
        (failing_count >= 5 ? 0 : std::min<std::size_t>(failing_count, 2)));
}

// Guards against a limit that is rounded up in a small cell.
TEST_CASE("At most a fifth of any cell is ejected") {
  rc::prop("cap", [](std::uint64_t seed) {
    Random random(seed);
    Cell cell(1 + random.Below(20));
    for (int step = 0; step < 100; ++step) {
      cell.now += seconds(1 + random.Below(5));
      for (int i = 0; i < 40; ++i) {
        const std::size_t worker = random.Below(cell.worker_count);
        const double rate = worker % 3 == 0 ? 0.9 : 0.05;
        cell.detector.Observe(MakeName(worker), random.Chance(rate), cell.now);
      }
      cell.detector.Evaluate(cell.now);
      RC_ASSERT(cell.EjectedCount() * 5 <= cell.worker_count);
    }
  });
}

// Guards against a worker that is readmitted with full load, and against one
// that still fails and is retried without an increasing backoff.
TEST_CASE("Readmission goes through probation with backoff") {
  Cell cell(10);
  cell.RunTasks(1);
  const WorkerName bad = MakeName(0);
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

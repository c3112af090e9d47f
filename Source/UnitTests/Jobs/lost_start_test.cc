#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Jobs/one_worker_pool.h"

namespace daisyroad {
namespace {

// A service task whose start order gets no answer.
class LostStart {
 public:
  LostStart() {
    this->pool.AddJob(JobBuilder("service").Service(1, 1).Build());
    const std::vector<StartRun> starts = this->pool.TakeOrders<StartRun>();
    REQUIRE(starts.size() == 1);
    this->start = starts[0];
  }

  void GiveUp() {
    this->pool.elapsed += Milliseconds(500);
    this->pool.scheduler.OnStart(this->start, StartOutcome::kUnknown,
                                 std::nullopt, this->pool.Now());
  }
  // A report that was requested `age` before it arrives.
  void Report(bool is_running, Milliseconds age = Milliseconds(0)) {
    RunReport report;
    report.worker_clock = Milliseconds(1000) + this->pool.elapsed;
    report.incarnation = 7;
    if (is_running) {
      report.active.push_back(
          ActiveRun{this->start.task, this->start.run, "", 100, 0});
    }
    this->pool.scheduler.OnReport(this->pool.worker, report,
                                  this->pool.Now() - age, this->pool.Now());
  }
  template <typename T>
  std::vector<T> NextOrders() {
    this->pool.elapsed += Milliseconds(60);
    return this->pool.TakeOrders<T>();
  }

  OneWorkerPool pool;
  StartRun start;
};

// Guards against AVAIL: a run that had begun was stopped since the answer to
// its start was lost, without regard to the budget of its step (review 3).
TEST_CASE("A run is kept though the answer to its start is lost") {
  LostStart lost;
  SECTION("when it is reported before the answer is given up") {
    lost.pool.elapsed += Milliseconds(50);
    lost.Report(true);
    lost.GiveUp();
  }
  SECTION("when it is reported afterwards") {
    lost.GiveUp();
    CHECK(lost.NextOrders<StopRun>().empty());
    lost.Report(true);
  }
  SECTION("when an older report does not show it") {
    lost.GiveUp();
    lost.pool.elapsed += Milliseconds(10);
    lost.Report(false, Milliseconds(400));
    CHECK(lost.NextOrders<StopRun>().empty());
    lost.Report(true);
  }
  CHECK(lost.NextOrders<StopRun>().empty());
  CHECK(lost.NextOrders<StartRun>().empty());
}

// Guards against a second run beside one whose order is executed late.
TEST_CASE("A start that is not found is stopped before the next one") {
  LostStart lost;
  lost.GiveUp();
  lost.pool.elapsed += Milliseconds(10);
  lost.Report(false);
  CHECK(lost.NextOrders<StartRun>().empty());
  lost.pool.scheduler.OnStop(
      StopRun{lost.pool.worker, lost.start.task, lost.start.run}, true,
      lost.pool.Now(), lost.pool.Now());
  CHECK(lost.NextOrders<StartRun>().empty());
  SECTION("which it follows once a report confirms that") {
    lost.Report(false);
    CHECK(lost.NextOrders<StartRun>().size() == 1);
  }
  SECTION("and goes on being stopped if it is found then") {
    lost.Report(true);
    CHECK(lost.NextOrders<StartRun>().empty());
  }
}

}  // namespace
}  // namespace daisyroad

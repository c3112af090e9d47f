#include <catch2/catch.hpp>
#include <cstdint>
#include <vector>

#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Jobs/one_worker_pool.h"

namespace daisyroad {
namespace {

constexpr std::int64_t kRun = 5;
const TaskRef kService{JobId("service"), 0, 0, 0};
const TaskRef kFiller{JobId("filler"), 0, 0, 0};

// A worker with a service and a run that uses idle capacity, both of which
// this scheduler finds there.
class FoundRuns {
 public:
  FoundRuns() {
    JobBuilder service("service");
    service.Service(1, 1).Last().latency_target = Milliseconds(100);
    this->Add(service.Build());
    JobBuilder filler("filler");
    filler.Step(1).Last().uses_idle_capacity = true;
    this->Add(filler.Build());
  }

  // Reports the speed of the run and the latency of the service. Returns the
  // speeds that the scheduler orders.
  std::vector<int> Report(int percent, std::int64_t latency_ms) {
    this->pool.elapsed += Milliseconds(100);
    RunReport report;
    report.worker_clock = Milliseconds(1000) + this->pool.elapsed;
    report.incarnation = 7;
    report.active.push_back(ActiveRun{kService, kRun, "", 100, latency_ms});
    report.active.push_back(ActiveRun{kFiller, kRun, "", percent, 0});
    this->pool.scheduler.OnReport(this->pool.worker, report, this->pool.Now(),
                                  this->pool.Now());
    std::vector<int> speeds;
    for (const PaceRun& pace : this->pool.TakeOrders<PaceRun>()) {
      speeds.push_back(pace.percent);
    }
    return speeds;
  }

  OneWorkerPool pool;

 private:
  void Add(const AcceptedJob& job) {
    this->pool.scheduler.AddJob(job, JobProgress(), true, this->pool.Now());
  }
};

// Guards against a run that stays paused for good after a change of the
// scheduler, which took it to be at full speed (review 3, paced).
TEST_CASE("A run that an earlier scheduler paused is sped up again") {
  FoundRuns runs;
  int percent = 0;
  for (int i = 0; i < 10 && percent < 100; ++i) {
    for (const int speed : runs.Report(percent, 10)) {
      CHECK(speed > percent);
      percent = speed;
    }
  }
  CHECK(percent == 100);
  CHECK(runs.Report(100, 10).empty());
}

// Guards against speeding up a run beside a service that is near its target.
TEST_CASE("A run that an earlier scheduler slowed down stays slow") {
  FoundRuns runs;
  CHECK(runs.Report(25, 70).empty());
  CHECK(runs.Report(25, 150) == std::vector<int>{0});
}

// Guards against a run that stays paused since the order to speed it up is
// lost.
TEST_CASE("A change of speed is ordered again until a report shows it") {
  FoundRuns runs;
  CHECK(runs.Report(100, 150) == std::vector<int>{0});
  int orders = 0;
  for (int i = 0; i < 10; ++i) {
    orders += static_cast<int>(runs.Report(100, 150).size());
  }
  CHECK(orders == 2);
  std::vector<int> speeds;
  for (int i = 0; i < 20; ++i) {
    for (const int speed : runs.Report(0, 10)) {
      speeds.push_back(speed);
    }
  }
  // All orders are lost, and the last one is repeated.
  REQUIRE(speeds.size() >= 6);
  CHECK(speeds[3] == 100);
  CHECK(speeds.back() == 100);
}

}  // namespace
}  // namespace daisyroad

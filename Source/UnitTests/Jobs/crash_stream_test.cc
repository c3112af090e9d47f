#include <catch2/catch.hpp>

#include "UnitTests/Jobs/crashing_pool.h"
#include "UnitTests/Jobs/job_builder.h"

namespace daisyroad {
namespace {

constexpr int kJobs = 80;
constexpr Milliseconds kInterval{250};
constexpr Milliseconds kLongEnough{240000};

// Regression test (AVAIL on varied days with tasks that crash their workers): a
// service was given up after four losses beside new causes, though it had
// passed each of its trials.
TEST_CASE("A stream of tasks that crash their workers gives up no service") {
  const int workers = GENERATE(6, 9, 12);
  const Milliseconds crash_delay =
      GENERATE(Milliseconds(50), Milliseconds(300), Milliseconds(900));
  INFO(workers << " workers, crashes after " << crash_delay.count() << " ms");
  CrashingPool pool(workers);
  pool.AddJob(JobBuilder("service").Service(workers / 2, 1).Build());
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "bad" + std::to_string(i);
    pool.AddJob(JobBuilder(id).Step(2).Build());
    pool.CrashWorkersOf(TaskRef{JobId(id), 0, 0, 0}, crash_delay);
    pool.AddJob(JobBuilder("other" + std::to_string(i)).Step(3).Build());
    pool.RunFor(kInterval);
    REQUIRE(pool.StatusOf("service") == JobStatus::kRunning);
  }
  pool.RunFor(kLongEnough);
  CHECK(pool.StatusOf("service") == JobStatus::kRunning);
  for (int i = 0; i < workers / 2; ++i) {
    CHECK(pool.WorkerOf(TaskRef{JobId("service"), 0, 0, i}) != WorkerName());
  }
}

}  // namespace
}  // namespace daisyroad

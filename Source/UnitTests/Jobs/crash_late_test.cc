#include <catch2/catch.hpp>

#include "UnitTests/Jobs/crashing_pool.h"
#include "UnitTests/Jobs/job_builder.h"

namespace daisyroad {
namespace {

constexpr int kJobs = 80;
constexpr Milliseconds kInterval{250};
constexpr Milliseconds kLongEnough{240000};
// Starts that a task is allowed after three workers have crashed under it.
constexpr int kStartsAllowed = 2;

// Guards against tasks that escape their count of crashes since another task
// was on trial beside them.
TEST_CASE("A stream of tasks that crash their workers late stays in bounds") {
  CrashingPool pool(12);
  pool.AddJob(JobBuilder("service").Service(6, 1).Build());
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "bad" + std::to_string(i);
    pool.AddJob(JobBuilder(id).Step(2).Build());
    pool.CrashWorkersOf(TaskRef{JobId(id), 0, 0, 0}, Milliseconds(900));
    pool.AddJob(JobBuilder("other" + std::to_string(i)).Step(3).Build());
    pool.RunFor(kInterval);
  }
  pool.RunFor(kLongEnough);
  for (int i = 0; i < kJobs; ++i) {
    const TaskRef task{JobId("bad" + std::to_string(i)), 0, 0, 0};
    CHECK(pool.StartsAfterThreeCrashes(task) <= kStartsAllowed);
  }
}

}  // namespace
}  // namespace daisyroad

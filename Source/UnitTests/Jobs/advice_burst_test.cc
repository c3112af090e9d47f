#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "UnitTests/Jobs/advised_pool.h"
#include "UnitTests/Jobs/job_builder.h"

namespace daisyroad {
namespace {

// A call about nine workers takes 145 ms.
const AdvicePolicy kAdvice{Milliseconds(100), Milliseconds(5),
                           Milliseconds(3000)};
const AdvicePolicy kSlowAdvice{Milliseconds(300), Milliseconds(200),
                               Milliseconds(5000)};
constexpr int kWorkers = 9;

void AddJobs(AdvisedPool* pool, int count, Milliseconds interval) {
  for (int i = 0; i < count; ++i) {
    pool->AddJob(JobBuilder("job" + std::to_string(i)).Step(1).Build());
    pool->RunFor(interval);
  }
}

// Guards against LOST: calls were given up while they waited in line and sent
// again behind each other, so that no answer came in time any more (review/11).
TEST_CASE("Jobs of a burst begin as fast as the advisor answers") {
  AdvisedPool pool(kWorkers, kAdvice);
  AddJobs(&pool, 60, Milliseconds(25));
  // The advisor takes 8.7 s for 60 calls.
  pool.RunFor(Milliseconds(9500));
  CHECK(pool.JobsStarted() == 60);
  CHECK(pool.calls() == 60);
  CHECK(pool.wasted_calls() == 0);
}

// Guards against giving up each call where the policy makes calls long.
TEST_CASE("A call that takes longer than two seconds is waited for") {
  AdvisedPool pool(kWorkers, kSlowAdvice);
  AddJobs(&pool, 3, Milliseconds(300));
  pool.RunFor(Milliseconds(7500));
  CHECK(pool.JobsStarted() == 3);
  CHECK(pool.calls() == 3);
}

// Guards against a line at the advisor that grows while it is slower than
// declared.
TEST_CASE("Jobs begin though the advisor is slow") {
  AdvisedPool pool(kWorkers, kAdvice);
  pool.SetSlowness(40);  // 5.8 s a call
  AddJobs(&pool, 4, Milliseconds(100));
  pool.RunFor(Milliseconds(90000));
  CHECK(pool.JobsStarted() == 4);
  CHECK(pool.most_waiting() <= 4);
}

// Guards against calls that add to a line that is full.
TEST_CASE("Calls that are turned away wait until there is room") {
  AdvisedPool pool(kWorkers, kAdvice);
  pool.LeaveCalls(32, Milliseconds(145));
  AddJobs(&pool, 10, Milliseconds(20));
  pool.RunFor(Milliseconds(8000));
  CHECK(pool.JobsStarted() == 10);
  CHECK(pool.calls() < 30);
}

// Guards against lost answers that keep other steps from their turn.
TEST_CASE("A lost answer delays other steps by less than its timeout") {
  AdvisedPool pool(kWorkers, kAdvice);
  pool.LoseAnswers(1);
  AddJobs(&pool, 10, Milliseconds(20));
  pool.RunFor(Milliseconds(6000));
  CHECK(pool.JobsStarted() == 10);
}

// Guards against urgent steps that wait behind all others, and against others
// that never get their turn while urgent ones keep coming.
TEST_CASE("Urgent steps and others share the turns") {
  AdvisedPool pool(kWorkers, kAdvice);
  const QueueName urgent("urgent");
  pool.AddQueue(urgent, 0);
  AddJobs(&pool, 20, Milliseconds(0));
  pool.RunFor(Milliseconds(300));
  for (int i = 0; i < 40; ++i) {
    AcceptedJob job = JobBuilder("urgent" + std::to_string(i)).Step(1).Build();
    job.queue = urgent;
    pool.AddJob(job);
    pool.RunFor(Milliseconds(145));
  }
  // Two calls were in line, and each fourth one is for another step.
  REQUIRE(pool.StartOf(JobId("urgent0")));
  CHECK(*pool.StartOf(JobId("urgent0")) <= Milliseconds(300 + 4 * 145));
  int others = 0;
  for (int i = 0; i < 20; ++i) {
    others += pool.StartOf(JobId("job" + std::to_string(i))) ? 1 : 0;
  }
  CHECK(others >= 10);
  CHECK(others <= 16);
}

// Guards against asking about the first hundred workers only.
TEST_CASE("A pool above the limit of one call uses all workers") {
  AdvisedPool pool(250, kAdvice);
  SECTION("where only the last one is allowed") {
    pool.SetAllowed({WorkerName("w1249")});
    AddJobs(&pool, 1, Milliseconds(0));
    pool.RunFor(Milliseconds(3000));
    CHECK(pool.JobsStarted() == 1);
  }
  SECTION("where the first ones are full") {
    AddJobs(&pool, 1, Milliseconds(0));
    pool.AddJob(JobBuilder("wide").Step(150, 16000).Build());
    pool.RunFor(Milliseconds(700));
    REQUIRE(pool.StartOf(JobId("job0")));
    pool.RunFor(Milliseconds(2000));
    CHECK(pool.RunsStarted(JobId("wide")) == 150);
  }
}

}  // namespace
}  // namespace daisyroad

// Jobs that name values at their limits, and beyond.

#include "Core/Jobs/job_limits.h"

#include <catch2/catch.hpp>

#include "Core/Common/json.h"
#include "Core/Jobs/objective.h"
#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Jobs/one_worker_pool.h"

namespace daisyroad {
namespace {

AcceptedJob ScheduledAt(WallMilliseconds first, Milliseconds interval) {
  AcceptedJob job = JobBuilder("j").Step(1).Build();
  job.spec.occurrences = kMaxOccurrences;
  job.spec.first_due = first;
  job.spec.interval = interval;
  return job;
}

AcceptedJob LargestJob() {
  AcceptedJob job = ScheduledAt(WallMilliseconds(), kLongestInterval);
  StepSpec step = job.spec.steps[0];
  step.task_count = kMaxTasksPerStep;
  step.request = Resources{kMaxTaskRequest, kMaxTaskRequest, kMaxTaskRequest};
  step.estimate = kLongestEstimate;
  job.spec.steps.assign(kMaxSteps, step);
  for (int i = 1; i < kMaxSteps; ++i) {
    job.spec.steps[i].after = {i - 1};
  }
  return job;
}

// Guards against a job whose time overflows and is taken for the past, also
// after a takeover.
TEST_CASE("A job due in the year 9999 does not start") {
  const AcceptedJob job = ScheduledAt(kLatestDue, Milliseconds(60000));
  const Result<AcceptedJob> stored = ParseAcceptedJob(ToJson(job));
  REQUIRE(stored.ok());
  CHECK(stored.value().spec.first_due == kLatestDue);
  OneWorkerPool pool;
  pool.scheduler.AddJob(stored.value(), JobProgress(), true, pool.Now());
  CHECK(pool.TakeOrders<StartRun>().empty());
}

// Guards against occurrences that are due too early or too late, and against
// products that overflow.
TEST_CASE("Occurrences are due at multiples of the interval") {
  const WallTime wall(std::chrono::hours(1000));
  const WallMilliseconds now = std::chrono::floor<Milliseconds>(wall);
  const Milliseconds hour = std::chrono::hours(1);
  CHECK(CountDueOccurrences(ScheduledAt(now, hour).spec, wall) == 1);
  CHECK(CountDueOccurrences(ScheduledAt(now - hour, hour).spec, wall) == 2);
  CHECK(CountDueOccurrences(ScheduledAt(now + Milliseconds(1), hour).spec,
                            wall) == 0);
  CHECK(CountDueOccurrences(
            ScheduledAt(now - hour + Milliseconds(1), hour).spec, wall) == 1);
  CHECK(CountDueOccurrences(ScheduledAt(now, Milliseconds(0)).spec, wall) ==
        kMaxOccurrences);
  CHECK(CountDueOccurrences(
            ScheduledAt(WallMilliseconds(), kLongestInterval).spec, wall) == 1);
  const JobSpec rare = ScheduledAt(now, kLongestInterval).spec;
  CHECK(DueOffset(rare, 0) == Milliseconds(0));
  CHECK(DueOffset(rare, 1) == kLongestInterval);
  CHECK(DueOffset(rare, kMaxOccurrences - 1) == kLongestInterval);
}

// Guards against arithmetic that overflows, which the sanitizers show.
TEST_CASE("A job at all limits is scheduled like others") {
  const bool delays = GENERATE(false, true);
  SchedulerSettings settings;
  settings.overload.delay = delays;
  OneWorkerPool pool(settings);
  const AcceptedJob job = LargestJob();
  std::string reason;
  REQUIRE(IsRunnable(job.spec, &reason));
  REQUIRE(IsWithinLimits(job.spec, &reason));
  const Result<AcceptedJob> stored = ParseAcceptedJob(ToJson(job));
  REQUIRE(stored.ok());
  pool.scheduler.AddJob(stored.value(), JobProgress(), true, pool.Now());
  pool.AddJob(JobBuilder("ordinary").Step(1, 1000).Build());
  const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.job == JobId("ordinary"));
  pool.elapsed += Milliseconds(100);
  pool.TakeOrders<StartRun>();
  const WallTime wall(std::chrono::hours(1000));
  CHECK(pool.scheduler.Load(pool.Now(), wall).waiting > 0);
}

// Guards against a record that outgrows what the store takes although the
// request does not.
TEST_CASE("The record of a job is not much larger than its request") {
  JobBuilder job("j");
  for (int i = 0; i < kMaxSteps; ++i) {
    job.Step(1);
  }
  const std::string request = R"({"Count":1,"Cpu":1000,"MemMb":100,)"
                              R"("EstimateMs":500},)";
  CHECK(WriteJson(ToJson(job.Build())).size() <
        kMaxSteps * request.size() * 5 / 4);
}

// Guards against jobs that are accepted beyond the limits.
TEST_CASE("Jobs beyond a limit are refused with the reason") {
  std::string reason;
  AcceptedJob job = LargestJob();
  job.spec.steps.emplace_back(job.spec.steps[0]);
  CHECK_FALSE(IsWithinLimits(job.spec, &reason));
  CHECK(reason == "the job has 1001 steps, at most 1000 are allowed");
  job = LargestJob();
  job.spec.steps[7].request.memory_mb = kMaxTaskRequest + 1;
  CHECK_FALSE(IsWithinLimits(job.spec, &reason));
  CHECK(reason == "a task of step 7 requests more than any worker has");
  job = LargestJob();
  job.spec.first_due = kLatestDue + Milliseconds(1);
  CHECK_FALSE(IsWithinLimits(job.spec, &reason));
  CHECK(reason == "the schedule goes beyond the year 9999");
  job = LargestJob();
  job.spec.interval = kLongestInterval + Milliseconds(1);
  CHECK_FALSE(IsWithinLimits(job.spec, &reason));
}

// Guards against jobs that an earlier version has accepted and this one loses.
TEST_CASE("Stored values beyond a limit are brought within it") {
  Json::Value json = ToJson(LargestJob());
  json["first_due"] = Json::Int64(-1);
  json["interval"] = Json::Int64(kLongestInterval.count() + 1);
  json["steps"][0]["cpu"] = Json::Int64(kMaxTaskRequest + 1);
  json["steps"][0]["estimate"] = Json::Int64(kLongestEstimate.count() + 1);
  const Result<AcceptedJob> job = ParseAcceptedJob(json);
  REQUIRE(job.ok());
  const JobSpec& spec = job.value().spec;
  CHECK(spec.first_due == WallMilliseconds());
  CHECK(spec.interval == kLongestInterval);
  CHECK(spec.steps[0].request.cpu_millicores == kMaxTaskRequest);
  CHECK(spec.steps[0].estimate == kLongestEstimate);
  json["occurrences"] = -1;
  CHECK_FALSE(ParseAcceptedJob(json).ok());
}

}  // namespace
}  // namespace daisyroad

#include <catch2/catch.hpp>
#include <string>

#include "UnitTests/Jobs/one_worker_pool.h"
#include "platform/ingress.h"
#include "platform/job_codec.h"
#include "platform/request_deadline.h"
#include "platform/store_codec.h"
#include "platform/task_name.h"

namespace daisyroad::platform {
namespace {

// Guards against store entries of other writers that are read as workers or
// crash the process.
TEST_CASE("Only entries that describe a worker are decoded") {
  StoreCodec codec;
  const std::string good =
      R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready",)"
      R"("Capacity":{"Cpu":4000,"MemMb":100},"Labels":["a","r1"],"born":7})";
  const Result<WorkerListing> worker = codec.DecodeWorker("servers/i-1", good);
  REQUIRE(worker.ok());
  CHECK(worker.value().name == WorkerName("i-1"));
  CHECK(worker.value().rack == RackName("r1"));
  CHECK(worker.value().capacity.cpu_millicores == 4000);
  CHECK(worker.value().incarnation == 7);
  for (const char* const bad :
       {"", "[]", "7", "{}", "{\"Service\":1}", "\xff\xfe",
        R"({"Service":"s","Address":"a","Zone":"z","State":"odd",)"
        R"("Capacity":{}})",
        R"({"Service":"s","Address":"a","Zone":"z","State":"ready",)"
        R"("Capacity":7,"Labels":{"a":1}})"}) {
    CHECK_FALSE(codec.DecodeWorker("servers/i-2", bad).ok());
  }
}

// Guards against fields of a declaration that are ignored.
TEST_CASE("A declaration is decoded with all its fields") {
  const Result<SiteConfig> config = ReadSiteConfig(
      R"({"Version":7,"Routes":[{"Name":"q","Host":"h","Prefix":"/p/",)"
      R"("Service":"s","Priority":1,"MaxAttempts":4,"Stretch":1.6,)"
      R"("TargetDurationMs":600,"Public":false}],)"
      R"("Services":[{"Name":"s"},{"Name":"o","Spare":true}],)"
      R"("Tenants":[{"Name":"t","ApiKeys":["k"],"Weight":2,)"
      R"("MaxCount":{"Cpu":1000,"MemMb":0}}]})");
  REQUIRE(config.ok());
  const QueueConfig& queue = config.value().queues.at(QueueName("q"));
  CHECK(queue.policy.max_attempts == 4);
  CHECK(queue.policy.slack == Milliseconds(600));
  CHECK(config.value().pools.at(PoolName("o")).is_spare);
  CHECK(config.value().keys.at("k") == TeamName("t"));
  const Resources& limit = config.value().teams.at(TeamName("t")).limit;
  CHECK(limit.cpu_millicores == 1000);
  CHECK(limit.memory_mb == kUnlimited);
  CHECK_FALSE(ReadSiteConfig("{}").ok());
}

// Guards against jobs that are accepted although no worker could run them.
TEST_CASE("The body of a job submission is validated") {
  const Result<JobSpec> spec = ReadJobSpec(
      R"({"Spec":"x","Steps":[{"Count":2,"Cpu":500,"EstimateMs":900},)"
      R"({"Count":1,"After":[0],"LongRunning":true,"MayMiss":1}]})");
  REQUIRE(spec.ok());
  CHECK(spec.value().steps[0].task_count == 2);
  CHECK(spec.value().steps[1].is_service);
  CHECK(spec.value().steps[1].disruption_budget == 1);
  for (const char* const bad :
       {"", "[]", "{}", R"({"Steps":7})", R"({"Steps":[7]})",
        R"({"Steps":[{"Count":"two"}]})", R"({"Steps":[{"After":["x"]}]})",
        R"({"Steps":[{"Count":1,"Cpu":-5}]})"}) {
    CHECK_FALSE(ReadJobSpec(bad).ok());
  }
}

// Guards against numbers beyond the range of an int that are read as small
// ones.
TEST_CASE("Large numbers of a job submission are not truncated") {
  const std::string steps = R"("Steps":[{"Count":1}])";
  CHECK_FALSE(ReadJobSpec(R"({"Repeats":4294967297,)" + steps + "}").ok());
  CHECK_FALSE(ReadJobSpec(R"({"Repeats":2147483648,)" + steps + "}").ok());
  CHECK(ReadJobSpec(R"({"Repeats":2147483647,)" + steps + "}").ok());
  const Result<JobSpec> spec = ReadJobSpec(
      R"({"Steps":[{"Count":4294967297,"MaxPerServer":4294967297,)"
      R"("MayMiss":4294967297,"EstimateMs":9223372036854775807}]})");
  REQUIRE(spec.ok());
  std::string reason;
  CHECK_FALSE(IsRunnable(spec.value(), &reason));
  CHECK(spec.value().steps[0].max_per_worker > 10000);
  CHECK(spec.value().steps[0].disruption_budget > 10000);
}

// Guards against a job whose time overflows and is taken for the past.
TEST_CASE("A job submitted for the year 9999 does not start") {
  const Result<JobSpec> spec =
      ReadJobSpec(R"({"Steps":[{"Count":1,"Cpu":1000}],"Repeats":1,)"
                  R"("IntervalMs":60000,"FirstRunMs":253402300799999})");
  REQUIRE(spec.ok());
  AcceptedJob job;
  job.id = JobId("5c0e7a21d94b36f8");
  job.queue = QueueName("queue");
  job.pool = PoolName("pool");
  job.team = TeamName("team");
  job.spec = spec.value();
  OneWorkerPool pool;
  pool.AddJob(job);
  CHECK(pool.TakeOrders<StartRun>().empty());
}

// Guards against a request that is held for as long as its caller names, and
// against a time that overflows and is over at once.
TEST_CASE("Callers are answered within a minute whatever time they name") {
  CHECK(ReadRequestDeadline("1") == Milliseconds(1));
  CHECK(ReadRequestDeadline("59000") == Milliseconds(59000));
  for (const char* const late :
       {"60001", "9223372036854775807", "99999999999999999999"}) {
    CHECK(ReadRequestDeadline(late) == Milliseconds(60000));
  }
  for (const char* const bad :
       {"", "soon", "0", "-1", "-99999999999999999999"}) {
    CHECK(ReadRequestDeadline(bad) == Milliseconds(3000));
  }
}

// Guards against runs that are attributed to another task.
TEST_CASE("Task names are parsed back to the same task") {
  const TaskRef task{JobId("5c0e7a21d94b36f8"), 0, 1, 17};
  CHECK(WriteTaskName(task) == "5c0e7a21d94b36f8.0.1.17");
  CHECK(ReadTaskName(WriteTaskName(task)) == task);
  for (const char* const bad : {"", "a", "a.0.1", ".0.1.2", "a.0.x.2",
                                "a.0.1.-2", "a.0.1.99999999999"}) {
    CHECK_FALSE(ReadTaskName(bad).has_value());
  }
}

// Guards against a response that says "not run" for a request that may have
// been carried out.
TEST_CASE("Only requests that were not carried out are answered with 503") {
  CHECK(ToHttpResponse(RequestRefused{"r", Milliseconds(500)}).status == 503);
  CHECK(ToHttpResponse(RequestRefused{"r", Milliseconds(500)})
            .Header("retry-after") == "1");
  CHECK(ToHttpResponse(OutcomeUnknown{"r"}).status == 504);
  CHECK(ToHttpResponse(JobUnknown()).status == 410);
  CHECK(ToHttpResponse(QueueUnknown()).status == 404);
  CHECK(ToHttpResponse(CallerUnauthorized()).status == 401);
  CHECK(ToHttpResponse(JobStatusAnswer{JobStatus::kCompleted}).body ==
        R"({"State":"completed"})");
}

}  // namespace
}  // namespace daisyroad::platform

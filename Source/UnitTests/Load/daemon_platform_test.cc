// Faults of the platform and operator calls under load, tested with real
// processes. The tests check invariants only, never speed.

#include <algorithm>
#include <catch2/catch.hpp>

#include "UnitTests/Load/run_checks.h"
#include "UnitTests/Load/test_deployment.h"

namespace daisyroad {
namespace {

std::size_t CountStarts(const std::vector<StartRecord>& starts,
                        const ZoneName& zone,
                        WallTime from,
                        WallTime to) {
  return static_cast<std::size_t>(std::count_if(
      starts.begin(), starts.end(), [&](const StartRecord& start) {
        return start.zone == zone && start.started > from && start.started < to;
      }));
}

}  // namespace

// Guards against refusing or dropping tasks during a store outage. While the
// store is down for every instance, the configuration cannot change, so the
// instances can go on serving.
TEST_CASE("A store outage costs no idempotent work", "[store_down]") {
  TestDeployment site(201);
  const LoadRunResult run = site.Play(
      site.Calls(Milliseconds(14000), 30),
      {{Milliseconds(2000),
        PostFault{site.store(), "/standin/faults", "{\"down\":true}"}},
       {Milliseconds(12000),
        PostFault{site.store(), "/standin/faults", "{\"down\":false}"}}});
  const AuditReport report = site.Audit(run);
  INFO(DescribeRun(run));
  CHECK(AllEventsSucceeded(run));
  for (const CallRecord& call : run.calls) {
    if (call.plan.idempotent && call.state != CallState::kDone) {
      FAIL_CHECK("not done: " << call.plan.echo);
    }
  }
  CHECK_THAT(report.wrong_answers, Catch::Matchers::Equals(Echoes()));
  CHECK_THAT(report.doubled_runs, Catch::Matchers::Equals(Echoes()));
  CHECK_THAT(report.false_not_run, Catch::Matchers::Equals(Echoes()));
}

// Guards against starting a task again after its first start took effect but
// the worker's answer was lost.
TEST_CASE("Lost answers of workers double no run", "[lost_worker_answers]") {
  TestDeployment site(202);
  std::vector<ScriptedEvent> events;
  for (int i = 0; i < TestDeployment::kWorkers; ++i) {
    for (const int second : {1, 3, 5}) {
      events.push_back({std::chrono::seconds(second),
                        PostFault{site.worker(i), "/standin/faults",
                                  "{\"lose_answers\":5}"}});
    }
  }
  const LoadRunResult run =
      site.Play(site.Calls(Milliseconds(8000), 30), events);
  const AuditReport report = site.Audit(run);
  INFO(DescribeRun(run));
  CHECK(AllEventsSucceeded(run));
  CHECK(CountUndone(run) == 0);
  CHECK_THAT(report.wrong_answers, Catch::Matchers::Equals(Echoes()));
  CHECK_THAT(report.doubled_runs, Catch::Matchers::Equals(Echoes()));
}

// Guards against tasks that hang, fail or run twice when all open connections
// of a worker stop responding while new connections work.
TEST_CASE("Silent connections cost no answer", "[silent_worker]") {
  TestDeployment site(203);
  const LoadRunResult run =
      site.Play(site.Calls(Milliseconds(8000), 30),
                {{Milliseconds(2000),
                  PostFault{site.worker(0), "/standin/silence", "{}"}},
                 {Milliseconds(4000),
                  PostFault{site.worker(1), "/standin/silence", "{}"}}});
  const AuditReport report = site.Audit(run);
  INFO(DescribeRun(run));
  CHECK(AllEventsSucceeded(run));
  CHECK(CountUndone(run) == 0);
  CHECK_THAT(report.wrong_answers, Catch::Matchers::Equals(Echoes()));
  CHECK_THAT(report.doubled_runs, Catch::Matchers::Equals(Echoes()));
}

// Guards against an entry instance that keeps accepting a withdrawn key.
TEST_CASE("A withdrawn key stops within five seconds", "[withdrawn_key]") {
  TestDeployment site(204);
  const TeamName shop("shop");
  const LoadRunResult run =
      site.Play(site.Calls(Milliseconds(10000), 30),
                {{Milliseconds(2000), WithdrawTeamKey{shop}}});
  const AuditReport report = site.Audit(run);
  INFO(DescribeRun(run));
  REQUIRE(AllEventsSucceeded(run));
  CHECK_THAT(report.withdrawn_key_accepts, Catch::Matchers::Equals(Echoes()));
  std::size_t refused = 0;
  for (const CallRecord& call : run.calls) {
    refused += call.status == 401 ? 1 : 0;
    if (call.plan.team != shop && call.state != CallState::kDone) {
      FAIL_CHECK("another team's call was not done: " << call.plan.echo);
    }
  }
  CHECK(refused > 0);
}

// Guards against starting tasks in a zone that operators have taken out, and
// against a zone that gets no tasks after it is taken in again.
TEST_CASE("A zone taken out starts nothing and returns", "[zone_out]") {
  TestDeployment site(205);
  const ZoneName south("south");
  const LoadRunResult run =
      site.Play(site.Calls(Milliseconds(14000), 30),
                {{Milliseconds(2000), ChangeZone{south, true}},
                 {Milliseconds(10000), ChangeZone{south, false}}});
  const AuditReport report = site.Audit(run);
  const std::vector<StartRecord> starts = site.Starts();
  INFO(DescribeRun(run));
  REQUIRE(AllEventsSucceeded(run));
  CHECK_THAT(report.starts_in_zone_out, Catch::Matchers::Equals(Echoes()));
  CHECK_THAT(report.doubled_runs, Catch::Matchers::Equals(Echoes()));
  CHECK(CountUndone(run) == 0);
  CHECK(CountStarts(starts, south, run.started, run.events[0].sent) > 0);
  CHECK(CountStarts(starts, south, run.events[1].answered, run.ended) > 0);
}

}  // namespace daisyroad

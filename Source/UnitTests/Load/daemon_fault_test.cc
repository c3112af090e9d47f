// Faults of entry instances under load, tested with real processes. The tests
// check invariants only, never speed.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

#include "UnitTests/Load/run_checks.h"
#include "UnitTests/Load/test_deployment.h"

namespace daisyroad {
namespace {

void CheckAnswers(const AuditReport& report) {
  CHECK_THAT(report.wrong_answers, Catch::Matchers::Equals(Echoes()));
  CHECK_THAT(report.doubled_runs, Catch::Matchers::Equals(Echoes()));
  CHECK_THAT(report.false_not_run, Catch::Matchers::Equals(Echoes()));
  CHECK_THAT(report.done_not_run, Catch::Matchers::Equals(Echoes()));
  for (const std::pair<const TeamName, int>& team : report.max_running) {
    CHECK(team.second <= TestDeployment::kTeamLimit);
  }
}

}  // namespace

// Guards against losing answers together with the instance that held them, and
// against a second run started by the next registrar of the key.
TEST_CASE("Killing an entry instance loses and doubles nothing",
          "[kill_entry]") {
  TestDeployment site(101);
  const LoadRunResult run = site.Play(
      site.Calls(Milliseconds(8000), 40),
      {{Milliseconds(3000), SendSignal{site.entry(1)->id(), SIGKILL}}});
  const AuditReport report = site.Audit(run);
  INFO(DescribeRun(run));
  CheckAnswers(report);
  CHECK_THAT(report.lost_answers, Catch::Matchers::Equals(Echoes()));
  CHECK(CountUndone(run) == 0);
}

// Guards against an instance that resumes after a pause and acts on expired
// leases: it must neither start tasks that others have run meanwhile nor start
// tasks in the zone that was taken out.
TEST_CASE("A paused entry instance starts nothing that it may not start",
          "[pause_entry]") {
  TestDeployment site(102);
  const pid_t paused = site.entry(1)->id();
  const LoadRunResult run =
      site.Play(site.Calls(Milliseconds(13000), 30),
                {{Milliseconds(2000), SendSignal{paused, SIGSTOP}},
                 {Milliseconds(4000), ChangeZone{ZoneName("south"), true}},
                 {Milliseconds(10000), SendSignal{paused, SIGCONT}}});
  const AuditReport report = site.Audit(run);
  INFO(DescribeRun(run));
  CHECK(AllEventsSucceeded(run));
  CheckAnswers(report);
  CHECK_THAT(report.starts_in_zone_out, Catch::Matchers::Equals(Echoes()));
  CHECK_THAT(report.lost_answers, Catch::Matchers::Equals(Echoes()));
}

// Guards against requests interrupted by a planned stop: each accepted request
// gets its answer, and a request that is refused as not run has not run.
TEST_CASE("A planned stop cuts no request", "[stop_entry]") {
  TestDeployment site(103);
  const LoadRunResult run = site.Play(
      site.Calls(Milliseconds(8000), 40),
      {{Milliseconds(3000), SendSignal{site.entry(1)->id(), SIGTERM}}});
  const AuditReport report = site.Audit(run);
  INFO(DescribeRun(run));
  CheckAnswers(report);
  CHECK_THAT(report.lost_answers, Catch::Matchers::Equals(Echoes()));
  CHECK(CountUndone(run) == 0);
  CHECK(std::none_of(run.calls.begin(), run.calls.end(),
                     [](const CallRecord& call) { return call.is_uncertain; }));
  CHECK(site.entry(1)->WaitForExit(Milliseconds(5000)) == 0);
}

}  // namespace daisyroad

// Faults of entry instances under load, played against real processes. Bounds
// are on invariants only, never on speed.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

#include "UnitTests/Load/run_checks.h"
#include "UnitTests/Load/test_deployment.h"

namespace daisyroad {
namespace {

void CheckTrueAnswers(const AuditReport& report) {
  CHECK_THAT(report.wrong, Catch::Matchers::Equals(Echoes()));
  CHECK_THAT(report.doubled, Catch::Matchers::Equals(Echoes()));
  CHECK_THAT(report.false_not_run, Catch::Matchers::Equals(Echoes()));
  CHECK_THAT(report.done_not_run, Catch::Matchers::Equals(Echoes()));
  for (const std::pair<const TeamName, int>& team : report.most_running) {
    CHECK(team.second <= TestDeployment::kTeamLimit);
  }
}

}  // namespace

// Guards against answers lost with the instance that held them and against a
// second run by the next registrar of the key.
TEST_CASE("Killing an entry instance loses and doubles nothing",
          "[kill_entry]") {
  TestDeployment site(101);
  const LoadRunResult run = site.Play(
      site.Calls(Milliseconds(8000), 40),
      {{Milliseconds(3000), SendSignal{site.entry(1)->id(), SIGKILL}}});
  const AuditReport report = site.Audit(run);
  INFO(DescribeRun(run));
  CheckTrueAnswers(report);
  CHECK_THAT(report.lost, Catch::Matchers::Equals(Echoes()));
  CHECK(CountUndone(run) == 0);
}

// Guards against an instance that wakes up with old authority: it must neither
// start what others have run meanwhile nor start work in the zone taken out.
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
  CHECK(EveryEventWorked(run));
  CheckTrueAnswers(report);
  CHECK_THAT(report.out_zone_starts, Catch::Matchers::Equals(Echoes()));
  CHECK_THAT(report.lost, Catch::Matchers::Equals(Echoes()));
}

// Guards against requests cut by a planned stop: each one that was accepted
// gets its answer, and a refusal says truly that the request has not run.
TEST_CASE("A planned stop cuts no request", "[stop_entry]") {
  TestDeployment site(103);
  const LoadRunResult run = site.Play(
      site.Calls(Milliseconds(8000), 40),
      {{Milliseconds(3000), SendSignal{site.entry(1)->id(), SIGTERM}}});
  const AuditReport report = site.Audit(run);
  INFO(DescribeRun(run));
  CheckTrueAnswers(report);
  CHECK_THAT(report.lost, Catch::Matchers::Equals(Echoes()));
  CHECK(CountUndone(run) == 0);
  CHECK(std::none_of(run.calls.begin(), run.calls.end(),
                     [](const CallRecord& call) { return call.uncertain; }));
  CHECK(site.entry(1)->WaitForEnd(Milliseconds(5000)) == 0);
}

}  // namespace daisyroad

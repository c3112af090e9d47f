// Faults of entry instances under load, played against real processes. Bounds
// are on invariants only, never on speed.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

#include "UnitTests/Load/test_deployment.h"

namespace daisyroad {
namespace {

ScriptedEvent At(Milliseconds time, const SendSignal& signal) {
  return ScriptedEvent{time, signal};
}

std::size_t CountDone(const LoadRunResult& run) {
  return static_cast<std::size_t>(std::count_if(
      run.calls.begin(), run.calls.end(),
      [](const CallRecord& call) { return call.state == CallState::kDone; }));
}

void CheckTrueAnswers(const AuditReport& report) {
  CHECK(report.wrong == std::vector<std::string>());
  CHECK(report.doubled == std::vector<std::string>());
  CHECK(report.false_not_run == std::vector<std::string>());
  CHECK(report.done_not_run == std::vector<std::string>());
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
      {At(Milliseconds(3000), SendSignal{site.entry(1)->id(), SIGKILL})});
  const AuditReport report = site.Audit(run);
  CheckTrueAnswers(report);
  CHECK(report.lost == std::vector<std::string>());
  CHECK(CountDone(run) == run.calls.size());
}

}  // namespace daisyroad

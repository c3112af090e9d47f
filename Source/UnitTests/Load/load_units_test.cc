// Tests the checks of the load tool itself, because a check that never finds
// anything would let every whole-process test pass.

#include <catch2/catch.hpp>
#include <csignal>

#include "Core/Declaration/parse_declaration.h"
#include "Load/demand_plan.h"
#include "Load/event_script.h"
#include "Load/latency_histogram.h"
#include "Load/run_audit.h"
#include "UnitTests/Load/run_checks.h"

namespace daisyroad {
namespace {

const WallTime kStart = WallTime(std::chrono::hours(1));

CallRecord DoneCall(const std::string& echo) {
  CallRecord call;
  call.plan.echo = echo;
  call.plan.team = TeamName("shop");
  call.state = CallState::kDone;
  call.was_accepted = true;
  call.sent = kStart;
  call.ended = kStart + Milliseconds(100);
  return call;
}

StartRecord StartOf(const std::string& echo, Milliseconds at) {
  StartRecord start;
  start.echo = echo;
  start.team = TeamName("shop");
  start.zone = ZoneName("south");
  start.started = kStart + at;
  start.ended = start.started + Milliseconds(50);
  return start;
}

PlayedEvent Accepted(const ScriptedEvent& event) {
  PlayedEvent played;
  played.event = event;
  played.sent = kStart + event.at;
  played.answered = played.sent;
  played.ok = true;
  return played;
}

}  // namespace

// Guards against counting a resumed task as a second run and against missing a
// second run.
TEST_CASE("The audit finds doubled runs", "[units]") {
  LoadRunResult run;
  run.calls = {DoneCall("a"), DoneCall("b")};
  StartRecord resumed = StartOf("b", Milliseconds(60));
  resumed.resumed = true;
  const AuditReport report = AuditRun(
      run, {StartOf("a", Milliseconds(1)), StartOf("a", Milliseconds(2)),
            StartOf("b", Milliseconds(1)), resumed});
  CHECK(report.doubled_runs == Echoes{"a"});
  CHECK_THAT(report.done_not_run, Catch::Matchers::Equals(Echoes()));
}

// Guards against accepting a refusal without checking the start records, and
// against reporting a refusal as false because of an earlier attempt with
// unknown outcome.
TEST_CASE("The audit finds false refusals and lost answers", "[units]") {
  LoadRunResult run;
  run.calls = {DoneCall("refused"), DoneCall("uncertain"), DoneCall("lost"),
               DoneCall("invented")};
  run.calls[0].state = CallState::kNotRun;
  run.calls[1].state = CallState::kNotRun;
  run.calls[1].is_uncertain = true;
  run.calls[2].state = CallState::kUnknown;
  const AuditReport report =
      AuditRun(run, {StartOf("refused", Milliseconds(1)),
                     StartOf("uncertain", Milliseconds(1))});
  CHECK(report.false_not_run == Echoes{"refused"});
  CHECK(report.lost_answers == Echoes{"lost"});
  CHECK(report.done_not_run == Echoes{"invented"});
}

// Guards against a wrong interval: starts within 5 s of the change and after
// the zone is taken in again are allowed.
TEST_CASE("The audit finds starts in a zone taken out", "[units]") {
  LoadRunResult run;
  const ZoneName south("south");
  run.events = {Accepted({std::chrono::seconds(1), ChangeZone{south, true}}),
                Accepted({std::chrono::seconds(20), ChangeZone{south, false}})};
  const AuditReport report =
      AuditRun(run, {StartOf("before", Milliseconds(500)),
                     StartOf("at-once", Milliseconds(5900)),
                     StartOf("too-late", Milliseconds(6100)),
                     StartOf("returned", Milliseconds(20100))});
  CHECK(report.starts_in_zone_out == Echoes{"too-late"});
}

// Guards against a limit check that counts starts instead of concurrent tasks.
TEST_CASE("The audit counts tasks that run at once", "[units]") {
  const AuditReport report = AuditRun(
      LoadRunResult(),
      {StartOf("a", Milliseconds(0)), StartOf("b", Milliseconds(49)),
       StartOf("c", Milliseconds(50)), StartOf("d", Milliseconds(200))});
  CHECK(report.max_running.at(TeamName("shop")) == 2);
}

// Guards against percentiles that are off by more than the width of a bucket.
TEST_CASE("Percentiles are within 1.6% of the value", "[units]") {
  LatencyHistogram latencies;
  CHECK(latencies.Percentile(0.5).count() == 0);
  for (int i = 1; i <= 10000; ++i) {
    latencies.Add(std::chrono::microseconds(i * 10));
  }
  for (const double fraction : {0.01, 0.5, 0.9, 0.99, 1.0}) {
    const double exact = fraction * 100000.0;
    const double found =
        static_cast<double>(latencies.Percentile(fraction).count());
    CHECK(found >= exact);
    CHECK(found <= exact * 1.016 + 1.0);
  }
}

// Guards against accepting an invalid script that then does nothing.
TEST_CASE("Scripts are read and their faults named", "[units]") {
  const Result<std::vector<ScriptedEvent>> events = ParseEventScript(
      "[[events]]\nat = \"2s\"\npost = \"127.0.0.1:18000/standin/faults\"\n"
      "json = '{\"down\": true}'\n"
      "[[events]]\nat = \"3s\"\nzone_out = \"east\"\n"
      "[[events]]\nat = \"4s\"\nsignal = \"STOP\"\nprocess = \"entry-1\"\n",
      "script.toml", {{"entry-1", 4711}});
  REQUIRE(events.ok());
  REQUIRE(events.value().size() == 3);
  const PostFault& fault = std::get<PostFault>(events.value()[0].action);
  CHECK(fault.address == "127.0.0.1:18000");
  CHECK(fault.path == "/standin/faults");
  CHECK(std::get<ChangeZone>(events.value()[1].action).is_out);
  CHECK(std::get<SendSignal>(events.value()[2].action).process == 4711);
  CHECK(std::get<SendSignal>(events.value()[2].action).signal == SIGSTOP);

  const Result<std::vector<ScriptedEvent>> faulty = ParseEventScript(
      "[[events]]\nat = \"4s\"\nsignal = \"STOP\"\nprocess = \"x\"\n",
      "script.toml", {});
  REQUIRE_FALSE(faulty.ok());
  CHECK(faulty.error().detail.find("--process") != std::string::npos);
}

// Guards against demand that differs between runs with one seed.
TEST_CASE("Demand is the same for the same seed", "[units]") {
  const Result<Declaration> declaration = ParseDeclaration(
      "site = \"s\"\nregions = [\"r\"]\n[[zones]]\nname = \"z\"\n"
      "region = \"r\"\n[[pools]]\nname = \"p\"\nworkers = { z = 2 }\n"
      "cores = 8\nmemory_gb = 8\nslots = 8\nconnections = 64\n"
      "[[services]]\nname = \"v\"\npool = \"p\"\nservice_level = 0.9\n"
      "max_down = 1\n[[queues]]\nname = \"q\"\nservice = \"v\"\n"
      "class = \"urgent\"\n[[queues]]\nname = \"other\"\nservice = \"v\"\n"
      "class = \"long\"\n[[teams]]\nname = \"t\"\nshare = 1\n"
      "upper_limit = 4\nqueues = [\"q\", \"other\"]\n",
      "d.toml");
  REQUIRE(declaration.ok());
  DemandSettings settings;
  settings.seed = 5;
  settings.length = Milliseconds(12000);
  const std::vector<PlannedCall> first =
      PlanDemand(declaration.value(), settings);
  const std::vector<PlannedCall> second =
      PlanDemand(declaration.value(), settings);
  REQUIRE(first.size() == second.size());
  // 16 slots, 0.5 s per task and overload 1.3 give 41.6 calls per second during
  // the burst of 6 s.
  int in_turn = 0;
  for (std::size_t i = 0; i < first.size(); ++i) {
    CHECK(first[i].at == second[i].at);
    CHECK(first[i].echo == second[i].echo);
    CHECK(first[i].run == second[i].run);
    in_turn += first[i].queue.str() == "q" && first[i].at < settings.burst;
  }
  CHECK(in_turn > 200);
  CHECK(in_turn < 300);
}

}  // namespace daisyroad

#include <catch2/catch.hpp>

#include "UnitTests/Dispatch/dispatch_fixture.h"

namespace daisyroad {
namespace {

const Error kLost{Errc::kTimeout, "worker.start", "", "no answer"};

// Guards against a second start of a task whose start was received while the
// answer was lost.
TEST_CASE("A lost start answer is asked for by identifier") {
  DispatchFixture fixture(1);
  const TaskId task = fixture.Submit("t", false);
  REQUIRE(fixture.workers.starts.size() == 1);
  fixture.workers.starts[0].answer(kLost);
  REQUIRE(fixture.workers.reports.size() == 1);
  CHECK(fixture.workers.reports[0].task == task);
  CHECK(fixture.workers.reports[0].fresh_connection);
  fixture.workers.reports[0].answer(
      fixture.MakeReport(task, WorkerTaskState::kRunning));
  CHECK(fixture.LastState(task) == DispatchState::kRunning);
  CHECK(fixture.workers.starts.size() == 1);
}

// Guards against giving up, or starting twice, a task whose lost start may
// still arrive: it is put back only after the worker's start deadline.
TEST_CASE("An unknown start is repeated only after its start deadline") {
  DispatchFixture fixture(1);
  const TaskId task = fixture.Submit("t", false);
  fixture.workers.starts[0].answer(kLost);
  fixture.workers.reports[0].answer(
      fixture.MakeReport(task, WorkerTaskState::kUnknown));
  CHECK(fixture.workers.starts.size() == 1);
  fixture.loop.RunFor(Milliseconds(250));
  REQUIRE(fixture.workers.reports.size() == 2);
  fixture.worker_clock =
      fixture.workers.starts[0].task.start_before + WorkerClock(1);
  fixture.workers.reports[1].answer(
      fixture.MakeReport(task, WorkerTaskState::kUnknown));
  CHECK(fixture.workers.starts.size() == 2);
  CHECK(fixture.limits_held == 1);
}

// Guards against a lost idempotent task, and against a second run of a
// non-idempotent one whose fate the restarted worker has forgotten.
TEST_CASE("After a restart only idempotent tasks run again") {
  const bool idempotent = GENERATE(true, false);
  DispatchFixture fixture(1);
  const TaskId task = fixture.Submit("t", idempotent);
  fixture.AnswerStart(0, StartOutcome::kStarted);
  fixture.incarnation = "boot-2";
  LeaseReply reply;
  reply.lost = {task};
  reply.now = fixture.worker_clock;
  reply.incarnation = fixture.incarnation;
  fixture.cell->OnLeasesRenewed(WorkerName("w0"), reply, Now());
  REQUIRE(fixture.workers.reports.size() == 1);
  fixture.workers.reports[0].answer(
      fixture.MakeReport(task, WorkerTaskState::kUnknown));
  CHECK(fixture.workers.starts.size() == (idempotent ? 2 : 1));
  CHECK(fixture.LastState(task) ==
        (idempotent ? DispatchState::kRunning : DispatchState::kUnknown));
  CHECK(fixture.limits_held == (idempotent ? 1 : 0));
}

// Guards against a task that is lost because its start came too late.
TEST_CASE("An expired start is put back and tried again") {
  DispatchFixture fixture(1);
  const TaskId task = fixture.Submit("t", false);
  fixture.AnswerStart(0, StartOutcome::kExpired);
  REQUIRE(fixture.workers.starts.size() == 2);
  CHECK(fixture.workers.starts[1].task.task == task);
  CHECK(fixture.cell->Running(TeamName("team")) == 1);
  CHECK(fixture.cell->Waiting(TeamName("team")) == 0);
}

// Guards against work that starts after the instance has lost its authority
// while the task was queued, for example because its zone was taken out.
TEST_CASE("Without authority a queued task does not start") {
  DispatchFixture fixture(1);
  fixture.may_start = false;
  const TaskId task = fixture.Submit("t");
  fixture.cell->Tick();
  CHECK(fixture.workers.starts.empty());
  CHECK(fixture.cell->StateOf(task) == DispatchState::kQueued);
  CHECK(fixture.limits_held == 0);
  fixture.may_start = true;
  fixture.cell->Tick();
  CHECK(fixture.workers.starts.size() == 1);
}

// Guards against tasks that wait until their deadline at an instance that has
// lost its cell to one that joined: it stopped following the workers, so it
// never learned a clock to start by (load_lost_worker_answers, seed 202).
TEST_CASE("A cell with waiting tasks needs its workers") {
  DispatchFixture fixture(1);
  const WorkerInfo worker = *fixture.directory.Find(WorkerName("w0"));
  CHECK_FALSE(fixture.cell->NeedsWorker(worker));
  fixture.may_start = false;
  fixture.Submit("t");
  CHECK(fixture.cell->NeedsWorker(worker));
  WorkerInfo other = worker;
  other.listed.name = WorkerName("elsewhere");
  other.listed.zone = ZoneName("elsewhere");
  CHECK_FALSE(fixture.cell->NeedsWorker(other));
  fixture.may_start = true;
  fixture.cell->Tick();
  fixture.AnswerStart(0, StartOutcome::kStarted);
  CHECK(fixture.cell->Waiting(TeamName("team")) == 0);
  CHECK(fixture.cell->NeedsWorker(worker));
}

// Guards against tasks that wait for their deadline in a zone taken out.
TEST_CASE("Waiting tasks are handed back as not run, running ones stay") {
  DispatchFixture fixture(1);
  const TaskId running = fixture.Submit("a");
  fixture.AnswerStart(0, StartOutcome::kStarted);
  fixture.may_start = false;
  const TaskId waiting = fixture.Submit("b");
  fixture.cell->HandBackWaiting(kZoneOut);
  CHECK(fixture.LastState(waiting) == DispatchState::kNotRun);
  CHECK(fixture.updates[waiting].reason == kZoneOut);
  CHECK(fixture.LastState(running) == DispatchState::kRunning);
  CHECK(fixture.cell->Waiting(TeamName("team")) == 0);
}

// Guards against a second run of a task, or a lost end, when the connection on
// which it was started has gone silent.
TEST_CASE("Tasks on a silent connection are asked for by identifier") {
  DispatchFixture fixture(1);
  const TaskId task = fixture.Submit("t", false);
  fixture.AnswerStart(0, StartOutcome::kStarted);
  fixture.cell->InquireAll(WorkerName("w0"));
  REQUIRE(fixture.workers.reports.size() == 1);
  CHECK(fixture.workers.reports[0].fresh_connection);
  fixture.workers.reports[0].answer(
      fixture.MakeReport(task, WorkerTaskState::kFailed));
  CHECK(fixture.LastState(task) == DispatchState::kFailed);
  CHECK(fixture.workers.starts.size() == 1);
}

// Guards against a team at its upper limit that holds up the others.
TEST_CASE("A team at its limit does not block other teams") {
  DispatchFixture fixture(1);
  fixture.at_limit = {TeamName("full")};
  fixture.Submit("a", true, "full");
  const TaskId other = fixture.Submit("b", true, "other");
  REQUIRE(fixture.workers.starts.size() == 1);
  CHECK(fixture.workers.starts[0].task.task == other);
}

// Guards against waiting forever for a worker that is cut off: after the lease
// has lapsed the worker has stopped the task.
TEST_CASE("A lapsed lease ends the task or runs it elsewhere") {
  const bool idempotent = GENERATE(true, false);
  DispatchFixture fixture(2);
  const TaskId task = fixture.Submit("t", idempotent);
  fixture.AnswerStart(0, StartOutcome::kStarted);
  fixture.directory.OnFailure(
      DispatchFixture::NameOf(fixture.workers.starts[0].address));
  fixture.loop.RunFor(Milliseconds(400));
  fixture.cell->Tick();
  CHECK(fixture.workers.starts.size() == 1);
  fixture.loop.RunFor(Milliseconds(600));
  fixture.cell->Tick();
  if (idempotent) {
    REQUIRE(fixture.workers.starts.size() == 2);
    CHECK(fixture.workers.starts[1].address !=
          fixture.workers.starts[0].address);
  } else {
    CHECK(fixture.LastState(task) == DispatchState::kUnknown);
  }
}

// Guards against the loss of the work that a checkpoint holds.
TEST_CASE("A checkpointed task resumes from its checkpoint") {
  DispatchFixture fixture(1);
  const TaskId task = fixture.Submit("t", false);
  fixture.AnswerStart(0, StartOutcome::kStarted);
  TaskReport report = fixture.MakeReport(task, WorkerTaskState::kCheckpointed);
  report.checkpoint = "half";
  fixture.cell->OnReport(WorkerName("w0"), report);
  REQUIRE(fixture.workers.starts.size() == 2);
  CHECK(fixture.workers.starts[1].task.checkpoint == "half");
  CHECK(fixture.limits_held == 1);
}

// Guards against a worker that fails everything at once and, being always
// empty, gets most of the work.
TEST_CASE("A worker that fails every task at once gets little work") {
  DispatchFixture fixture(5);
  std::size_t at_bad = 0;
  for (int i = 0; i < 200; ++i) {
    const TaskId task = fixture.Submit("t" + std::to_string(i));
    const std::size_t last = fixture.workers.starts.size() - 1;
    const WorkerName worker =
        DispatchFixture::NameOf(fixture.workers.starts[last].address);
    fixture.AnswerStart(last, StartOutcome::kStarted);
    const bool bad = worker == WorkerName("w0");
    at_bad += bad ? 1 : 0;
    TaskReport report = fixture.MakeReport(
        task, bad ? WorkerTaskState::kFailed : WorkerTaskState::kDone);
    report.run_time = Milliseconds(bad ? 1 : 500);
    report.digest =
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    fixture.cell->OnReport(worker, report);
  }
  CHECK(at_bad < 20);
  CHECK(fixture.Logged("decision=worker"));
}

// Guards against an ejected worker that still gets tasks, and against an
// ejection without a line that gives its reason.
TEST_CASE("An ejected worker gets no task and the reason is logged") {
  DispatchFixture fixture(5);
  CellWorkers cell(&fixture.context, &fixture.directory, PoolName("pool"),
                   ZoneName("zone"));
  cell.SetWorkerSize(WorkerResources{8, 8, 0, 2, 64});
  cell.Refresh();
  for (int i = 0; i < 50; ++i) {
    const int worker = i % 5;
    cell.OnEnd(WorkerName("w" + std::to_string(worker)), worker == 0,
               Milliseconds(10));
  }
  cell.Evaluate();
  CHECK(fixture.Logged("decision=outlier worker=w0"));
  CHECK(fixture.Logged("state=ejected failure_percent=100"));
  for (int i = 0; i < 50; ++i) {
    CHECK(cell.Choose({}).worker != WorkerName("w0"));
  }
}

}  // namespace
}  // namespace daisyroad

#include <catch2/catch.hpp>

#include "UnitTests/Dispatch/dispatch_fixture.h"

namespace daisyroad {
namespace {

const Error kLost{Errc::kTimeout, "worker.start", "", "no answer"};

// Guards against starting a task twice when the worker received the start but
// its reply was lost.
TEST_CASE("After a lost start reply the task is queried by identifier") {
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

// Guards against losing a task, or starting it twice, when its start request
// may still arrive: it is queued again only after the start deadline has passed
// on the worker's clock.
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

// Guards against losing an idempotent task, and against a second run of a
// non-idempotent one, after a restarted worker has lost all record of it.
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

// Guards against losing a task whose start request reached the worker too late.
TEST_CASE("An expired start is queued again and retried") {
  DispatchFixture fixture(1);
  const TaskId task = fixture.Submit("t", false);
  fixture.AnswerStart(0, StartOutcome::kExpired);
  REQUIRE(fixture.workers.starts.size() == 2);
  CHECK(fixture.workers.starts[1].task.task == task);
  CHECK(fixture.cell->Running(TeamName("team")) == 1);
  CHECK(fixture.cell->Waiting(TeamName("team")) == 0);
}

// Guards against starting a queued task after the instance has lost its
// authority, for example because its zone was taken out of service.
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
// lost its cell to an instance that joined: it stopped polling the workers, so
// it had no clock sample from which to compute a start deadline
// (load_lost_worker_answers, seed 202).
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

// Guards against tasks that wait until their deadline in a zone that was taken
// out of service.
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

// Guards against a second run of a task, or a lost result, when the connection
// on which it was started stays open but carries no more data.
TEST_CASE("Tasks on a silent connection are queried by identifier") {
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

// Guards against a team at its upper limit that delays other teams.
TEST_CASE("A team at its limit does not block other teams") {
  DispatchFixture fixture(1);
  fixture.teams_at_limit = {TeamName("full")};
  fixture.Submit("a", true, "full");
  const TaskId other = fixture.Submit("b", true, "other");
  REQUIRE(fixture.workers.starts.size() == 1);
  CHECK(fixture.workers.starts[0].task.task == other);
}

// Guards against waiting forever for a worker that is unreachable. Once the
// lease has lapsed, the worker has stopped the task.
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

// Guards against losing the progress that a checkpoint holds.
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

// Guards against a worker that fails every task immediately and, since it is
// always idle, receives most of the tasks.
TEST_CASE("A worker that fails every task at once gets little work") {
  DispatchFixture fixture(5);
  std::size_t sent_to_bad_worker = 0;
  for (int i = 0; i < 200; ++i) {
    const TaskId task = fixture.Submit("t" + std::to_string(i));
    const std::size_t last = fixture.workers.starts.size() - 1;
    const WorkerName worker =
        DispatchFixture::NameOf(fixture.workers.starts[last].address);
    fixture.AnswerStart(last, StartOutcome::kStarted);
    const bool is_bad_worker = worker == WorkerName("w0");
    sent_to_bad_worker += is_bad_worker ? 1 : 0;
    TaskReport report =
        fixture.MakeReport(task, is_bad_worker ? WorkerTaskState::kFailed
                                               : WorkerTaskState::kDone);
    report.run_time = Milliseconds(is_bad_worker ? 1 : 500);
    report.digest =
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    fixture.cell->OnReport(worker, report);
  }
  CHECK(sent_to_bad_worker < 20);
  CHECK(fixture.Logged("decision=worker"));
}

// Guards against an ejected worker that still receives tasks, and against an
// ejection without a log line that gives the reason.
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

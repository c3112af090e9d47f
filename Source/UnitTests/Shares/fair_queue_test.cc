#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "Core/Shares/fair_queue.h"

namespace daisyroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Resources kWorker{64.0, 128.0, 0.0, 10.0};
const TeamName kA("a");
const TeamName kB("b");

// One worker with ten slots and two teams of equal weight.
struct Cell {
  FairQueue queue{FairQueueSettings{}};
  MonotonicTime now{seconds(1000)};
  double free = 10.0;
  int number = 0;

  Cell() { this->queue.SetCapacity(kWorker, kWorker, this->now); }

  FairTask Make(const TeamName& team, TaskClass task_class) {
    FairTask task;
    task.id = TaskId(team.str() + std::to_string(this->number++));
    task.team = team;
    task.queue = QueueName("q");
    task.task_class = task_class;
    task.declared = {1.0, 1.0, 0.0, 1.0};
    task.checkpointable = task_class == TaskClass::kLong;
    return task;
  }
  void Add(const TeamName& team, TaskClass task_class, int count) {
    for (int i = 0; i < count; ++i) {
      REQUIRE(this->queue.Enqueue(this->Make(team, task_class), this->now));
    }
  }
  std::optional<FairTask> Next() {
    Resources room = kWorker;
    room.slots = this->free;
    std::optional<FairTask> task = this->queue.Next(this->now, room);
    this->free -= task.has_value() ? 1.0 : 0.0;
    return task;
  }
  std::vector<FairTask> Fill() {
    std::vector<FairTask> started;
    while (std::optional<FairTask> task = this->Next()) {
      started.push_back(*task);
    }
    return started;
  }
  void End(const TaskId& id, TaskEnd end) {
    this->queue.Finished(id, end, {1.0, 1.0, 0.0, 1.0}, seconds(1), this->now);
    this->free += 1.0;
  }
  std::vector<ReclaimDecision> Reclaim() {
    Resources room = kWorker;
    room.slots = this->free;
    return this->queue.Reclaim(this->now, room);
  }
};

// Guards against urgent work that waits behind the long work of its own team.
TEST_CASE("Urgent work starts before long work that came earlier") {
  Cell cell;
  cell.Add(kA, TaskClass::kLong, 20);
  cell.Add(kA, TaskClass::kUrgent, 1);
  const std::vector<FairTask> started = cell.Fill();
  REQUIRE(started.size() == 10);
  // The first slot is the guaranteed minimum of long work.
  CHECK(started[1].task_class == TaskClass::kUrgent);
}

// Guards against long work that starves behind a flood of urgent work.
TEST_CASE("Long work keeps its minimum of slots") {
  Cell cell;
  cell.Add(kA, TaskClass::kUrgent, 50);
  cell.Add(kB, TaskClass::kLong, 5);
  int long_started = 0;
  for (const FairTask& task : cell.Fill()) {
    long_started += task.task_class == TaskClass::kLong ? 1 : 0;
  }
  CHECK(long_started >= 1);
}

// Guards against a team that returns and waits for long tasks to end.
TEST_CASE("Borrowed long work is checkpointed when its owner returns") {
  Cell cell;
  cell.Add(kA, TaskClass::kLong, 30);
  REQUIRE(cell.Fill().size() == 10);
  cell.now += seconds(20);
  cell.Add(kB, TaskClass::kLong, 30);
  int moved = 0;
  // Over one second the allowance and the gap let the share follow.
  for (int i = 0; i < 100; ++i) {
    for (const ReclaimDecision& decision : cell.Reclaim()) {
      CHECK(decision.action == ReclaimAction::kCheckpoint);
      CHECK(decision.from == kA);
      CHECK(decision.to == kB);
      cell.End(decision.task, TaskEnd::kCheckpointed);
      ++moved;
    }
    cell.Fill();
    cell.now += milliseconds(10);
  }
  CHECK(moved >= 4);
  CHECK(cell.queue.Running(kB) >= 4);
  CHECK(cell.queue.Running(kA) >= 4);
}

// Guards against a team over its credit whose urgent work waits while its own
// long work holds its share (urgent p99 of 27 s in the bench).
TEST_CASE("Overdue urgent work takes the room of its team's long work") {
  FairQueueSettings settings;
  settings.urgent_credit = Duration::zero();
  settings.urgent_credit_tasks = 0.0;
  Cell cell;
  cell.queue = FairQueue(settings);
  cell.queue.SetCapacity(kWorker, kWorker, cell.now);
  cell.Add(kA, TaskClass::kLong, 30);
  cell.Add(kB, TaskClass::kLong, 30);
  REQUIRE(cell.Fill().size() == 10);
  cell.now += seconds(2);
  cell.Add(kA, TaskClass::kUrgent, 2);
  CHECK(cell.Reclaim().empty());  // the patience is not over
  cell.now += seconds(2);
  const std::vector<ReclaimDecision> decisions = cell.Reclaim();
  REQUIRE(decisions.size() == 2);
  for (const ReclaimDecision& decision : decisions) {
    CHECK(decision.from == kA);
    cell.End(decision.task, TaskEnd::kCheckpointed);
    CHECK(cell.Next()->task_class == TaskClass::kUrgent);
  }
}

// Guards against a second decision for room that is already being freed.
TEST_CASE("A reclaim in progress is not asked for again") {
  Cell cell;
  cell.Add(kA, TaskClass::kLong, 30);
  cell.Fill();
  cell.now += seconds(2);
  cell.Add(kB, TaskClass::kUrgent, 1);
  cell.now += seconds(2);
  const std::vector<ReclaimDecision> first = cell.Reclaim();
  REQUIRE(!first.empty());
  cell.queue.ReclaimFailed(first[0].task, cell.now);
  CHECK(cell.Reclaim().size() <= 1);  // another victim for the one that failed
  CHECK(cell.Reclaim().empty());
}

// Guards against throttled tasks that stay slow after the pressure is gone.
TEST_CASE("Tasks that cannot be checkpointed are throttled and restored") {
  Cell cell;
  for (int i = 0; i < 8; ++i) {
    FairTask task = cell.Make(kA, TaskClass::kLong);
    task.checkpointable = false;
    task.declared.cores = 8.0;
    REQUIRE(cell.queue.Enqueue(task, cell.now));
  }
  REQUIRE(cell.Fill().size() == 8);
  cell.now += seconds(20);
  FairTask waiting = cell.Make(kB, TaskClass::kLong);
  REQUIRE(cell.queue.Enqueue(waiting, cell.now));
  const std::vector<ReclaimDecision> decisions = cell.Reclaim();
  REQUIRE(!decisions.empty());
  CHECK(decisions[0].action == ReclaimAction::kThrottle);
  CHECK(decisions[0].ToLog().line().find("action=throttle from=a to=b") !=
        std::string::npos);
  cell.queue.Cancel(waiting.id, cell.now);
  const std::vector<ReclaimDecision> restored = cell.Reclaim();
  REQUIRE(restored.size() == decisions.size());
  CHECK(restored[0].action == ReclaimAction::kRestore);
}

// Guards against work that is accepted although it cannot start in time or at
// all.
TEST_CASE("Work that cannot start in time is refused with the reason") {
  Cell cell;
  FairTask task = cell.Make(kA, TaskClass::kLong);
  task.declared.cores = 65.0;
  CHECK(cell.queue.Enqueue(task, cell.now).error().code ==
        Errc::kInvalidArgument);
  cell.Add(kA, TaskClass::kLong, 100);
  task = cell.Make(kA, TaskClass::kLong);
  task.deadline = cell.now + seconds(10);
  CHECK(cell.queue.Enqueue(task, cell.now).error().code == Errc::kTimeout);
  // Urgent work does not wait behind the long work.
  task = cell.Make(kA, TaskClass::kUrgent);
  task.deadline = cell.now + seconds(10);
  CHECK(cell.queue.Enqueue(task, cell.now));
  CHECK(cell.queue.Enqueue(task, cell.now).error().code == Errc::kConflict);
}

// Guards against unbounded memory under overload.
TEST_CASE("A full queue refuses and accepts again after cancellations") {
  Cell cell;
  cell.Add(kA, TaskClass::kLong, 10000);
  FairTask task = cell.Make(kB, TaskClass::kUrgent);
  CHECK(cell.queue.Enqueue(task, cell.now).error().code ==
        Errc::kResourceExhausted);
  for (int i = 0; i < 10000; ++i) {
    CHECK(cell.queue.Cancel(TaskId("a" + std::to_string(i)), cell.now));
  }
  CHECK(cell.queue.waiting_count() == 0);
  CHECK(cell.queue.Enqueue(task, cell.now));
}

// Guards against a start after the deadline.
TEST_CASE("Expired tasks are dropped and reported") {
  Cell cell;
  FairTask task = cell.Make(kA, TaskClass::kUrgent);
  task.deadline = cell.now + seconds(1);
  REQUIRE(cell.queue.Enqueue(task, cell.now));
  cell.now += seconds(2);
  CHECK_FALSE(cell.Next().has_value());
  CHECK(cell.queue.TakeExpired() == std::vector<TaskId>{task.id});
  CHECK(cell.queue.waiting_count() == 0);
}

// Guards against a large task at the head that blocks all smaller ones.
TEST_CASE("A task that does not fit does not block the next one") {
  Cell cell;
  FairTask large = cell.Make(kA, TaskClass::kUrgent);
  large.declared.slots = 10.0;
  cell.free = 5.0;
  REQUIRE(cell.queue.Enqueue(large, cell.now));
  cell.Add(kA, TaskClass::kUrgent, 1);
  CHECK(cell.Next().has_value());
}

// Guards against shares and wait estimates of a cell size that is no longer
// true after workers were lost or came back.
TEST_CASE("Usage and waits follow the capacity of the cell") {
  Cell cell;
  cell.Add(kA, TaskClass::kUrgent, 15);
  for (int i = 0; i < 5; ++i) {
    REQUIRE(cell.Next().has_value());
  }
  CHECK(cell.queue.Usage(kA) == Approx(0.5));
  const Duration wait = cell.queue.EstimatedWait(kA, TaskClass::kUrgent);
  // Ten tasks of one second on ten slots; the tolerance is for rounding.
  CHECK(std::chrono::abs(wait - seconds(1)) < std::chrono::microseconds(1));
  cell.queue.SetCapacity(kWorker + kWorker, kWorker, cell.now);
  CHECK(cell.queue.Usage(kA) == Approx(0.25));
  CHECK(std::chrono::abs(cell.queue.EstimatedWait(kA, TaskClass::kUrgent) -
                         wait / 2) < std::chrono::microseconds(1));
  // A cell without workers neither divides by zero nor starts work.
  cell.queue.SetCapacity({}, {}, cell.now);
  CHECK(cell.queue.Usage(kA) < 1e-9);
  CHECK_FALSE(cell.queue.Next(cell.now, {}).has_value());
  CHECK(cell.Reclaim().empty());
  FairTask task = cell.Make(kB, TaskClass::kUrgent);
  CHECK(cell.queue.Enqueue(task, cell.now).error().code ==
        Errc::kInvalidArgument);
  task.id = TaskId();
  CHECK_FALSE(cell.queue.Enqueue(task, cell.now).ok());
}

// Guards against quiet teams over their share that lower what others are
// entitled to, and against unbounded memory of old deficits.
TEST_CASE("Entitlements fill progressively and deficits are bounded") {
  ShareLedger ledger;
  const std::size_t quiet = ledger.AddTeam(1.0);
  const std::size_t small = ledger.AddTeam(1.0);
  const std::size_t waiting = ledger.AddTeam(2.0);
  ledger.AddUsage(quiet, 0.8);  // borrowed, nothing waiting
  ledger.AddUsage(small, 0.1);  // below its share
  ledger.SetWaiting(waiting, true);
  CHECK(ledger.Entitlement(waiting) == Approx(0.9 * 2 / 3));
  ledger.Accrue(MonotonicTime(seconds(1)));
  ledger.Accrue(MonotonicTime(seconds(1000)));
  CHECK(ledger.Deficit(waiting) == Approx(30 * 0.6));
}

// Guards against a team at its upper limit whose waiting tasks keep other teams
// from starting, or that piles up a claim while it cannot start.
TEST_CASE("A blocked team does not hold up other teams") {
  Cell cell;
  cell.Add(kA, TaskClass::kUrgent, 3);
  cell.Add(kB, TaskClass::kLong, 2);
  cell.queue.SetBlocked(kA, true, cell.now);
  const std::vector<FairTask> started = cell.Fill();
  REQUIRE(started.size() == 2);
  CHECK(started[0].team == kB);
  CHECK(started[1].team == kB);
  cell.now += seconds(20);
  CHECK(cell.queue.Next(cell.now, kWorker) == std::nullopt);
  CHECK(cell.queue.Deficit(kA) < 0.01);
  cell.queue.SetBlocked(kA, false, cell.now);
  CHECK(cell.Fill().size() == 3);
}

}  // namespace
}  // namespace daisyroad

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/json.h"
#include "Core/Jobs/pool_scheduler.h"
#include "UnitTests/Jobs/job_builder.h"

namespace daisyroad {
namespace {

const MonotonicTime kStart(std::chrono::hours(1));
const WallTime kWallStart(std::chrono::hours(1000));
const PoolName kPool("pool");

WorkerListing MakeListing(const std::string& name,
                          const std::string& zone = "z") {
  WorkerListing listing;
  listing.name = WorkerName(name);
  listing.pool = kPool;
  listing.zone = ZoneName(zone);
  listing.rack = RackName("rack-" + name);
  listing.labels = {"a", "rack-" + name};
  listing.capacity = Resources{4000, 8000, 0};
  return listing;
}

template <typename T>
std::vector<T> OrdersOfType(const std::vector<Order>& orders) {
  std::vector<T> selected;
  for (const Order& order : orders) {
    if (const T* const found = std::get_if<T>(&order)) {
      selected.push_back(*found);
    }
  }
  return selected;
}

// A scheduler with the given workers, which are listed and remembered but have
// not reported yet.
class Fixture {
 public:
  explicit Fixture(const std::vector<WorkerListing>& workers,
                   Milliseconds unknown_runs = Milliseconds(0),
                   const SchedulerSettings& settings = SchedulerSettings())
      : scheduler(kPool, settings, 1, kStart + unknown_runs) {
    std::set<WorkerName> names;
    for (const WorkerListing& worker : workers) {
      this->listing[worker.name] = worker;
      names.insert(worker.name);
    }
    this->scheduler.SetListing(this->listing, kStart);
    this->scheduler.SetRemembered(names);
  }

  void SendReport(const std::string& worker,
                  const std::vector<ActiveRun>& active = {},
                  const std::vector<RunEnd>& ended = {}) {
    RunReport report;
    report.worker_clock = Milliseconds(1000) + this->elapsed;
    report.incarnation = 7;
    report.active = active;
    report.ended = ended;
    this->scheduler.OnReport(WorkerName(worker), report, this->Now(),
                             this->Now());
  }
  void SendAllReports() {
    for (const std::pair<const WorkerName, WorkerListing>& entry :
         this->listing) {
      this->SendReport(entry.first.str());
    }
  }
  std::vector<Order> Orders() {
    return this->scheduler.TakeOrders(this->Now(), kWallStart + this->elapsed);
  }
  PoolLoad Load() const {
    return this->scheduler.Load(this->Now(), kWallStart + this->elapsed);
  }
  std::vector<StartRun> TakeStarts() {
    return OrdersOfType<StartRun>(this->Orders());
  }
  void AdvanceTime(Milliseconds duration) { this->elapsed += duration; }
  MonotonicTime Now() const { return kStart + this->elapsed; }
  void Add(const AcceptedJob& job, bool may_have_runs = false) {
    this->scheduler.AddJob(job, JobProgress(), may_have_runs, this->Now());
  }
  void ConfirmStart(const StartRun& order) {
    this->scheduler.OnStart(order, StartOutcome::kStarted, std::nullopt,
                            this->Now());
  }

  std::map<WorkerName, WorkerListing> listing;
  Milliseconds elapsed{0};
  PoolScheduler scheduler;
};

RunEnd Done(std::int64_t sequence, const StartRun& order) {
  return RunEnd{sequence, order.task, order.run, EndKind::kDone, ""};
}

ActiveRun ActiveRunOf(const StartRun& order) {
  ActiveRun active;
  active.task = order.task;
  active.run = order.run;
  active.percent = 100;
  active.load = 10;
  return active;
}

// Guards against starting tasks on workers whose runs are still unknown.
TEST_CASE("Nothing starts on a worker that has not reported") {
  Fixture fixture({MakeListing("w1")});
  fixture.Add(JobBuilder("j").Step(1).Build());
  const std::vector<Order> orders = fixture.Orders();
  CHECK(OrdersOfType<StartRun>(orders).empty());
  CHECK(OrdersOfType<AskReport>(orders).size() == 1);
  fixture.SendAllReports();
  CHECK(fixture.TakeStarts().size() == 1);
}

// Guards against runs on workers that the next scheduler would not ask.
TEST_CASE("Nothing starts on a worker that is not remembered") {
  Fixture fixture({MakeListing("w1")});
  fixture.SendAllReports();
  fixture.scheduler.SetRemembered({});
  fixture.Add(JobBuilder("j").Step(1).Build());
  CHECK(fixture.TakeStarts().empty());
}

// Guards against starting a step before the steps that it depends on are done.
TEST_CASE("A step waits for the steps that it depends on") {
  Fixture fixture({MakeListing("w1")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(2).Step(1).After(0).Build());
  const std::vector<StartRun> first = fixture.TakeStarts();
  REQUIRE(first.size() == 2);
  fixture.ConfirmStart(first[0]);
  fixture.ConfirmStart(first[1]);
  fixture.SendReport("w1", {ActiveRunOf(first[1])}, {Done(1, first[0])});
  CHECK(fixture.TakeStarts().empty());
  fixture.SendReport("w1", {}, {Done(1, first[0]), Done(2, first[1])});
  const std::vector<StartRun> second = fixture.TakeStarts();
  REQUIRE(second.size() == 1);
  CHECK(second[0].task.step == 1);
}

// Guards against reporting a job as complete before that is saved: a later
// scheduler would run it again.
TEST_CASE("A job is reported as complete once its status is saved") {
  Fixture fixture({MakeListing("w1")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(1).Build());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  fixture.ConfirmStart(starts.at(0));
  fixture.SendReport("w1", {}, {Done(1, starts[0])});
  CHECK(fixture.scheduler.StatusOf(JobId("j")) == JobStatus::kRunning);
  const std::vector<std::pair<JobId, JobProgress>> unsaved =
      fixture.scheduler.TakeUnsaved(10, fixture.Now());
  REQUIRE(unsaved.size() == 1);
  CHECK(unsaved[0].second.status == JobStatus::kCompleted);
  // The end must not be acknowledged to the worker before that either.
  fixture.AdvanceTime(Milliseconds(400));
  for (const AskReport& ask : OrdersOfType<AskReport>(fixture.Orders())) {
    CHECK(ask.acknowledged == 0);
  }
  fixture.scheduler.OnSaved({JobId("j")});
  CHECK(fixture.scheduler.StatusOf(JobId("j")) == JobStatus::kCompleted);
}

// Guards against orders of a replaced scheduler to a worker that has restarted:
// its new process has seen no fence of the successor, which runs the task too
// (seed 4929 of the randomized simulation).
TEST_CASE("A scheduler that may be replaced starts nothing on stale workers") {
  Fixture fixture({MakeListing("w1")});
  fixture.SendAllReports();
  fixture.scheduler.SetSole(false);
  fixture.scheduler.SetSole(true);
  fixture.Add(JobBuilder("j").Step(1).Build());
  fixture.scheduler.SetSole(false);
  SECTION("that have not reported lately") {
    fixture.AdvanceTime(SchedulerSettings().unled_report_window +
                        Milliseconds(1));
    CHECK(fixture.TakeStarts().empty());
    fixture.SendReport("w1");
    CHECK(fixture.TakeStarts().size() == 1);
  }
  SECTION("that have restarted since") {
    RunReport report;
    report.worker_clock = Milliseconds(5);
    report.incarnation = 8;
    fixture.scheduler.OnReport(WorkerName("w1"), report, fixture.Now(),
                               fixture.Now());
    CHECK(fixture.TakeStarts().empty());
    fixture.scheduler.SetSole(true);
    CHECK(fixture.TakeStarts().size() == 1);
  }
}

// Guards against start orders that pile up in front of a scheduler's processor
// in a burst, time out and are repeated, so that ever fewer get through.
TEST_CASE("Starts wait while many others are not answered yet") {
  std::vector<WorkerListing> workers;
  for (int i = 0; i < 200; ++i) {
    workers.push_back(MakeListing("w" + std::to_string(i)));
  }
  Fixture fixture(workers);
  fixture.SendAllReports();
  for (int i = 0; i < 80; ++i) {
    fixture.Add(JobBuilder("j" + std::to_string(i)).Step(8, 1000).Build());
  }
  const int limit = SchedulerSettings().max_unanswered_starts;
  std::vector<StartRun> starts = fixture.TakeStarts();
  CHECK(static_cast<int>(starts.size()) == limit);
  CHECK(fixture.TakeStarts().empty());
  for (int i = 0; i < 10; ++i) {
    fixture.ConfirmStart(starts[i]);
  }
  CHECK(fixture.TakeStarts().size() == 10);
}

// Guards against a second run while an unanswered start may still take effect.
TEST_CASE("An unanswered start is stopped before the task is started again") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(1).Build());
  const StartRun start = fixture.TakeStarts().at(0);
  fixture.scheduler.OnStart(start, StartOutcome::kUnknown, std::nullopt,
                            fixture.Now());
  const std::vector<Order> orders = fixture.Orders();
  REQUIRE(OrdersOfType<StopRun>(orders).size() == 1);
  CHECK(OrdersOfType<StartRun>(orders).empty());
  fixture.scheduler.OnStop(OrdersOfType<StopRun>(orders)[0], true,
                           fixture.Now(), fixture.Now());
  CHECK(fixture.TakeStarts().empty());
  fixture.AdvanceTime(Milliseconds(10));
  fixture.SendReport(start.worker.str());
  const std::vector<StartRun> again = fixture.TakeStarts();
  REQUIRE(again.size() == 1);
  CHECK(again[0].run > start.run);
}

// Guards against a second run while the first may continue under its lease.
TEST_CASE("The runs of a silent worker are dropped when its lease expires") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(1).Build());
  const StartRun start = fixture.TakeStarts().at(0);
  fixture.ConfirmStart(start);
  for (int i = 0; i < 2; ++i) {
    fixture.scheduler.OnReportFailed(start.worker, fixture.Now());
  }
  fixture.AdvanceTime(Milliseconds(6000));
  CHECK(fixture.TakeStarts().empty());
  fixture.AdvanceTime(Milliseconds(400));
  const std::vector<StartRun> again = fixture.TakeStarts();
  REQUIRE(again.size() == 1);
  CHECK(again[0].worker != start.worker);
}

// Regression test (TWICE in a partitioned zone): the scheduler in the zone
// dropped runs on unreachable workers that its successor had adopted.
TEST_CASE("Expired leases drop no runs while another scheduler may lead") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(1).Build());
  const StartRun start = fixture.TakeStarts().at(0);
  fixture.ConfirmStart(start);
  fixture.scheduler.SetSole(false);
  for (int i = 0; i < 2; ++i) {
    fixture.scheduler.OnReportFailed(start.worker, fixture.Now());
  }
  fixture.AdvanceTime(Milliseconds(7000));
  CHECK(fixture.TakeStarts().empty());
  fixture.scheduler.SetSole(true);
  CHECK(fixture.TakeStarts().size() == 1);
}

// Regression test (TWICE at a change of the scheduler): a worker that was no
// longer listed still ran a task under its lease.
TEST_CASE("A new scheduler waits for remembered workers that are not listed") {
  Fixture fixture({MakeListing("w1")}, Milliseconds(6300));
  fixture.scheduler.ExpectRunsOn({MakeListing("w2")}, fixture.Now());
  fixture.SendAllReports();
  fixture.Add(JobBuilder("old").Step(1).Build(), true);
  fixture.Add(JobBuilder("new").Step(1).Build(), false);
  std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.job == JobId("new"));
  SECTION("until the worker reports") {
    fixture.AdvanceTime(Milliseconds(100));
    fixture.SendReport("w2");
    starts = fixture.TakeStarts();
  }
  SECTION("or its process is known to have ended") {
    fixture.scheduler.OnWorkerGone(WorkerName("w2"), fixture.Now(),
                                   fixture.Now());
    starts = fixture.TakeStarts();
  }
  SECTION("or its leases have expired") {
    fixture.AdvanceTime(Milliseconds(6400));
    starts = fixture.TakeStarts();
  }
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.job == JobId("old"));
}

// Guards against tasks that last wait for workers that no earlier scheduler has
// used (LOST after outages of the store).
TEST_CASE("A new scheduler does not wait for workers that were not stored") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")}, Milliseconds(6300));
  fixture.scheduler.ExpectRunsOn({MakeListing("w1")}, fixture.Now());
  fixture.Add(JobBuilder("old").Step(1).Build(), true);
  CHECK(fixture.TakeStarts().empty());
  fixture.SendReport("w1");
  CHECK(fixture.TakeStarts().size() == 1);
}

// Guards against losing runs at a change of the scheduler.
TEST_CASE("A new scheduler adopts the runs that workers report") {
  Fixture fixture({MakeListing("w1")}, Milliseconds(6300));
  fixture.Add(JobBuilder("j").Step(1).Build(), true);
  StartRun earlier;
  earlier.task = TaskRef{JobId("j"), 0, 0, 0};
  earlier.run = 3;
  fixture.SendReport("w1", {ActiveRunOf(earlier)});
  CHECK(fixture.TakeStarts().empty());
  fixture.SendReport("w1", {}, {Done(1, earlier)});
  fixture.scheduler.TakeUnsaved(10, fixture.Now());
  fixture.scheduler.OnSaved({JobId("j")});
  CHECK(fixture.scheduler.StatusOf(JobId("j")) == JobStatus::kCompleted);
}

// Guards against keeping runs from before a worker restarted.
TEST_CASE("A restarted worker has none of its earlier runs") {
  Fixture fixture({MakeListing("w1")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(1).Build());
  const StartRun start = fixture.TakeStarts().at(0);
  fixture.ConfirmStart(start);
  RunReport report;
  report.worker_clock = Milliseconds(5);
  report.incarnation = 8;
  fixture.scheduler.OnReport(WorkerName("w1"), report, fixture.Now(),
                             fixture.Now());
  const std::vector<StartRun> again = fixture.TakeStarts();
  REQUIRE(again.size() == 1);
  CHECK(again[0].run > start.run);
}

// Guards against acknowledging unseen ends of a restarted worker with sequence
// numbers from before the restart (seed 215 of the randomized simulation).
TEST_CASE("A worker clock that goes back indicates a restart") {
  Fixture fixture({MakeListing("w1")});
  fixture.SendAllReports();
  fixture.AdvanceTime(Milliseconds(5000));
  fixture.Add(JobBuilder("j").Step(2).Build());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  fixture.ConfirmStart(starts.at(0));
  fixture.SendReport("w1", {ActiveRunOf(starts[1])}, {Done(5, starts[0])});
  fixture.scheduler.OnStart(starts[1], StartOutcome::kStarted, Milliseconds(20),
                            fixture.Now());
  const std::vector<AskReport> asks = OrdersOfType<AskReport>(fixture.Orders());
  for (const AskReport& ask : asks) {
    CHECK(ask.acknowledged == 0);
  }
}

// Guards against more attempts than the queue allows.
TEST_CASE("A job fails when a task reaches the queue's limit of attempts") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  QueuePolicy policy;
  policy.max_attempts = 2;
  fixture.scheduler.SetPolicies({{QueueName("queue"), policy}});
  fixture.Add(JobBuilder("j").Step(1).Build());
  for (int attempt = 1; attempt <= 2; ++attempt) {
    const std::vector<StartRun> starts = fixture.TakeStarts();
    REQUIRE(starts.size() == 1);
    fixture.ConfirmStart(starts[0]);
    fixture.SendReport(
        starts[0].worker.str(), {},
        {RunEnd{attempt, starts[0].task, starts[0].run, EndKind::kFailed, ""}});
  }
  CHECK(fixture.TakeStarts().empty());
  const std::vector<std::pair<JobId, JobProgress>> unsaved =
      fixture.scheduler.TakeUnsaved(10, fixture.Now());
  REQUIRE(unsaved.size() == 1);
  CHECK(unsaved[0].second.status == JobStatus::kFailed);
}

// Guards against counting a failure twice: the worker reported it to the
// scheduler that saved it, and again to the next scheduler.
TEST_CASE("A saved failure is not counted again") {
  Fixture fixture({MakeListing("w1")}, Milliseconds(6300));
  QueuePolicy policy;
  policy.max_attempts = 2;
  fixture.scheduler.SetPolicies({{QueueName("queue"), policy}});
  const TaskRef task{JobId("j"), 0, 0, 0};
  JobProgress progress;
  progress.status = JobStatus::kRunning;
  progress.failures[task] = {1};
  fixture.scheduler.AddJob(JobBuilder("j").Step(1).Build(), progress, true,
                           fixture.Now());
  fixture.SendReport("w1", {}, {RunEnd{1, task, 1, EndKind::kFailed, ""}});
  CHECK(fixture.TakeStarts().size() == 1);
}

// Regression test (AVAIL in izarra-pendulo trouble-2): a new scheduler reported
// a worker as empty before the worker had reported to it, and the machine was
// moved to another pool.
TEST_CASE("A worker that has not reported does not count as empty") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendReport("w1");
  fixture.Orders();
  CHECK(fixture.Load().workers.contains(WorkerName("w1")));
  CHECK_FALSE(fixture.Load().workers.contains(WorkerName("w2")));
}

// Guards against machines that arrive seconds after a burst began: while the
// pool had free capacity, the open jobs showed less than half of the demand.
TEST_CASE("The load includes arriving work, not only remaining work") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  for (int i = 0; i < 8; ++i) {
    // Two core-seconds every 100 ms.
    fixture.Add(JobBuilder("j" + std::to_string(i)).Step(4).Build());
    fixture.AdvanceTime(Milliseconds(100));
    fixture.Orders();
  }
  // Seven of eight jobs in 800 ms count; the largest is excluded.
  CHECK(fixture.Load().needed >= 17500);
  fixture.AdvanceTime(Milliseconds(1000));
  fixture.Orders();
  CHECK(fixture.Load().needed < 17500);
}

// Guards against requesting machines for the current demand when a burst
// doubles it before they arrive.
TEST_CASE("The load follows the trend of arriving work") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  const Milliseconds window = SchedulerSettings().demand_window;
  int jobs = 0;
  const std::function<std::int64_t(int)> add_jobs = [&](int count) {
    for (int i = 0; i < count; ++i) {
      fixture.Add(JobBuilder("j" + std::to_string(jobs++)).Step(4).Build());
      fixture.AdvanceTime(window / count);
      fixture.Orders();
    }
    return fixture.Load().needed;
  };
  add_jobs(8);
  const std::int64_t steady = add_jobs(8);
  const std::int64_t rising = add_jobs(16);
  CHECK(rising >= 3 * steady);
  CHECK(rising <= 5 * steady);
}

// Guards against twice the machines for demand that is steady: a few jobs more
// than in the window before look like a trend, whenever jobs are large.
TEST_CASE("Chance is not taken for a trend of arriving work") {
  const std::function<std::int64_t(bool)> needed = [](bool is_clear) {
    SchedulerSettings settings;
    settings.requires_clear_trend = is_clear;
    Fixture fixture({MakeListing("w1")}, Milliseconds(0), settings);
    for (int i = 0; i < 20; ++i) {
      fixture.Add(JobBuilder("j" + std::to_string(i)).Step(4).Build());
      // Eight jobs in the first window and twelve in the second.
      fixture.AdvanceTime(settings.demand_window / (i < 8 ? 8 : 12));
      fixture.Orders();
    }
    return fixture.Load().needed;
  };
  CHECK(needed(true) < 30000);   // eleven jobs of two core-seconds in 0.8 s
  CHECK(needed(false) > 50000);  // doubled
}

// Regression test (TWICE in vpl-ajot scale-1): after a partition, a replaced
// scheduler learned of a new job before it learned of its successor, which had
// already started the job on a worker that the replaced one did not use.
TEST_CASE("A job added while another scheduler may lead does not start") {
  Fixture fixture({MakeListing("w1")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("known").Step(1).Build());
  fixture.scheduler.SetSole(false);
  fixture.Add(JobBuilder("new").Step(1).Build());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.job == JobId("known"));
  fixture.scheduler.SetSole(true);
  CHECK(fixture.TakeStarts().size() == 1);
}

// Regression test (AVAIL in vpl-ajot-grown scale-2): a service task was evicted
// at the moment when another one that had been evicted was first reported at
// full speed.
TEST_CASE("A service task counts as unavailable for a while after it moved") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2"), MakeListing("w3"),
                   MakeListing("w4")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Service(3, 1).Build());
  std::set<WorkerName> hosts;
  for (const StartRun& start : fixture.TakeStarts()) {
    fixture.ConfirmStart(start);
    fixture.SendReport(start.worker.str(), {ActiveRunOf(start)});
    hosts.insert(start.worker);
  }
  fixture.scheduler.SetVacating(hosts, {});
  CHECK(OrdersOfType<StopRun>(fixture.Orders()).empty());
  fixture.AdvanceTime(SchedulerSettings().min_ready_duration);
  CHECK(OrdersOfType<StopRun>(fixture.Orders()).size() == 1);
}

// Guards against planned work that exceeds the disruption budget.
TEST_CASE("Service tasks are evicted within their disruption budget") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2"), MakeListing("w3"),
                   MakeListing("w4")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Service(3, 1).Build());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 3);
  std::set<WorkerName> hosts;
  for (const StartRun& start : starts) {
    fixture.ConfirmStart(start);
    fixture.SendReport(start.worker.str(), {ActiveRunOf(start)});
    hosts.insert(start.worker);
  }
  CHECK(hosts.size() == 3);
  hosts.erase(starts[2].worker);
  fixture.AdvanceTime(SchedulerSettings().min_ready_duration);
  fixture.scheduler.SetVacating(hosts, {});
  const std::vector<StopRun> stops = OrdersOfType<StopRun>(fixture.Orders());
  CHECK(stops.size() == 1);
}

// Guards against waves that end late because a step whose budget allows one
// move at a time begins to move only when its workers are emptied.
TEST_CASE("Service tasks leave early where planned work is due") {
  const bool leaves_early = GENERATE(true, false);
  const bool is_other_due = GENERATE(true, false);
  SchedulerSettings settings;
  settings.leaves_early = leaves_early;
  settings.early_move_interval = Milliseconds(400);
  Fixture fixture({MakeListing("w1"), MakeListing("w2"), MakeListing("w3")},
                  Milliseconds(0), settings);
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Service(2, 1).Build());
  std::set<WorkerName> due;
  for (const StartRun& start : fixture.TakeStarts()) {
    fixture.ConfirmStart(start);
    fixture.SendReport(start.worker.str(), {ActiveRunOf(start)});
    due.insert(start.worker);
  }
  REQUIRE(due.size() == 2);
  if (is_other_due) {
    due = {WorkerName("w1"), WorkerName("w2"), WorkerName("w3")};
  }
  fixture.AdvanceTime(settings.min_ready_duration);
  fixture.scheduler.SetVacating({}, due);
  // A task that has just arrived stays for a while.
  CHECK(OrdersOfType<StopRun>(fixture.Orders()).empty());
  fixture.AdvanceTime(Milliseconds(100));
  fixture.scheduler.SetVacating({}, due);
  // One move is within the budget, and only a worker that stays is worth it.
  CHECK(OrdersOfType<StopRun>(fixture.Orders()).size() ==
        (leaves_early && !is_other_due ? 1 : 0));
}

// Guards against early moves that use up the budget of a task whose worker is
// being emptied.
TEST_CASE("Service tasks that must leave go before those that leave early") {
  SchedulerSettings settings;
  settings.early_move_interval = settings.min_ready_duration;
  Fixture fixture({MakeListing("w1"), MakeListing("w2"), MakeListing("w3")},
                  Milliseconds(0), settings);
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Service(2, 1).Build());
  std::vector<WorkerName> hosts;
  for (const StartRun& start : fixture.TakeStarts()) {
    fixture.ConfirmStart(start);
    fixture.SendReport(start.worker.str(), {ActiveRunOf(start)});
    hosts.push_back(start.worker);
  }
  REQUIRE(hosts.size() == 2);
  std::sort(hosts.begin(), hosts.end());
  fixture.AdvanceTime(settings.min_ready_duration);
  fixture.scheduler.SetVacating({hosts[1]}, {hosts[0]});
  const std::vector<StopRun> stops = OrdersOfType<StopRun>(fixture.Orders());
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].worker == hosts[1]);
}

// Regression test (AVAIL in izarra-pendulo hunt-b8db-31): a service task that
// seemed stalled was stopped while another task of its step, which had been
// evicted, was still unavailable.
TEST_CASE("A stalled service task is stopped within its disruption budget") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2"), MakeListing("w3"),
                   MakeListing("w4")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Service(3, 1).Build());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 3);
  const std::function<void(bool)> report = [&](bool includes_first) {
    for (std::size_t i = includes_first ? 0 : 1; i < starts.size(); ++i) {
      ActiveRun run = ActiveRunOf(starts[i]);
      run.load = i == 1 ? 0 : 10;
      fixture.SendReport(starts[i].worker.str(), {run});
    }
  };
  for (const StartRun& start : starts) {
    fixture.ConfirmStart(start);
  }
  report(true);
  fixture.AdvanceTime(Milliseconds(1000));
  report(true);
  fixture.scheduler.SetVacating({starts[0].worker}, {});
  const std::vector<StopRun> moved = OrdersOfType<StopRun>(fixture.Orders());
  REQUIRE(moved.size() == 1);
  REQUIRE(moved[0].task == starts[0].task);
  fixture.scheduler.OnStop(moved[0], true, fixture.Now(), fixture.Now());
  fixture.AdvanceTime(Milliseconds(1));
  fixture.SendReport(starts[0].worker.str(), {},
                     {RunEnd{1, starts[0].task, 1, EndKind::kStopped, ""}});
  fixture.AdvanceTime(SchedulerSettings().stall_timeout);
  report(false);
  const std::vector<Order> orders = fixture.Orders();
  CHECK(OrdersOfType<StopRun>(orders).empty());
  const std::vector<StartRun> again = OrdersOfType<StartRun>(orders);
  REQUIRE(again.size() == 1);
  fixture.ConfirmStart(again[0]);
  fixture.SendReport(again[0].worker.str(), {ActiveRunOf(again[0])});
  report(false);
  fixture.AdvanceTime(SchedulerSettings().min_ready_duration);
  const std::vector<StopRun> stalled = OrdersOfType<StopRun>(fixture.Orders());
  REQUIRE(stalled.size() == 1);
  CHECK(stalled[0].task == starts[1].task);
}

// Regression test (AVAIL in the recorded day of izarra-pendulo): a worker still
// reported a task that an earlier scheduler had just ordered it to stop, and
// the task was counted as available.
TEST_CASE("Adopted service tasks allow evictions once they are sure to stay") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2"), MakeListing("w3")});
  fixture.Add(JobBuilder("j").Service(2, 1).Build(), true);
  const std::function<void()> report = [&fixture]() {
    for (int i = 0; i < 2; ++i) {
      StartRun earlier;
      earlier.task = TaskRef{JobId("j"), 0, 0, i};
      earlier.run = 1;
      fixture.SendReport("w" + std::to_string(i + 1), {ActiveRunOf(earlier)});
    }
    fixture.SendReport("w3");
  };
  report();
  fixture.scheduler.SetVacating({WorkerName("w1")}, {});
  CHECK(OrdersOfType<StopRun>(fixture.Orders()).empty());
  fixture.AdvanceTime(Milliseconds(1000));
  report();
  CHECK(OrdersOfType<StopRun>(fixture.Orders()).size() == 1);
}

// Regression test (LOST in vpl-ajot trouble-1, seed 812201315214): the worker
// with the most free capacity was reserved for a task that may not run there
// because another task of its step does, and no other task was placed on it.
TEST_CASE("No worker is reserved for a task that may not run there") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("a").Service(3, 1).Build());
  for (const StartRun& start : fixture.TakeStarts()) {
    fixture.ConfirmStart(start);
    fixture.SendReport(start.worker.str(), {ActiveRunOf(start)});
  }
  AcceptedJob other = JobBuilder("b").Service(4, 1).Build();
  other.spec.steps[0].max_per_worker = 2;
  fixture.Add(other);
  CHECK(fixture.TakeStarts().size() == 4);
}

// Regression test (TWICE in vpl-ajot hunt-5678-19): a partitioned scheduler
// that had been replaced learned from the machine list that a worker was gone.
// It started the worker's task again, although the task had ended under its
// successor.
TEST_CASE("A gone worker keeps its runs while another scheduler may lead") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(1).Build());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 1);
  fixture.ConfirmStart(starts[0]);
  fixture.AdvanceTime(Milliseconds(10));
  fixture.scheduler.SetSole(false);
  fixture.scheduler.OnWorkerGone(starts[0].worker, fixture.Now(),
                                 fixture.Now());
  CHECK(fixture.TakeStarts().empty());
  fixture.scheduler.SetSole(true);
  fixture.scheduler.OnWorkerGone(starts[0].worker, fixture.Now(),
                                 fixture.Now());
  CHECK(fixture.TakeStarts().size() == 1);
}

// Guards against runs that end by an observation of the process before.
TEST_CASE("An observation from before the last report ends no runs") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(1).Build());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 1);
  fixture.ConfirmStart(starts[0]);
  fixture.AdvanceTime(Milliseconds(10));
  const MonotonicTime observed_from = fixture.Now();
  fixture.AdvanceTime(Milliseconds(10));
  fixture.SendReport(starts[0].worker.str(), {ActiveRunOf(starts[0])});
  fixture.scheduler.OnWorkerGone(starts[0].worker, observed_from,
                                 fixture.Now());
  CHECK(fixture.TakeStarts().empty());
}

// Guards against a second run while a start order is on its way to a worker
// that restarts.
TEST_CASE(
    "A start order without an answer outlasts the process of its worker") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(1).Build());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 1);
  fixture.AdvanceTime(Milliseconds(10));
  fixture.scheduler.OnWorkerGone(starts[0].worker, fixture.Now(),
                                 fixture.Now());
  CHECK(fixture.TakeStarts().empty());
  SECTION("until it was not received") {
    fixture.scheduler.OnStart(starts[0], StartOutcome::kNotReceived,
                              std::nullopt, fixture.Now());
  }
  SECTION("until it was given up and the worker is still gone") {
    fixture.scheduler.OnStart(starts[0], StartOutcome::kUnknown, std::nullopt,
                              fixture.Now());
    CHECK(fixture.TakeStarts().empty());
    fixture.AdvanceTime(Milliseconds(10));
    fixture.scheduler.OnWorkerGone(starts[0].worker, fixture.Now(),
                                   fixture.Now());
  }
  CHECK(fixture.TakeStarts().size() == 1);
}

// Guards against ends of a new process that are acknowledged unseen, so that
// their tasks run again.
TEST_CASE(
    "A late report of an ended process acknowledges nothing to the next") {
  Fixture fixture({MakeListing("w1")});
  fixture.AdvanceTime(Milliseconds(5000));
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(1).Build());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 1);
  const MonotonicTime asked_at = fixture.Now();
  fixture.AdvanceTime(Milliseconds(100));
  // The answer comes from a process with a clock that started anew.
  fixture.scheduler.OnStart(starts[0], StartOutcome::kStarted, Milliseconds(50),
                            fixture.Now());
  fixture.AdvanceTime(Milliseconds(10));
  RunReport report;
  report.worker_clock = Milliseconds(6000);
  report.incarnation = 7;
  report.ended = {RunEnd{5, TaskRef{JobId("x"), 0, 0, 0}, 1, EndKind::kDone}};
  fixture.scheduler.OnReport(starts[0].worker, report, asked_at, fixture.Now());
  fixture.AdvanceTime(Milliseconds(10));
  const std::vector<AskReport> asks = OrdersOfType<AskReport>(fixture.Orders());
  REQUIRE(asks.size() == 1);
  CHECK(asks[0].acknowledged == 0);
}

// Guards against crashes that are counted for a worker which is only cut off.
TEST_CASE("A stored start on a worker of unknown process is no crash") {
  Fixture fixture({MakeListing("w2")}, Milliseconds(1000));
  fixture.scheduler.ExpectRunsOn({MakeListing("w1")}, fixture.Now());
  JobProgress progress;
  const TaskRef task{JobId("j"), 0, 0, 0};
  progress.crashes[task].runs = {101};
  progress.crashes[task].open_starts[102] = OpenStart{WorkerName("w1"), 7};
  fixture.scheduler.AddJob(JobBuilder("j").Step(1).Build(), progress, true,
                           fixture.Now());
  fixture.Orders();
  CHECK(fixture.scheduler.TakeUnsaved(10, fixture.Now()).empty());
}

// Guards against ends of a process whose start was not noticed that are
// acknowledged unseen, with the numbers of the process before.
TEST_CASE("An acknowledgement that was answered is not repeated") {
  Fixture fixture({MakeListing("w1")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(2).Build());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 2);
  fixture.ConfirmStart(starts[0]);
  fixture.ConfirmStart(starts[1]);
  fixture.AdvanceTime(Milliseconds(100));
  fixture.SendReport("w1", {ActiveRunOf(starts[1])}, {Done(1, starts[0])});
  const std::vector<std::pair<JobId, JobProgress>> saved =
      fixture.scheduler.TakeUnsaved(10, fixture.Now());
  REQUIRE(saved.size() == 1);
  fixture.scheduler.OnSaved({saved[0].first});
  fixture.AdvanceTime(Milliseconds(100));
  std::vector<AskReport> asks = OrdersOfType<AskReport>(fixture.Orders());
  REQUIRE(asks.size() == 1);
  CHECK(asks[0].acknowledged == 1);
  fixture.SendReport("w1", {ActiveRunOf(starts[1])});
  fixture.AdvanceTime(Milliseconds(100));
  asks = OrdersOfType<AskReport>(fixture.Orders());
  REQUIRE(asks.size() == 1);
  CHECK(asks[0].acknowledged == 0);
}

// Guards against a run that a later scheduler has found: a replaced scheduler
// started its task again when its own wait for unknown runs was over.
TEST_CASE("The wait for unknown runs does not end without a valid lease") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")}, Milliseconds(1000));
  fixture.scheduler.ExpectRunsOn({MakeListing("w1"), MakeListing("w2")},
                                 fixture.Now());
  fixture.SendReport("w1");
  fixture.Add(JobBuilder("j").Step(1).Build(), true);
  CHECK(fixture.TakeStarts().empty());
  fixture.scheduler.SetSole(false);
  SECTION("by time") {
    fixture.AdvanceTime(Milliseconds(2000));
  }
  SECTION("by the end of the last worker") {
    fixture.AdvanceTime(Milliseconds(10));
    fixture.scheduler.OnWorkerGone(WorkerName("w2"), fixture.Now(),
                                   fixture.Now());
  }
  fixture.SendReport("w1");
  CHECK(fixture.TakeStarts().empty());
  fixture.scheduler.SetSole(true);
  CHECK(fixture.TakeStarts().size() == 1);
}

// Guards against a run whose end a later scheduler has acknowledged to the
// process that the worker had before.
TEST_CASE(
    "A restarted worker keeps its runs while another scheduler may lead") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(1).Build());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 1);
  fixture.ConfirmStart(starts[0]);
  fixture.scheduler.SetSole(false);
  fixture.AdvanceTime(Milliseconds(10));
  RunReport restarted;
  restarted.worker_clock = Milliseconds(1);
  restarted.incarnation = 8;
  const std::string other = starts[0].worker.str() == "w1" ? "w2" : "w1";
  fixture.SendReport(other);
  fixture.scheduler.OnReport(starts[0].worker, restarted, fixture.Now(),
                             fixture.Now());
  CHECK(fixture.TakeStarts().empty());
  fixture.scheduler.SetSole(true);
  fixture.AdvanceTime(Milliseconds(10));
  fixture.scheduler.OnReport(starts[0].worker, restarted, fixture.Now(),
                             fixture.Now());
  CHECK(fixture.TakeStarts().size() == 1);
}

// Guards against a second run of a task whose start order was repeated by the
// transport after the run had ended.
TEST_CASE("A refused repetition of a start waits for the next report") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(1).Build());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 1);
  fixture.scheduler.OnStart(starts[0], StartOutcome::kStaleRun, std::nullopt,
                            fixture.Now());
  CHECK(fixture.TakeStarts().empty());
  SECTION("which shows that the run has ended") {
    fixture.SendReport(starts[0].worker.str(), {}, {Done(1, starts[0])});
    CHECK(fixture.TakeStarts().empty());
  }
  SECTION("which shows that the run never started") {
    fixture.SendReport(starts[0].worker.str());
    CHECK(fixture.TakeStarts().size() == 1);
  }
}

// Guards against starting tasks in a zone that operators have taken out.
TEST_CASE("Nothing starts in a zone that was taken out") {
  Fixture fixture({MakeListing("w1", "north"), MakeListing("w2", "south")});
  fixture.SendAllReports();
  fixture.scheduler.SetZonesOut({ZoneName("north")});
  fixture.Add(JobBuilder("j").Step(2).Build());
  for (const StartRun& start : fixture.TakeStarts()) {
    CHECK(start.worker == WorkerName("w2"));
  }
}

// Guards against runs that exceed the allotment of their team.
TEST_CASE("A team stays within its allotment") {
  Fixture fixture({MakeListing("w1")});
  fixture.SendAllReports();
  fixture.scheduler.SetAllotments(
      {{TeamName("team"), Resources{2000, 100000, 10}}});
  fixture.Add(JobBuilder("j").Step(4).Build());
  CHECK(fixture.TakeStarts().size() == 2);
  const TeamDemand& demand = fixture.scheduler.demands().at(TeamName("team"));
  CHECK(demand.total.cpu_millicores == 2000);
  CHECK(demand.requests.AnyWithin(Resources{1000, 100000, 10}));
}

// Guards against taking a part of the team's limit from pools that can use it.
TEST_CASE("A full pool asks for no allotment") {
  Fixture fixture({MakeListing("w1")});
  fixture.SendAllReports();
  fixture.scheduler.SetAllotments(
      {{TeamName("team"), Resources{4000, 100000, 10}}});
  fixture.Add(JobBuilder("j").Step(5).Build());
  CHECK(fixture.TakeStarts().size() == 4);
  CHECK_FALSE(fixture.scheduler.demands().contains(TeamName("team")));
}

// Guards against starting tasks on workers without a ticket from the advisor.
TEST_CASE("A queue with an advisor starts tasks on workers with tickets") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  QueuePolicy policy;
  policy.advice =
      AdvicePolicy{Milliseconds(10), Milliseconds(1), Milliseconds(3000)};
  fixture.scheduler.SetPolicies({{QueueName("queue"), policy}});
  fixture.Add(JobBuilder("j").Step(2).Build());
  const std::vector<Order> orders = fixture.Orders();
  CHECK(OrdersOfType<StartRun>(orders).empty());
  const std::vector<AskAdvice> asks = OrdersOfType<AskAdvice>(orders);
  REQUIRE(asks.size() == 1);
  CHECK(asks[0].workers.size() == 2);
  fixture.scheduler.OnAdvice(
      asks[0], {PlacementTicket{WorkerName("w2"), "ticket"}}, fixture.Now());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 2);
  for (const StartRun& start : starts) {
    CHECK(start.worker == WorkerName("w2"));
    CHECK(start.ticket == "ticket");
  }
}

// Guards against running only some members of a gang.
TEST_CASE("A gang starts as a whole under one run number") {
  Fixture fixture({MakeListing("w1"), MakeListing("w2")});
  fixture.SendAllReports();
  JobBuilder builder("j");
  builder.Step(3, 3000);
  builder.Last().is_gang = true;
  fixture.Add(builder.Build());
  CHECK(fixture.TakeStarts().empty());  // capacity for two members only
  fixture.listing[WorkerName("w3")] = MakeListing("w3");
  fixture.scheduler.SetListing(fixture.listing, fixture.Now());
  fixture.scheduler.SetRemembered(
      {WorkerName("w1"), WorkerName("w2"), WorkerName("w3")});
  fixture.SendReport("w3");
  const std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 3);
  CHECK(starts[0].run == starts[2].run);
}

// Guards against starting occurrences before they are due.
TEST_CASE("Occurrences start when they are due") {
  Fixture fixture({MakeListing("w1")});
  fixture.SendAllReports();
  fixture.Add(
      JobBuilder("j")
          .Step(1)
          .Schedule(2, kWallStart + Milliseconds(1000), Milliseconds(500))
          .Build());
  CHECK(fixture.TakeStarts().empty());
  fixture.AdvanceTime(Milliseconds(1000));
  REQUIRE(fixture.TakeStarts().size() == 1);
  fixture.AdvanceTime(Milliseconds(500));
  const std::vector<StartRun> second = fixture.TakeStarts();
  REQUIRE(second.size() == 1);
  CHECK(second[0].task.occurrence == 1);
}

// Guards against runs that continue after their job was cancelled.
TEST_CASE("Cancelling a job stops its runs") {
  Fixture fixture({MakeListing("w1")});
  fixture.SendAllReports();
  fixture.Add(JobBuilder("j").Step(2).Build());
  for (const StartRun& start : fixture.TakeStarts()) {
    fixture.ConfirmStart(start);
  }
  fixture.scheduler.CancelJob(JobId("j"), fixture.Now());
  CHECK(OrdersOfType<StopRun>(fixture.Orders()).size() == 2);
}

// Guards against idle-capacity runs that keep a service on the same worker
// above its latency target.
TEST_CASE("Idle-capacity runs are paused for a service above its target") {
  Fixture fixture({MakeListing("w1")});
  fixture.SendAllReports();
  JobBuilder builder("j");
  builder.Service(1, 1);
  builder.Last().latency_target = Milliseconds(100);
  builder.Service(1, 1);
  builder.Last().uses_idle_capacity = true;
  fixture.Add(builder.Build());
  const std::vector<StartRun> starts = fixture.TakeStarts();
  REQUIRE(starts.size() == 2);
  std::vector<ActiveRun> active;
  for (const StartRun& start : starts) {
    fixture.ConfirmStart(start);
    active.push_back(ActiveRunOf(start));
    active.back().load = start.task.step == 0 ? 150 : 500;
  }
  fixture.SendReport("w1", active);
  const std::vector<PaceRun> paces = OrdersOfType<PaceRun>(fixture.Orders());
  REQUIRE(paces.size() == 1);
  CHECK(paces[0].task.step == 1);
  CHECK(paces[0].percent == 0);
}

// Guards against stored records that a later scheduler cannot read.
TEST_CASE("Jobs and progress survive encoding and decoding") {
  JobBuilder builder("j");
  builder.Step(3).Service(2, 1).After(0);
  builder.Last().image = "image";
  const AcceptedJob job = builder.Build();
  const Result<AcceptedJob> read = ParseAcceptedJob(ToJson(job));
  REQUIRE(read.ok());
  CHECK(ToJson(read.value()) == ToJson(job));
  JobProgress progress;
  progress.status = JobStatus::kRunning;
  progress.done.insert(TaskRef{job.id, 0, 0, 2});
  progress.failures[TaskRef{job.id, 0, 0, 1}] = {2, 5};
  const Result<JobProgress> kept = ParseJobProgress(job.id, ToJson(progress));
  REQUIRE(kept.ok());
  CHECK(kept.value().done == progress.done);
  CHECK(kept.value().failures == progress.failures);
  CHECK_FALSE(ParseAcceptedJob(ParseJson("{}").value()).ok());
  CHECK_FALSE(ParseJobProgress(job.id, ParseJson("[]").value()).ok());
}

}  // namespace
}  // namespace daisyroad

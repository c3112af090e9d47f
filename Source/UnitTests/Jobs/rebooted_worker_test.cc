#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Core/Jobs/pool_scheduler.h"
#include "UnitTests/Jobs/job_builder.h"

namespace daisyroad {
namespace {

constexpr MonotonicTime kStart(std::chrono::hours(1));
constexpr WallTime kWall(std::chrono::hours(1000));
constexpr std::int64_t kFirstProcess = 7;
constexpr std::int64_t kSecondProcess = 8;
const WorkerName kWorker("w1");
const QueueName kQueue("queue");

// A worker that starts again under its name as another kind.
class ReplacedWorker {
 public:
  ReplacedWorker()
      : scheduler(PoolName("pool"), SchedulerSettings(), 1, kStart) {
    this->List(kFirstProcess, "old", 4000);
    this->Report(kFirstProcess);
  }

  void List(std::int64_t process, const std::string& label, std::int64_t cpu) {
    WorkerListing listing;
    listing.name = kWorker;
    listing.pool = PoolName("pool");
    listing.labels = {label};
    listing.capacity = Resources{cpu, 8000, 0};
    listing.incarnation = process;
    this->scheduler.SetListing({{kWorker, listing}}, this->Now());
    this->scheduler.SetRemembered({kWorker});
  }
  void Report(std::int64_t process, std::vector<RunEnd> ends = {}) {
    this->TakeOrders<AskReport>();
    RunReport report;
    report.worker_clock = Milliseconds(1000) + this->elapsed;
    report.incarnation = process;
    report.ended = std::move(ends);
    this->scheduler.OnReport(kWorker, report, this->Now(), this->Now());
  }
  void AddJob(const std::string& id,
              const std::string& label,
              std::int64_t cpu) {
    JobBuilder builder(id);
    builder.Step(1, cpu).Last().required_label = label;
    this->scheduler.AddJob(builder.Build(), JobProgress(), false, this->Now());
  }
  template <typename T>
  std::vector<T> TakeOrders() {
    this->elapsed += Milliseconds(10);
    std::vector<T> selected;
    for (const Order& order :
         this->scheduler.TakeOrders(this->Now(), kWall + this->elapsed)) {
      if (const T* const found = std::get_if<T>(&order)) {
        selected.push_back(*found);
      }
      if (const AskAdvice* const ask = std::get_if<AskAdvice>(&order)) {
        this->asks.push_back(*ask);
      }
    }
    return selected;
  }
  // Answers all requests for advice so far.
  void Advise(const std::string& ticket) {
    for (const AskAdvice& ask : std::exchange(this->asks, {})) {
      this->scheduler.OnAdvice(ask, {PlacementTicket{kWorker, ticket}},
                               this->Now());
    }
  }
  MonotonicTime Now() const { return kStart + this->elapsed; }

  std::vector<AskAdvice> asks;
  Milliseconds elapsed{0};
  PoolScheduler scheduler;
};

// Guards against ROUTE: a worker that had started again as another kind got
// tasks by its old labels until the next listing (review/13).
TEST_CASE("Labels of an earlier process are not used") {
  ReplacedWorker worker;
  worker.Report(kSecondProcess);
  worker.AddJob("old", "old", 1000);
  worker.AddJob("new", "new", 1000);
  CHECK(worker.TakeOrders<StartRun>().empty());
  worker.List(kSecondProcess, "new", 4000);
  const std::vector<StartRun> starts = worker.TakeOrders<StartRun>();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.job == JobId("new"));
}

// Guards against ROUTE at an idle worker, whose restart no report has shown.
TEST_CASE("An idle worker reports before it gets a task that needs a label") {
  ReplacedWorker worker;
  worker.elapsed += Milliseconds(5000);
  CHECK(worker.TakeOrders<AskReport>().empty());
  worker.AddJob("old", "old", 1000);
  CHECK(worker.TakeOrders<StartRun>().empty());
  SECTION("and is of the same kind") {
    worker.Report(kFirstProcess);
    CHECK(worker.TakeOrders<StartRun>().size() == 1);
  }
  SECTION("and is of another kind") {
    worker.Report(kSecondProcess);
    CHECK(worker.TakeOrders<StartRun>().empty());
    worker.List(kSecondProcess, "new", 4000);
    CHECK(worker.TakeOrders<StartRun>().empty());
  }
}

// Guards against LIMIT at a worker that came back smaller.
TEST_CASE("The capacity of an earlier process is not used") {
  ReplacedWorker worker;
  worker.Report(kSecondProcess);
  worker.AddJob("job", "", 3000);
  CHECK(worker.TakeOrders<StartRun>().empty());
  worker.List(kSecondProcess, "new", 2000);
  CHECK(worker.TakeOrders<StartRun>().empty());
}

// Guards against a listing that is read late and undoes what a report has told.
TEST_CASE("A listing of an earlier process is not used after a report") {
  ReplacedWorker worker;
  worker.Report(kSecondProcess);
  worker.List(kFirstProcess, "old", 4000);
  worker.AddJob("old", "old", 1000);
  CHECK(worker.TakeOrders<StartRun>().empty());
}

// Guards against starts on a process that is listed, but has not reported.
TEST_CASE("A listed process is used once it has reported") {
  ReplacedWorker worker;
  worker.List(kSecondProcess, "new", 4000);
  worker.AddJob("new", "new", 1000);
  CHECK(worker.TakeOrders<StartRun>().empty());
  worker.Report(kSecondProcess);
  CHECK(worker.TakeOrders<StartRun>().size() == 1);
}

// Guards against tickets that hold for an earlier process only.
TEST_CASE("Tickets of an earlier process are not used") {
  ReplacedWorker worker;
  QueuePolicy policy;
  policy.advice =
      AdvicePolicy{Milliseconds(10), Milliseconds(1), Milliseconds(60000)};
  worker.scheduler.SetPolicies({{kQueue, policy}});
  // The first job keeps the worker full, so the second only gets its ticket.
  worker.AddJob("first", "", 4000);
  worker.AddJob("second", "", 4000);
  worker.TakeOrders<AskAdvice>();
  REQUIRE(worker.asks.size() == 2);
  const bool is_answer_late = GENERATE(false, true);
  if (!is_answer_late) {
    worker.Advise("old");
  }
  const std::vector<StartRun> old_starts = worker.TakeOrders<StartRun>();
  CHECK(old_starts.size() == (is_answer_late ? 0 : 1));
  for (const StartRun& start : old_starts) {
    worker.scheduler.OnStart(start, StartOutcome::kStarted, std::nullopt,
                             worker.Now());
  }
  worker.List(kSecondProcess, "new", 4000);
  worker.Report(kSecondProcess);
  if (is_answer_late) {
    worker.Advise("old");
  }
  CHECK(worker.TakeOrders<StartRun>().empty());
  worker.Advise("new");
  const std::vector<StartRun> starts = worker.TakeOrders<StartRun>();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].ticket == "new");
}

// Guards against a new process that is kept idle for the failures of the last.
TEST_CASE("Failures of an earlier process do not count") {
  ReplacedWorker worker;
  for (int i = 0; i < 2; ++i) {
    worker.AddJob("job" + std::to_string(i), "", 4000);
    const std::vector<StartRun> starts = worker.TakeOrders<StartRun>();
    REQUIRE(starts.size() == 1);
    worker.scheduler.OnStart(starts[0], StartOutcome::kStarted,
                             Milliseconds(1000) + worker.elapsed, worker.Now());
    RunEnd end;
    end.sequence = i + 1;
    end.task = starts[0].task;
    end.run = starts[0].run;
    end.kind = EndKind::kFailed;
    worker.Report(kFirstProcess, {end});
    worker.scheduler.CancelJob(JobId("job" + std::to_string(i)), worker.Now());
  }
  worker.AddJob("next", "", 1000);
  REQUIRE(worker.TakeOrders<StartRun>().empty());
  worker.List(kSecondProcess, "new", 4000);
  worker.Report(kSecondProcess);
  CHECK(worker.TakeOrders<StartRun>().size() == 1);
}

}  // namespace
}  // namespace daisyroad

#include <catch2/catch.hpp>

#include "Core/Common/json.h"
#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Jobs/one_worker_pool.h"

namespace daisyroad {
namespace {

// Both occurrences are due.
AcceptedJob ScheduledJob() {
  return JobBuilder("j")
      .Step(1)
      .Schedule(2, WallTime(std::chrono::hours(999)), Milliseconds(1000))
      .Build();
}

// Guards against an occurrence that never runs since a later one has ended.
TEST_CASE("A new scheduler opens the occurrences before one that is done") {
  OneWorkerPool pool;
  JobProgress progress;
  progress.done.insert(TaskRef{JobId("j"), 1, 0, 0});
  pool.scheduler.AddJob(ScheduledJob(), progress, true, pool.Now());
  const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.occurrence == 0);
}

// Guards against attempts that a new scheduler does not know of.
TEST_CASE("A new scheduler knows the failed runs of a scheduled job") {
  OneWorkerPool pool;
  JobProgress progress;
  const TaskRef task{JobId("j"), 0, 0, 0};
  progress.failures[task] = {101, 102};
  pool.scheduler.AddJob(ScheduledJob(), progress, true, pool.Now());
  const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
  REQUIRE(starts.size() == 2);
  RunReport report;
  report.worker_clock = Milliseconds(2000);
  report.incarnation = 7;
  report.ended = {RunEnd{1, task, starts[0].run, EndKind::kFailed, ""}};
  pool.scheduler.OnReport(pool.worker, report, pool.Now(), pool.Now());
  const std::vector<std::pair<JobId, JobProgress>> saved =
      pool.scheduler.TakeUnsaved(10, pool.Now());
  REQUIRE(saved.size() == 1);
  CHECK(saved[0].second.status == JobStatus::kFailed);
}

// Two occurrences, of which the first is due.
AcceptedJob PartlyDueJob() {
  return JobBuilder("j")
      .Step(1)
      .Schedule(2, WallTime(std::chrono::hours(999)), std::chrono::hours(2))
      .Build();
}

RunReport EmptyReport() {
  RunReport report;
  report.worker_clock = Milliseconds(2000);
  report.incarnation = 7;
  return report;
}

// Guards against a second run of an occurrence whose first one ended before the
// new scheduler had opened it.
TEST_CASE("An end of an occurrence that is not open yet counts") {
  const int occurrence = GENERATE(0, 1);
  OneWorkerPool pool;
  pool.scheduler.AddJob(PartlyDueJob(), JobProgress(), true, pool.Now());
  RunReport report = EmptyReport();
  const TaskRef task{JobId("j"), occurrence, 0, 0};
  report.ended = {RunEnd{1, task, 7, EndKind::kDone, ""}};
  pool.scheduler.OnReport(pool.worker, report, pool.Now(), pool.Now());
  const std::vector<std::pair<JobId, JobProgress>> saved =
      pool.scheduler.TakeUnsaved(10, pool.Now());
  REQUIRE(saved.size() == 1);
  CHECK(saved[0].second.IsDone(task));
}

// Guards against a second run of an occurrence that still runs when the new
// scheduler opens it.
TEST_CASE("A run of an occurrence that is not open yet is adopted") {
  const int occurrence = GENERATE(0, 1);
  OneWorkerPool pool;
  pool.scheduler.AddJob(PartlyDueJob(), JobProgress(), true, pool.Now());
  RunReport report = EmptyReport();
  ActiveRun active;
  active.task = TaskRef{JobId("j"), occurrence, 0, 0};
  active.run = 7;
  report.active = {active};
  pool.scheduler.OnReport(pool.worker, report, pool.Now(), pool.Now());
  pool.elapsed += Milliseconds(10);
  const WallTime wall(std::chrono::hours(1000));
  int starts_of_occurrence = 0;
  for (const Order& order :
       pool.scheduler.TakeOrders(pool.Now(), wall + pool.elapsed)) {
    CHECK_FALSE(std::holds_alternative<StopRun>(order));
    if (const StartRun* const start = std::get_if<StartRun>(&order)) {
      starts_of_occurrence += start->task.occurrence == occurrence;
    }
  }
  CHECK(starts_of_occurrence == 0);
}

// Guards against tasks that start before their time beside one that did.
TEST_CASE(
    "The other tasks of an occurrence that began early wait for its time") {
  OneWorkerPool pool;
  AcceptedJob job = PartlyDueJob();
  job.spec.steps[0].task_count = 2;
  pool.scheduler.AddJob(job, JobProgress(), true, pool.Now());
  RunReport report = EmptyReport();
  report.ended = {
      RunEnd{1, TaskRef{JobId("j"), 1, 0, 0}, 7, EndKind::kDone, ""}};
  pool.scheduler.OnReport(pool.worker, report, pool.Now(), pool.Now());
  for (const StartRun& start : pool.TakeOrders<StartRun>()) {
    CHECK(start.task.occurrence == 0);
  }
}

// Guards against a worker that gets more than it has room for while a run of a
// finished occurrence is being stopped.
TEST_CASE("A run of a finished occurrence keeps its room until it has ended") {
  OneWorkerPool pool;
  JobProgress progress;
  progress.finished.Add(0, 0);
  AcceptedJob job = ScheduledJob();
  job.spec.steps[0].request = Resources{4000, 100, 0};
  pool.scheduler.AddJob(job, progress, true, pool.Now());
  RunReport report = EmptyReport();
  const TaskRef finished{JobId("j"), 0, 0, 0};
  ActiveRun active;
  active.task = finished;
  active.run = 7;
  report.active = {active};
  pool.scheduler.OnReport(pool.worker, report, pool.Now(), pool.Now());
  pool.elapsed += Milliseconds(10);
  int stops = 0;
  for (const Order& order : pool.scheduler.TakeOrders(
           pool.Now(), WallTime(std::chrono::hours(1000)))) {
    CHECK_FALSE(std::holds_alternative<StartRun>(order));
    stops += std::holds_alternative<StopRun>(order);
  }
  CHECK(stops == 1);
  report.active.clear();
  report.ended = {RunEnd{1, finished, 7, EndKind::kStopped, ""}};
  pool.scheduler.OnReport(pool.worker, report, pool.Now(), pool.Now());
  pool.elapsed += Milliseconds(10);
  const std::vector<StartRun> starts = pool.TakeOrders<StartRun>();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.occurrence == 1);
}

// Guards against finished occurrences that run again after a takeover.
TEST_CASE("Finished occurrences are stored and read as ranges") {
  JobProgress progress;
  progress.status = JobStatus::kRunning;
  progress.finished.Add(0, 1'999'999'998);
  const Result<JobProgress> read =
      ParseJobProgress(JobId("j"), ToJson(progress));
  REQUIRE(read.ok());
  CHECK(read.value().finished == progress.finished);
  for (const char* const bad : {"7", "[0]", "[0,1,2]", "[3,2]", "[-1,2]",
                                "[0,2147483647]", "[0,9000000000]"}) {
    Json::Value json = ToJson(progress);
    json["finished"].append(ParseJson(bad).value());
    CHECK_FALSE(ParseJobProgress(JobId("j"), json).ok());
  }
}

}  // namespace
}  // namespace daisyroad

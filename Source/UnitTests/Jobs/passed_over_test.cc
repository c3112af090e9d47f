#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Core/Jobs/pool_scheduler.h"
#include "UnitTests/Jobs/job_builder.h"

namespace daisyroad {
namespace {

const PoolName kPool("pool");
const TeamName kLimitedTeam("limited");
const QueueName kAdvisedQueue("advised");
const MonotonicTime kNow{std::chrono::hours(1)};
const WallTime kWall{std::chrono::hours(500000)};
constexpr int kWorkers = 8;
constexpr int kPassedOver = 30;

// A pool in which jobs wait that cannot be placed.
class CrowdedPool {
 public:
  explicit CrowdedPool(int workers = kWorkers)
      : scheduler(kPool, SchedulerSettings(), 1, kNow) {
    std::map<WorkerName, WorkerListing> listing;
    std::set<WorkerName> names;
    for (int i = 0; i < workers; ++i) {
      WorkerListing worker;
      worker.name = WorkerName("w" + std::to_string(i));
      worker.pool = kPool;
      worker.labels = {"a"};
      worker.capacity = Resources{8000, 80000, 0};
      listing[worker.name] = worker;
      names.insert(worker.name);
    }
    this->scheduler.SetListing(listing, kNow);
    this->scheduler.SetRemembered(names);
    for (const WorkerName& name : names) {
      RunReport report;
      report.worker_clock = Milliseconds(1000);
      report.incarnation = 7;
      this->scheduler.OnReport(name, report, kNow, kNow);
    }
    QueuePolicy policy;
    policy.advice =
        AdvicePolicy{Milliseconds(10), Milliseconds(1), Milliseconds(3000)};
    this->scheduler.SetPolicies({{kAdvisedQueue, policy}});
    this->scheduler.SetAllotments({{kLimitedTeam, Resources{0, 0, 0}}});
  }

  void Add(const AcceptedJob& job) {
    this->scheduler.AddJob(job, JobProgress(), false, kNow);
  }
  // Number of starts of the job's tasks in one pass.
  int CountStarts(const std::string& job) {
    const std::vector<Order> orders = this->scheduler.TakeOrders(kNow, kWall);
    return static_cast<int>(
        std::count_if(orders.begin(), orders.end(), [&job](const Order& order) {
          const StartRun* const start = std::get_if<StartRun>(&order);
          return start != nullptr && start->task.job == JobId(job);
        }));
  }

 private:
  PoolScheduler scheduler;
};

// Jobs that are placed before the one of ShortJob(), since they need less work.
JobBuilder PassedOver(int number) {
  JobBuilder builder("a" + std::to_string(number));
  builder.Step(1, 100);
  builder.Last().estimate = Milliseconds(1);
  return builder;
}

AcceptedJob ShortJob() {
  return JobBuilder("short").Step(4).Build();
}

// Guards against a pass that ends as if the pool were full, so that a job waits
// for good behind others that fit nowhere for causes of their own (review/3).
TEST_CASE("A step is placed after any number of steps that cannot be") {
  const std::map<std::string, void (*)(AcceptedJob*)> causes{
      {"one task for each worker and one more",
       [](AcceptedJob* job) {
         job->spec.steps[0].is_service = true;
         job->spec.steps[0].task_count = kWorkers + 1;
         job->spec.steps[0].max_per_worker = 1;
         job->spec.steps[0].request.cpu_millicores = 10;
       }},
      {"a label that no worker has",
       [](AcceptedJob* job) { job->spec.steps[0].required_label = "b"; }},
      {"a team without allotment",
       [](AcceptedJob* job) { job->team = kLimitedTeam; }},
      {"a queue without tickets",
       [](AcceptedJob* job) { job->queue = kAdvisedQueue; }},
      {"a request beyond every worker",
       [](AcceptedJob* job) {
         job->spec.steps[0].request.cpu_millicores = 9000;
       }},
      {"a gang beyond the pool", [](AcceptedJob* job) {
         job->spec.steps[0].is_gang = true;
         job->spec.steps[0].task_count = 1000;
       }}};
  for (const std::pair<const std::string, void (*)(AcceptedJob*)>& cause :
       causes) {
    CAPTURE(cause.first);
    CrowdedPool pool;
    for (int i = 0; i < kPassedOver; ++i) {
      AcceptedJob job = PassedOver(i).Build();
      cause.second(&job);
      pool.Add(job);
    }
    pool.Add(ShortJob());
    CHECK(pool.CountStarts("short") == 4);
  }
}

// Guards against skipping a smaller request after a larger one had no room.
TEST_CASE("A step that needs less than one without room is placed") {
  CrowdedPool pool;
  for (int i = 0; i < kPassedOver; ++i) {
    AcceptedJob job = PassedOver(i).Build();
    job.spec.steps[0].request = Resources{9000, 10, 0};
    pool.Add(job);
  }
  AcceptedJob more_memory = PassedOver(kPassedOver).Build();
  more_memory.spec.steps[0].request = Resources{100, 70000, 0};
  pool.Add(more_memory);
  CHECK(pool.CountStarts(more_memory.id.str()) == 1);
}

}  // namespace
}  // namespace daisyroad

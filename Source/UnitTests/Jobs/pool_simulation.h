#ifndef SOURCE_UNITTESTS_JOBS_POOL_SIMULATION_H_
#define SOURCE_UNITTESTS_JOBS_POOL_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Jobs/pool_scheduler.h"
#include "UnitTests/Jobs/fake_worker.h"
#include "UnitTests/Schedule/event_queue.h"

namespace daisyroad {

// Simulates one pool with random faults: workers crash, restart and become
// unreachable; orders are lost, answered late or executed late; schedulers are
// replaced with or without the predecessor knowing; the worker list omits
// unreachable workers; some tasks crash each worker that starts them. Checks
// the runs on the workers.
class PoolSimulation {
 public:
  struct Totals {
    int starts = 0;
    int done = 0;
    int late_orders = 0;
    int terms = 0;
    int crashes = 0;
    int partitions = 0;
    int jobs_complete = 0;
    int crashes_by_tasks = 0;
    int crashing_jobs_failed = 0;
    int bystanders_failed = 0;
  };

  explicit PoolSimulation(std::uint64_t seed);

  // Returns an empty string, or a description of the first violation.
  std::string Run(Totals* totals);

 private:
  struct Host {
    std::unique_ptr<FakeWorker> worker;  // null while it is down
    WorkerListing listing;
    MonotonicTime unreachable_until;  // by the schedulers
    int start_count = 1;
  };

  void Step();
  void BeginTerm(bool is_predecessor_gone);
  void Deliver(const std::vector<Order>& orders);
  void DeliverStart(const StartRun& order);
  void DeliverStop(const StopRun& order);
  void DeliverReport(const AskReport& order);
  void ExecuteStart(const StartRun& order, std::int64_t fence);
  void Save();
  void InjectFault();
  void CrashWorker(Host* host);
  // Tells the scheduler if the list of machines shows the worker as down.
  void CheckMachine(const WorkerName& worker,
                    const std::shared_ptr<PoolScheduler>& sender);
  void CountCrash(const TaskRef& task);
  // Ends the worker soon if the task crashes its workers.
  void CrashLater(const TaskRef& task, Host* host);
  bool IsCrashing(const TaskRef& task) const;
  // Whether the job may be shown as failed.
  bool MayFail(const JobId& job) const;
  bool HasUsedAttempts(const JobId& job) const;
  void Check();
  std::map<WorkerName, WorkerListing> Listing() const;
  bool IsReachable(const Host& host) const;
  Milliseconds Delay();

  Random random;
  EventQueue queue;
  std::map<WorkerName, Host> hosts;
  std::vector<AcceptedJob> jobs;
  std::map<JobId, JobProgress> stored;
  std::vector<WorkerListing> remembered;
  std::shared_ptr<PoolScheduler> scheduler;
  std::int64_t term = 0;
  // Jobs whose first task crashes each worker that starts it.
  std::set<JobId> crashing_jobs;
  // Crashes of workers that ran the task, as far as schedulers can know them.
  std::map<TaskRef, int> crashes;
  // The same, and those that no scheduler has seen.
  std::map<TaskRef, int> lost_runs;
  std::map<TaskRef, int> starts_after_three_crashes;
  // Starts of runs that end as failed.
  std::map<TaskRef, int> failing_starts;
  // Tasks whose `done` end was acknowledged to a worker.
  std::set<TaskRef> acknowledged_done;
  Totals* totals = nullptr;
  std::string failure;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_JOBS_POOL_SIMULATION_H_

#ifndef SOURCE_UNITTESTS_JOBS_CRASHING_POOL_H_
#define SOURCE_UNITTESTS_JOBS_CRASHING_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Jobs/pool_scheduler.h"
#include "UnitTests/Jobs/fake_worker.h"

namespace daisyroad {

// A pool whose workers may crash, with a store that outlives its schedulers.
// Runs last as long as their estimate; those of services last until stopped.
class CrashingPool {
 public:
  explicit CrashingPool(int worker_count);

  void AddJob(const AcceptedJob& job);
  void CancelJob(const std::string& job);
  // From now on a worker crashes `delay` after it started the task.
  void CrashWorkersOf(const TaskRef& task, Milliseconds delay);
  // Whether the list of machines shows crashed workers as down. If not, only
  // the next process of the worker shows that the last one has ended.
  void SetCrashesListed(bool is_listed) { this->is_crash_listed = is_listed; }
  void SetRestartDelay(Milliseconds delay) { this->restart_delay = delay; }
  void SetStoreAvailable(bool is_available) {
    this->is_store_available = is_available;
  }

  void RunFor(Milliseconds duration);
  void CrashWorker(const WorkerName& worker);
  // Ends the worker's process as planned work on its machine does.
  void EndPlanned(const WorkerName& worker);
  void SetDraining(const WorkerName& worker, bool is_draining);
  void SetVacating(const std::set<WorkerName>& workers);
  void Disconnect(const WorkerName& worker, Milliseconds duration);
  void SetCapacity(const WorkerName& worker, const Resources& capacity);
  // Ends the scheduler. Orders that it has sent are carried out.
  void EndScheduler();
  void BeginScheduler();
  // Ends the scheduler whenever a start of this task is sent from the given
  // start on; a new one begins `gap` later.
  void EndSchedulerAtStartsOf(const TaskRef& task,
                              int first_start,
                              Milliseconds gap);

  std::optional<JobStatus> StatusOf(const std::string& job) const;
  // Starts that workers carried out, and crashes of workers that ran the task.
  int Starts(const TaskRef& task) const;
  int Crashes(const TaskRef& task) const;
  // Starts of the task that began after three workers had crashed under it.
  int StartsAfterThreeCrashes(const TaskRef& task) const;
  int JobsFailed() const;
  int JobsCompleted() const;
  int total_crashes() const { return this->crash_count; }
  std::vector<TaskRef> RunsOn(const WorkerName& worker) const;
  WorkerName WorkerOf(const TaskRef& task) const;
  std::vector<WorkerName> WorkerNames() const;
  const std::vector<std::string>& decisions() const { return this->log; }

 private:
  struct Host {
    WorkerListing listing;
    std::unique_ptr<FakeWorker> worker;  // null while it is down
    MonotonicTime restart_at;
    MonotonicTime unreachable_until;
    std::optional<MonotonicTime> down_listed_at;
  };
  struct History {
    int starts = 0;
    int crashes = 0;
    int starts_after_three = 0;
  };

  MonotonicTime Now() const;
  std::map<WorkerName, WorkerListing> Listing() const;
  bool IsReachable(const Host& host) const;
  void Step();
  void EndProcess(Host* host, bool is_planned);
  // Ends the other members of the gang that the task belongs to.
  void BreakGangOf(const TaskRef& task);
  void RestartWorkers();
  void CarryOut(const std::vector<Order>& orders);
  void CarryOutStart(const StartRun& order);
  void CarryOutStop(const StopRun& order);
  void CarryOutReport(const AskReport& order);
  void Save();

  std::map<WorkerName, Host> hosts;
  std::map<JobId, AcceptedJob> jobs;
  std::map<JobId, std::string> stored;
  std::vector<WorkerListing> remembered;
  std::set<WorkerName> vacating;
  std::map<TaskRef, Milliseconds> crash_delays;
  std::map<TaskRef, History> histories;
  std::multimap<MonotonicTime, WorkerName> crashes_due;
  std::unique_ptr<PoolScheduler> scheduler;
  std::vector<std::string> log;
  Milliseconds elapsed{0};
  Milliseconds restart_delay{2000};
  std::int64_t term = 0;
  int crash_count = 0;
  bool is_crash_listed = true;
  bool is_store_available = true;
  std::optional<TaskRef> fatal_task;
  int fatal_from = 0;
  Milliseconds fatal_gap{0};
  bool is_scheduler_ending = false;
  std::optional<MonotonicTime> next_scheduler_at;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_JOBS_CRASHING_POOL_H_

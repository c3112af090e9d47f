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

// A random schedule of one pool: workers that crash, come back and are cut off;
// orders that are lost, answered late or carried out late; schedulers that are
// replaced with or without a word; a list of workers that forgets those that
// are silent. Checks what the workers see.
class PoolSimulation {
 public:
  struct Totals {
    int starts = 0;
    int done = 0;
    int late_orders = 0;
    int terms = 0;
    int crashes = 0;
    int cuts = 0;
    int jobs_complete = 0;
  };

  explicit PoolSimulation(std::uint64_t seed);

  // Empty if nothing was broken, else what and when.
  std::string Run(Totals* totals);

 private:
  struct Host {
    std::unique_ptr<FakeWorker> worker;  // null while it is down
    WorkerListing listing;
    MonotonicTime silent_until;  // for the schedulers
    int lives = 1;
  };

  void Step();
  void BeginTerm(bool is_predecessor_gone);
  void Deliver(const std::vector<Order>& orders);
  void DeliverStart(const StartRun& order);
  void DeliverStop(const StopRun& order);
  void DeliverReport(const AskReport& order);
  void CarryOutStart(const StartRun& order, std::int64_t fence);
  void Save();
  void Disturb();
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
  // Ends `done` that a worker was told to forget.
  std::set<TaskRef> noted_done;
  Totals* totals = nullptr;
  std::string failure;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_JOBS_POOL_SIMULATION_H_

#ifndef SOURCE_UNITTESTS_LIMITS_LIMITS_MODEL_H_
#define SOURCE_UNITTESTS_LIMITS_LIMITS_MODEL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Limits/allotment_holder.h"
#include "UnitTests/Schedule/event_queue.h"
#include "UnitTests/Schedule/fake_process.h"

namespace daisyroad {

// Simulates one random schedule of one team's limit: entry instances with
// bursts of demand, a store, and workers that enforce start deadlines and
// leases.
class LimitsModel {
 public:
  struct Totals {
    std::uint64_t started = 0;
    std::uint64_t fenced = 0;     // starts refused after their deadline
    std::uint64_t lapsed = 0;     // tasks stopped after their lease expired
    std::uint64_t reclaimed = 0;  // holders removed from the record
    std::uint64_t full = 0;       // starts that reached the limit
  };

  explicit LimitsModel(std::uint64_t seed);
  ~LimitsModel();
  LimitsModel(const LimitsModel&) = delete;
  LimitsModel& operator=(const LimitsModel&) = delete;
  // Returns the first violated invariant, or an empty string.
  std::string Run(Totals* totals);

 private:
  struct WorkerTime {
    Duration worker_now;
    MonotonicTime received;
  };
  struct Node {
    EntryName name;
    std::shared_ptr<FakeProcess> machine;
    std::unique_ptr<AllotmentHolder> holder;
    bool store_cut = false;  // cut off from the store but not from the workers
    std::uint64_t epoch = 0;
    MonotonicTime confirmed_at;
    std::map<std::size_t, WorkerTime> clocks;
    std::int64_t waiting = 0;
    int ticks = 0;
  };
  using NodeRef = std::shared_ptr<Node>;
  struct WorkerTask {
    bool is_running = true;
    Duration lease_until = Duration::zero();  // on the worker's clock
  };
  struct Worker {
    std::shared_ptr<FakeProcess> machine;
    std::map<int, WorkerTask> tasks;
  };
  struct ControlAnswer {
    std::uint64_t epoch = 0;
    std::set<EntryName> members;
    std::int64_t limit = 0;
    std::uint64_t version = 0;
  };
  struct StartAnswer {
    bool started = false;
  };
  struct QueryAnswer {
    bool known = false;
    bool is_running = false;
    bool deadline_passed = false;
  };
  struct WriteAnswer {
    WriteOutcome outcome = WriteOutcome::kConflict;
    std::uint64_t revision = 0;
  };
  struct Version {
    Duration at;
    LimitSnapshot snapshot;
  };

  void AddNode();
  void PollPeriodically(const NodeRef& node);
  void Poll(const NodeRef& node);
  void PollControl(const NodeRef& node);
  void PollWorker(const NodeRef& node, std::size_t worker);
  void Gossip(const NodeRef& node);
  void RandomFault();
  void ChangeRoster();
  void ChangeDemand();
  void Perform(const NodeRef& node, const std::vector<LimitAction>& actions);
  void Read(const NodeRef& node);
  void Write(const NodeRef& node, const WriteLimit& action);
  void StartTasks(const NodeRef& node);
  void QueryWorker(const NodeRef& node,
                   std::size_t worker,
                   int task,
                   Duration deadline);
  StartAnswer StartOnWorker(std::size_t worker, int task, Duration deadline);
  void FinishTask(std::size_t worker, int task);
  void CheckLease(std::size_t worker, int task);
  void Renew(const NodeRef& node, std::size_t worker, int task);
  Duration WorkerNow(std::size_t worker) const;
  Duration AuthorityDeadline(const Node& node, std::size_t worker) const;
  bool IsStoreDown(const Node& node) const;
  void Fail(const std::string& text);

  Random random;
  EventQueue queue;
  std::vector<NodeRef> nodes;
  // All machines of the run, including those that have ended.
  std::vector<std::shared_ptr<FakeProcess>> machines;
  std::vector<Worker> workers;
  std::vector<Version> versions;
  std::set<EntryName> roster;
  std::uint64_t epoch = 0;
  std::int64_t limit = 12;
  std::uint64_t limit_version = 1;
  bool outage = false;
  int node_count = 0;
  int task_count = 0;
  std::int64_t running_count = 0;
  std::string failure;
  Totals counts;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_LIMITS_LIMITS_MODEL_H_

#ifndef SOURCE_CORE_SITE_POOL_LEADER_H_
#define SOURCE_CORE_SITE_POOL_LEADER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Jobs/job_progress.h"
#include "Core/Jobs/pool_load.h"
#include "Core/Jobs/scheduler_settings.h"
#include "Core/Jobs/worker_listing.h"
#include "Core/Site/leadership.h"
#include "Core/Site/operator_state.h"

namespace daisyroad {

class AdviceDispatcher;
class EventLoop;
class AllotmentManager;
class MachineClient;
class MetricsRegistry;
class RevisionStore;
class RunClient;

struct PoolLeaderContext {
  RevisionStore* store = nullptr;
  RunClient* workers = nullptr;
  MachineClient* machines = nullptr;
  AdviceDispatcher* advisor = nullptr;
  EventLoop* loop = nullptr;
  AllotmentManager* allotments = nullptr;
  MetricsRegistry* metrics = nullptr;
  SchedulerSettings settings;
  // Returns false once the term has ended, though PoolLeader still exists.
  std::function<bool()> may_issue_orders;
  // Returns false while another instance may have begun the next term.
  std::function<bool()> is_lease_valid;
  // How long finished jobs are kept for status queries.
  std::chrono::seconds retention{120};
};

// Schedules one pool during a term: feeds the PoolScheduler with events from
// the store and the workers, sends its orders, and stores the progress of jobs.
class PoolLeader {
 public:
  // How long the watch for accepted jobs waits. It limits the time for which
  // jobs stay unknown if the watch is silent.
  static constexpr Milliseconds kInboxWatchWait{300};

  PoolLeader(const PoolLeaderContext& context,
             const PoolName& pool,
             const Term& term);
  ~PoolLeader();
  PoolLeader(const PoolLeader&) = delete;
  PoolLeader& operator=(const PoolLeader&) = delete;

  void Start();
  void SetOperatorState(const OperatorState& state);
  void SetListing(const std::map<WorkerName, WorkerListing>& listing);
  // Starts no new runs on `workers` and prefers others to `due`, which planned
  // work will empty later; without a value, those of the last call stay.
  // Without another call, `workers` expire after 2 s and `due` after 10 s, or
  // after 2 s if services do not leave early.
  void SetVacating(const std::set<WorkerName>& workers,
                   const std::optional<std::set<WorkerName>>& due);

  // Called when the process that held the previous term has terminated.
  void OnPredecessorGone();

  bool is_ready() const;
  // Empty if the scheduler does not know the job, or does not know it yet.
  std::optional<JobStatus> StatusOf(const JobId& job) const;
  int PendingJobs(const QueueName& queue) const;
  PoolLoad Load() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_POOL_LEADER_H_

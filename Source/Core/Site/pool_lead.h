#ifndef SOURCE_CORE_SITE_POOL_LEAD_H_
#define SOURCE_CORE_SITE_POOL_LEAD_H_

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

class AdviceClient;
class EventLoop;
class LimitKeeper;
class MachineClient;
class MetricsRegistry;
class RevisionStore;
class RunClient;

struct PoolLeadContext {
  RevisionStore* store = nullptr;
  RunClient* workers = nullptr;
  MachineClient* machines = nullptr;
  AdviceClient* advisor = nullptr;
  EventLoop* loop = nullptr;
  LimitKeeper* limits = nullptr;
  MetricsRegistry* metrics = nullptr;
  SchedulerSettings settings;
  // False while another instance may have begun the next term.
  std::function<bool()> is_sole;
  // Final jobs are kept this long for callers that ask.
  std::chrono::seconds retention{120};
};

// Carries out the scheduling of one pool during a term: feeds the scheduler
// from the store and the workers, sends its orders, and stores its progress.
class PoolLead {
 public:
  PoolLead(const PoolLeadContext& context,
           const PoolName& pool,
           const Term& term);
  ~PoolLead();
  PoolLead(const PoolLead&) = delete;
  PoolLead& operator=(const PoolLead&) = delete;

  void Start();
  void SetOperatorState(const OperatorState& state);
  void SetListing(const std::map<WorkerName, WorkerListing>& listing);
  // Keeps the workers free of new runs, and those that are due free of tasks
  // that last, until the next call, which must come within two seconds.
  void SetVacating(const std::set<WorkerName>& workers,
                   const std::set<WorkerName>& due);

  // The instance of the term before has ended.
  void OnPredecessorGone();

  bool is_ready() const;
  // Nothing if the scheduler does not know the job (yet).
  std::optional<JobStatus> StatusOf(const JobId& job) const;
  int PendingJobs(const QueueName& queue) const;
  PoolLoad Load() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_POOL_LEAD_H_

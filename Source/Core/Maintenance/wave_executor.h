#ifndef SOURCE_CORE_MAINTENANCE_WAVE_EXECUTOR_H_
#define SOURCE_CORE_MAINTENANCE_WAVE_EXECUTOR_H_

#include <set>
#include <vector>

#include "Core/Fleet/instance_lifecycle.h"
#include "Core/Maintenance/maintenance_plan.h"

namespace daisyroad {

// Input of WaveExecutor.
struct ExecutorInput {
  const PoolLedger& ledger;
  const BudgetTable& budgets;
  const FleetObservation& observation;
  const ServiceTopology& topology;
  bool window_open = true;
};

// Computes the actions that execute a plan. It keeps no state between calls:
// completed and running operations are in the records. Execution therefore
// resumes after any interruption, and several entry instances may run it at
// once.
class WaveExecutor {
 public:
  // Number of waves that form a group, in which the instances with the shortest
  // remaining tasks go first. In the bench with 50 workers and four seeds,
  // groups of 8 interrupt 74 tasks and groups of 4 interrupt 87, in the same
  // rollout time. Larger groups would spread a rollout over many racks and
  // zones at once.
  static constexpr std::size_t kLookaheadWaves = 8;

  // `patience` as in InstanceLifecycle.
  WaveExecutor(EntryName entry, Duration patience);

  std::vector<FleetAction> Next(const MaintenancePlan& plan,
                                const ExecutorInput& input,
                                MonotonicTime now) const;

 private:
  // Continues the operations in progress and credits those that have ended.
  void ContinueOperations(const ExecutorInput& input,
                          const DownTable& unplanned,
                          MonotonicTime now,
                          std::vector<FleetAction>& actions) const;
  // Requests maintenance of further instances as far as the budgets allow;
  // `down` holds the instances that are down or about to be.
  void RequestNext(const MaintenancePlan& plan,
                   const ExecutorInput& input,
                   DownTable down,
                   std::vector<FleetAction>& actions) const;

  EntryName entry_name;
  Duration checkpoint_patience;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MAINTENANCE_WAVE_EXECUTOR_H_

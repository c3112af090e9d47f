#ifndef SOURCE_CORE_FLEET_INSTANCE_LIFECYCLE_H_
#define SOURCE_CORE_FLEET_INSTANCE_LIFECYCLE_H_

#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Fleet/disruption_budget.h"
#include "Core/Fleet/fleet_action.h"
#include "Core/Fleet/fleet_observation.h"
#include "Core/Fleet/service_topology.h"
#include "Core/Fleet/versioned.h"

namespace daisyroad {

// What a step is decided from. The records may be out of date: the writes are
// compare-and-swaps, so a decision on an old record has no effect.
struct LifecycleInput {
  const BudgetTable& budgets;
  const DownTable& unplanned;
  const FleetObservation& observation;
  const ServiceTopology& topology;
  // Outside the maintenance windows no maintenance begins; moves, and what has
  // begun, are carried on.
  bool window_open = true;
};

// Next step of the operation on one instance. It keeps no state of its own, so
// any entry instance carries on what another one began.
class InstanceLifecycle {
 public:
  // An observation older than this begins no disruption; same bound as the
  // freshness of the configuration.
  static constexpr Duration kObservationBound = std::chrono::seconds(3);

  // `task_patience`: a task expected to run longer than this is checkpointed.
  InstanceLifecycle(EntryName entry, Duration task_patience);

  std::vector<FleetAction> Next(const Versioned<InstanceRecord>& instance,
                                const LifecycleInput& input,
                                MonotonicTime now) const;

 private:
  std::vector<FleetAction> Begin(const Versioned<InstanceRecord>& instance,
                                 const LifecycleInput& input,
                                 MonotonicTime now) const;
  std::vector<FleetAction> Disrupt(const Versioned<InstanceRecord>& instance,
                                   const LifecycleInput& input) const;
  std::vector<FleetAction> Drain(const Versioned<InstanceRecord>& instance,
                                 const WorkerObservation& seen) const;
  WriteInstance Step(const Versioned<InstanceRecord>& instance,
                     InstanceStep step) const;
  // Back to service: the operation was refused or is complete.
  WriteInstance Finish(const Versioned<InstanceRecord>& instance) const;
  WriteInstance HandOver(const Versioned<InstanceRecord>& instance) const;

  EntryName self;
  Duration patience;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_INSTANCE_LIFECYCLE_H_

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

// Input for the decision on the next step. The records may be out of date:
// writes are compare-and-swaps, so one based on an old record has no effect.
struct LifecycleInput {
  const BudgetTable& budgets;
  const DownTable& unplanned;
  const FleetObservation& observation;
  const ServiceTopology& topology;
  // False outside the maintenance windows: no maintenance begins. Moves go on,
  // and so does maintenance whose drain has begun.
  bool window_open = true;
};

// Computes the next step of the operation on one instance. It keeps no state
// between calls, so any entry instance can continue an operation that another
// one began.
class InstanceLifecycle {
 public:
  // Maximum age of an observation on which a disruption may begin. The same
  // bound applies to the age of the configuration.
  static constexpr Duration kObservationBound = std::chrono::seconds(3);

  // If the running tasks of a draining worker are expected to take longer than
  // `patience`, the worker is asked to checkpoint them.
  InstanceLifecycle(EntryName entry, Duration patience);

  // Returns the actions to take now; empty if there is nothing to do.
  std::vector<FleetAction> Next(const Versioned<InstanceRecord>& instance,
                                const LifecycleInput& input,
                                MonotonicTime now) const;

 private:
  std::vector<FleetAction> ChargeAndDrain(
      const Versioned<InstanceRecord>& instance,
      const LifecycleInput& input,
      MonotonicTime now) const;
  std::vector<FleetAction> DrainAndReboot(
      const Versioned<InstanceRecord>& instance,
      const LifecycleInput& input) const;
  std::vector<FleetAction> Drain(const Versioned<InstanceRecord>& instance,
                                 const WorkerObservation& observed) const;
  WriteInstance WriteStep(const Versioned<InstanceRecord>& instance,
                          InstanceStep step) const;
  // Ends the operation, which was refused or is complete.
  WriteInstance EndOperation(const Versioned<InstanceRecord>& instance) const;
  // Puts the instance into the target pool of the operation.
  WriteInstance HandOver(const Versioned<InstanceRecord>& instance) const;

  EntryName entry_name;
  Duration checkpoint_patience;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_INSTANCE_LIFECYCLE_H_

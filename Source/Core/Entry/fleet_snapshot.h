#ifndef SOURCE_CORE_ENTRY_FLEET_SNAPSHOT_H_
#define SOURCE_CORE_ENTRY_FLEET_SNAPSHOT_H_

#include "Core/Common/time.h"
#include "Core/Fleet/disruption_budget.h"
#include "Core/Fleet/fleet_observation.h"
#include "Core/Fleet/pool_ledger.h"
#include "Core/Fleet/service_topology.h"

namespace daisyroad {

// Input of one round of decisions. The records are copied before the workers
// are probed, so an incarnation that differs from the recorded one is a later
// one and proves that the worker has restarted.
struct FleetSnapshot {
  PoolLedger ledger;
  BudgetTable budgets;
  bool window_open = false;
  MonotonicTime read_sent_at;  // when the read of the records was sent
  ServiceTopology topology;
  FleetObservation observation;
  DownTable unplanned;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_SNAPSHOT_H_

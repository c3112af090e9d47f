#ifndef SOURCE_CORE_ENTRY_FLEET_SNAPSHOT_H_
#define SOURCE_CORE_ENTRY_FLEET_SNAPSHOT_H_

#include "Core/Common/time.h"
#include "Core/Fleet/disruption_budget.h"
#include "Core/Fleet/fleet_observation.h"
#include "Core/Fleet/pool_ledger.h"
#include "Core/Fleet/service_topology.h"

namespace daisyroad {

// What one round of decisions is made from. The records are copied before the
// workers are probed: an incarnation that differs from the one in a record is
// then a later one, which proves the return of the worker.
struct FleetSnapshot {
  PoolLedger ledger;
  BudgetTable budgets;
  bool window_open = false;
  MonotonicTime read_at;  // when the read of the records was sent
  ServiceTopology topology;
  FleetObservation observation;
  DownTable unplanned;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_SNAPSHOT_H_

#ifndef SOURCE_CORE_ENTRY_FLEET_PLAN_H_
#define SOURCE_CORE_ENTRY_FLEET_PLAN_H_

#include <cstdint>
#include <map>

#include "Core/Capacity/capacity_input.h"
#include "Core/Common/time.h"
#include "Core/Declaration/declaration.h"
#include "Core/Fleet/pool_ledger.h"
#include "Core/Maintenance/maintenance_plan.h"

namespace daisyroad {

// Builds the inputs of the planners from the declaration and the records.

ServiceTopology TopologyOf(const Declaration& declaration);

// Number of instances of each service that may be down at once. A fractional
// budget applies to the current members of the pool, up to the declared number.
std::map<ServiceName, std::int64_t> AllowedOf(const Declaration& declaration,
                                              const PoolLedger& ledger);

// One-based number of the maintenance interval since the Unix epoch.
std::int64_t MaintenanceCycle(const MaintenancePolicy& policy, WallTime now);
bool IsWindowOpen(const MaintenancePolicy& policy, WallTime now);

MaintenanceInput MaintenanceInputOf(const Declaration& declaration,
                                    const PoolLedger& ledger,
                                    WallTime now);

// `change` is the number of instances to add to each pool, or to remove from it
// if negative.
CapacityInput CapacityInputOf(const Declaration& declaration,
                              const PoolLedger& ledger,
                              const PoolCounts& change);

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_PLAN_H_

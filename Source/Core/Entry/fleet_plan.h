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

// What the pure decisions need, derived from the declaration and the records.

ServiceTopology TopologyOf(const Declaration& declaration);

// Instances of each service that may be down at once. A fraction is taken of
// the members that the pool has, but never of more than are declared.
std::map<ServiceName, std::int64_t> AllowedOf(const Declaration& declaration,
                                              const PoolLedger& ledger);

// Number of the maintenance interval, from 1, counted from 1970.
std::int64_t MaintenanceCycle(const MaintenancePolicy& policy, WallTime now);
bool IsWindowOpen(const MaintenancePolicy& policy, WallTime now);

MaintenanceInput MaintenanceInputOf(const Declaration& declaration,
                                    const PoolLedger& ledger,
                                    WallTime now);

// `change`: instances added to a pool, or taken from it if negative.
CapacityInput CapacityInputOf(const Declaration& declaration,
                              const PoolLedger& ledger,
                              const PoolCounts& change);

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_PLAN_H_

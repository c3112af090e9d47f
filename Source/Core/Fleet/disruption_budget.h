#ifndef SOURCE_CORE_FLEET_DISRUPTION_BUDGET_H_
#define SOURCE_CORE_FLEET_DISRUPTION_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Fleet/budget_record.h"
#include "Core/Fleet/fleet_observation.h"
#include "Core/Fleet/instance_record.h"
#include "Core/Fleet/pool_ledger.h"
#include "Core/Fleet/service_topology.h"

namespace daisyroad {

using BudgetTable = std::map<ServiceName, Versioned<BudgetRecord>>;
using DownTable = std::map<ServiceName, std::set<WorkerName>>;

// Computes how many instances of a service are down, and adds and removes the
// charges in the budgets/SERVICE records.
class DisruptionBudget {
 public:
  // Instances of each service that are observed to be down: unhealthy, missing
  // from the observation or the instance list, or in a zone that was taken out
  // of service. An instance with a charge is included too while it is down.
  static DownTable UnplannedDown(const PoolLedger& ledger,
                                 const ServiceTopology& topology,
                                 const FleetObservation& observation);

  // Number of distinct instances that would be down if `worker` went down too:
  // those in `unplanned`, those with a charge and `worker`.
  static std::int64_t DownWith(const BudgetRecord& budget,
                               const std::set<WorkerName>& unplanned,
                               const WorkerName& worker);
  // True if the budget allows `worker` to go down too.
  static bool HasRoom(const BudgetRecord& budget,
                      const std::set<WorkerName>& unplanned,
                      const WorkerName& worker);

  // Returns the budget with a charge added for the operation of `instance`, or
  // kResourceExhausted if the budget does not allow another instance down.
  static Result<BudgetRecord> Charge(const BudgetRecord& budget,
                                     const InstanceRecord& instance,
                                     const std::set<WorkerName>& unplanned);

  // Returns the budget without the charges of operations that have ended, or
  // nullopt if there are none. An operation has ended when the instance record
  // no longer names it. That requires that the worker was seen healthy with a
  // new incarnation, or that the operation was refused before its drain began.
  static std::optional<BudgetRecord> Credit(const BudgetRecord& budget,
                                            const PoolLedger& ledger);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_DISRUPTION_BUDGET_H_

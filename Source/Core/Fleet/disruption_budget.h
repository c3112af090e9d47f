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

// Rules of the records budgets/SERVICE.
class DisruptionBudget {
 public:
  // Instances of each service that are down without a charge: broken, not yet
  // shown by the instance list, or in a zone that is out.
  static DownTable UnplannedDown(const PoolLedger& ledger,
                                 const ServiceTopology& topology,
                                 const FleetObservation& observation);

  // Number of instances down, each counted once, if `worker` went down too.
  static std::int64_t DownWith(const BudgetRecord& budget,
                               const std::set<WorkerName>& unplanned,
                               const WorkerName& worker);
  static bool HasRoom(const BudgetRecord& budget,
                      const std::set<WorkerName>& unplanned,
                      const WorkerName& worker);

  // The record with the charge of the operation of `instance`;
  // kResourceExhausted when the budget has no room.
  static Result<BudgetRecord> Charge(const BudgetRecord& budget,
                                     const InstanceRecord& instance,
                                     const std::set<WorkerName>& unplanned);

  // The record without the charges whose operation is over, or nothing if all
  // stand. An operation is over when the instance record has left it, which
  // needs proof of return or a refusal before the drain began.
  static std::optional<BudgetRecord> Credit(const BudgetRecord& budget,
                                            const PoolLedger& ledger);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_DISRUPTION_BUDGET_H_

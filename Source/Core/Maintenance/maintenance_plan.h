#ifndef SOURCE_CORE_MAINTENANCE_MAINTENANCE_PLAN_H_
#define SOURCE_CORE_MAINTENANCE_MAINTENANCE_PLAN_H_

#include <cstdint>
#include <map>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Fleet/instance_record.h"
#include "Core/Fleet/service_topology.h"

namespace daisyroad {

// Input of a planner. It consists of records only, without observations or the
// time, so that every entry instance computes the same plan throughout the
// maintenance interval.
struct MaintenanceInput {
  std::int64_t cycle = 0;  // number of the maintenance interval, from 1
  std::vector<InstanceRecord> instances;
  ServiceTopology topology;
  // Number of instances of each service that may be down at once.
  std::map<ServiceName, std::int64_t> allowed;
};

struct MaintenancePlan {
  std::int64_t cycle = 0;
  std::vector<std::vector<WorkerName>> waves;
  // Instances in no wave because a service that depends on their pool allows no
  // disruption.
  std::vector<WorkerName> blocked;
  // If true, a wave begins only when the previous one is complete. If false,
  // the waves only set the order, and an instance begins as soon as the budgets
  // allow it.
  bool barrier = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MAINTENANCE_MAINTENANCE_PLAN_H_

#ifndef SOURCE_CORE_MAINTENANCE_MAINTENANCE_PLAN_H_
#define SOURCE_CORE_MAINTENANCE_MAINTENANCE_PLAN_H_

#include <cstdint>
#include <map>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Fleet/instance_record.h"
#include "Core/Fleet/service_topology.h"

namespace daisyroad {

// What a plan is made from. Only records: no observation and no time, so that
// every entry instance makes the same plan at any moment of the interval.
struct MaintenanceInput {
  std::int64_t cycle = 0;  // number of the maintenance interval, from 1
  std::vector<InstanceRecord> instances;
  ServiceTopology topology;
  std::map<ServiceName, std::int64_t> allowed;
};

struct MaintenancePlan {
  std::int64_t cycle = 0;
  std::vector<std::vector<WorkerName>> waves;
  // Instances of a service that allows no disruption at all.
  std::vector<WorkerName> blocked;
  // True: a wave begins when the one before it is complete. False: the waves
  // give the order, and an instance begins as soon as the budgets have room.
  bool barrier = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MAINTENANCE_MAINTENANCE_PLAN_H_

#ifndef SOURCE_CORE_CAPACITY_CAPACITY_INPUT_H_
#define SOURCE_CORE_CAPACITY_CAPACITY_INPUT_H_

#include <cstdint>
#include <map>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

enum class FailureDomain { kWorker, kRack, kZone };

// Placement of one worker in service.
struct CapacityWorker {
  PoolName pool;
  ZoneName zone;
  RackName rack;
};

// Frequency and duration of the losses of one kind of failure domain in the
// whole fleet.
struct LossRate {
  double per_year = 0.0;
  Duration repair = Duration::zero();
};

using PoolCounts = std::map<PoolName, std::int64_t>;
using LossRates = std::map<FailureDomain, LossRate>;

// Input of BufferPlanner.
struct CapacityInput {
  // Workers in service, without spare instances.
  std::vector<CapacityWorker> workers;
  // Instances that each pool needs for the declared service level.
  PoolCounts needed;
  std::vector<ZoneName> zones;  // zones that may hold spare instances
  std::int64_t workers_per_rack = 4;
  // Kinds of losses that the spare instances must cover, one loss at a time.
  std::vector<FailureDomain> survive = {
      FailureDomain::kWorker, FailureDomain::kRack, FailureDomain::kZone};
  LossRates rates;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CAPACITY_CAPACITY_INPUT_H_

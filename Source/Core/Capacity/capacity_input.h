#ifndef SOURCE_CORE_CAPACITY_CAPACITY_INPUT_H_
#define SOURCE_CORE_CAPACITY_CAPACITY_INPUT_H_

#include <cstdint>
#include <map>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

enum class FailureDomain { kWorker, kRack, kZone };

struct CapacityWorker {
  PoolName pool;
  ZoneName zone;
  RackName rack;
};

// How often one kind of domain is lost in the whole fleet and for how long.
struct LossRate {
  double per_year = 0.0;
  Duration repair = Duration::zero();
};

using PoolCounts = std::map<PoolName, std::int64_t>;
using LossRates = std::map<FailureDomain, LossRate>;

struct CapacityInput {
  // Workers in service, without the spare.
  std::vector<CapacityWorker> workers;
  // Instances that each pool needs for the declared service level.
  PoolCounts needed;
  std::vector<ZoneName> zones;  // where spare may stand
  std::int64_t workers_per_rack = 4;
  // Losses that the spare must cover; one domain at a time.
  std::vector<FailureDomain> survive = {
      FailureDomain::kWorker, FailureDomain::kRack, FailureDomain::kZone};
  LossRates rates;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CAPACITY_CAPACITY_INPUT_H_

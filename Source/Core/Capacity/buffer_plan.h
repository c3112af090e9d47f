#ifndef SOURCE_CORE_CAPACITY_BUFFER_PLAN_H_
#define SOURCE_CORE_CAPACITY_BUFFER_PLAN_H_

#include <cstdint>
#include <map>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// Number of spare instances in each zone, shared by all pools.
using SpareByZone = std::map<ZoneName, std::int64_t>;

// Spare instances needed to keep the service level after a loss.
struct BufferPlan {
  // False if no number of spare instances keeps the service level, for example
  // if a zone may be lost and there is only one zone.
  bool feasible = false;
  SpareByZone spare;
  std::int64_t total = 0;
  // Number of spare instances that each pool would need if they were not
  // shared.
  std::map<PoolName, std::int64_t> separate;
  std::int64_t separate_total = 0;
};

// One row of the what-if table: the effect of a number of spare instances.
struct WhatIfRow {
  std::int64_t spare = 0;
  // Largest number of instances missing after the loss of one domain.
  std::int64_t worst_shortfall = 0;
  // Expected instance-hours a year below the service level.
  double shortfall_hours_per_year = 0.0;
  double cost_hours_per_year = 0.0;  // instance-hours of the spare instances
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CAPACITY_BUFFER_PLAN_H_

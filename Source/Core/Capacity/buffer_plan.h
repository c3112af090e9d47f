#ifndef SOURCE_CORE_CAPACITY_BUFFER_PLAN_H_
#define SOURCE_CORE_CAPACITY_BUFFER_PLAN_H_

#include <cstdint>
#include <map>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// Spare by zone, shared by all pools.
using SpareByZone = std::map<ZoneName, std::int64_t>;

struct BufferPlan {
  // False if no number of spare instances keeps the level, for example a zone
  // loss with all spare in one zone.
  bool feasible = false;
  SpareByZone spare;
  std::int64_t total = 0;
  // What each pool would need if its spare served no other pool.
  std::map<PoolName, std::int64_t> separate;
  std::int64_t separate_total = 0;
};

// One row of the what-if table.
struct WhatIfRow {
  std::int64_t spare = 0;
  // Largest number of instances missing after the loss of one domain.
  std::int64_t worst_shortfall = 0;
  // Expected instance-hours a year below the service level.
  double shortfall_hours_per_year = 0.0;
  double cost_hours_per_year = 0.0;  // instance-hours of the spare
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CAPACITY_BUFFER_PLAN_H_

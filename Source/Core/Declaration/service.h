#ifndef SOURCE_CORE_DECLARATION_SERVICE_H_
#define SOURCE_CORE_DECLARATION_SERVICE_H_

#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Declaration/availability_budget.h"

namespace daisyroad {

// A service that runs on the workers of one pool.
struct Service {
  ServiceName name;
  PoolName pool;
  std::vector<ServiceName> depends_on;  // no cycles
  double service_level = 0.99;          // fraction of requests served, (0, 1]
  AvailabilityBudget budget;

  bool operator==(const Service&) const = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_SERVICE_H_

#ifndef SOURCE_CORE_FLEET_SERVICE_TOPOLOGY_H_
#define SOURCE_CORE_FLEET_SERVICE_TOPOLOGY_H_

#include <map>
#include <set>
#include <vector>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// The pools that each service depends on, as set in the declaration.
class ServiceTopology {
 public:
  using PoolTable = std::map<ServiceName, std::set<PoolName>>;

  void Add(const ServiceName& service, const PoolName& pool);

  // Services that depend on `pool`, in order of name. Budgets are charged in
  // this order.
  const std::vector<ServiceName>& ServicesOf(const PoolName& pool) const;
  const PoolTable& services() const { return this->pools_of_service; }

 private:
  PoolTable pools_of_service;
  std::map<PoolName, std::vector<ServiceName>> services_of_pool;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_SERVICE_TOPOLOGY_H_

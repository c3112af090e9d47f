#ifndef SOURCE_CORE_FLEET_SERVICE_TOPOLOGY_H_
#define SOURCE_CORE_FLEET_SERVICE_TOPOLOGY_H_

#include <map>
#include <set>
#include <vector>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// Which pools each service depends on; from the declaration.
class ServiceTopology {
 public:
  using PoolTable = std::map<ServiceName, std::set<PoolName>>;

  void Add(const ServiceName& service, const PoolName& pool);

  // In order of name, which is the order in which budgets are charged.
  const std::vector<ServiceName>& ServicesOf(const PoolName& pool) const;
  const PoolTable& services() const { return this->pools_of_service; }

 private:
  PoolTable pools_of_service;
  std::map<PoolName, std::vector<ServiceName>> services_of_pool;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_SERVICE_TOPOLOGY_H_

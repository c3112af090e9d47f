#include "Core/Fleet/service_topology.h"

#include <algorithm>

namespace daisyroad {

void ServiceTopology::Add(const ServiceName& service, const PoolName& pool) {
  if (!this->pools_of_service[service].insert(pool).second) {
    return;
  }
  std::vector<ServiceName>& services = this->services_of_pool[pool];
  services.insert(std::upper_bound(services.begin(), services.end(), service),
                  service);
}

const std::vector<ServiceName>& ServiceTopology::ServicesOf(
    const PoolName& pool) const {
  static const std::vector<ServiceName> kNoServices;
  const auto found = this->services_of_pool.find(pool);
  return found == this->services_of_pool.end() ? kNoServices : found->second;
}

}  // namespace daisyroad

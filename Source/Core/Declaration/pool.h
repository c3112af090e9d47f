#ifndef SOURCE_CORE_DECLARATION_POOL_H_
#define SOURCE_CORE_DECLARATION_POOL_H_

#include <cstdint>
#include <map>

#include "Core/Common/identifiers.h"
#include "Core/Declaration/worker_resources.h"

namespace daisyroad {

// Workers of one size that serve the same services.
struct Pool {
  PoolName name;
  std::map<ZoneName, std::int64_t> workers;  // declared count; 0 if absent
  bool spare = false;  // at most one pool of a declaration is the spare
  WorkerResources worker;

  // Declared count over all zones.
  std::int64_t TotalWorkers() const {
    std::int64_t total = 0;
    for (const auto& [zone, count] : this->workers) {
      total += count;
    }
    return total;
  }

  bool operator==(const Pool&) const = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_POOL_H_

#ifndef SOURCE_CORE_PLATFORM_LISTED_INSTANCE_H_
#define SOURCE_CORE_PLATFORM_LISTED_INSTANCE_H_

#include <string>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// A backend server instance in the platform's instance list. The list is
// seconds behind the actual state of the fleet.
struct ListedInstance {
  WorkerName name;
  std::string address;  // host:port
  ZoneName zone;
  RackName rack;
  PoolName initial_pool;  // used until the instance has its own record
  bool leaving = false;

  friend bool operator==(const ListedInstance&,
                         const ListedInstance&) = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_LISTED_INSTANCE_H_

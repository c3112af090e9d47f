#ifndef SOURCE_CORE_PLATFORM_LISTED_INSTANCE_H_
#define SOURCE_CORE_PLATFORM_LISTED_INSTANCE_H_

#include <string>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// One backend server instance of the platform's instance list. The list lags
// behind the fleet by seconds.
struct ListedInstance {
  WorkerName name;
  std::string address;  // host:port
  ZoneName zone;
  RackName rack;
  PoolName initial_pool;  // holds until the instance has a record of its own
  bool leaving = false;

  friend bool operator==(const ListedInstance&,
                         const ListedInstance&) = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_LISTED_INSTANCE_H_

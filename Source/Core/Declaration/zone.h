#ifndef SOURCE_CORE_DECLARATION_ZONE_H_
#define SOURCE_CORE_DECLARATION_ZONE_H_

#include <string>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// An availability zone and the region that it belongs to.
struct Zone {
  ZoneName name;
  std::string region;  // one of Declaration::regions

  bool operator==(const Zone&) const = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_ZONE_H_

#ifndef SOURCE_CORE_DIAGNOSIS_ZONE_PROBE_H_
#define SOURCE_CORE_DIAGNOSIS_ZONE_PROBE_H_

#include "Core/Common/identifiers.h"

namespace daisyroad {

// A probe sent from an instance in zone `from` to an instance in zone `to`.
// Only this direction is tested.
struct ZoneProbe {
  EntryName observer;
  EntryName peer;
  ZoneName from;
  ZoneName to;
  bool arrived = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_ZONE_PROBE_H_

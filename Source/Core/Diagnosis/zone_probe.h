#ifndef SOURCE_CORE_DIAGNOSIS_ZONE_PROBE_H_
#define SOURCE_CORE_DIAGNOSIS_ZONE_PROBE_H_

#include "Core/Common/identifiers.h"

namespace daisyroad {

// A probe from an instance of one zone to one of another. The direction is the
// one in which the probe travels.
struct ZoneProbe {
  EntryName observer;
  EntryName peer;
  ZoneName from;
  ZoneName to;
  bool arrived = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_ZONE_PROBE_H_

#ifndef SOURCE_CORE_DIAGNOSIS_INSTANCE_LIVENESS_H_
#define SOURCE_CORE_DIAGNOSIS_INSTANCE_LIVENESS_H_

#include <map>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// Determines which entry instances were alive and responsive from the requests
// between instances that were answered in time. With a cut path, the instances
// at both ends still have such exchanges with others; a dead, paused or
// overloaded instance has none.
class InstanceLiveness {
 public:
  // `observations` must be sorted by time.
  explicit InstanceLiveness(const std::vector<Observation>& observations);

  // Returns whether the instance took part in an exchange that was answered in
  // time, began at `at` or shortly after, and had its other end outside
  // `excluded_zone`.
  bool WasResponsive(const EntryName& instance,
                     MonotonicTime at,
                     const ZoneName& excluded_zone) const;

 private:
  struct Exchange {
    MonotonicTime at;
    ZoneName peer_zone;
  };

  std::map<EntryName, std::vector<Exchange>> exchanges;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_INSTANCE_LIVENESS_H_

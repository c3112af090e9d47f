#ifndef SOURCE_CORE_DIAGNOSIS_REFUSAL_H_
#define SOURCE_CORE_DIAGNOSIS_REFUSAL_H_

#include "Core/Common/identifiers.h"

namespace daisyroad {

enum class RefusalReason { kLimit, kKey, kQueue, kZone };

// A request that was refused because the configuration does not permit it.
struct Refusal {
  RefusalReason reason = RefusalReason::kLimit;
  TeamName team;
  QueueName queue;
  ZoneName zone;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_REFUSAL_H_

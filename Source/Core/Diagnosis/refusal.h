#ifndef SOURCE_CORE_DIAGNOSIS_REFUSAL_H_
#define SOURCE_CORE_DIAGNOSIS_REFUSAL_H_

#include "Core/Common/identifiers.h"

namespace daisyroad {

enum class RefusalReason { kLimit, kKey, kQueue, kZone };

// Work refused because of what the configuration permits.
struct Refusal {
  RefusalReason reason = RefusalReason::kLimit;
  TeamName team;
  QueueName queue;
  ZoneName zone;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_REFUSAL_H_

#ifndef SOURCE_CORE_DIAGNOSIS_QUEUE_DELAY_H_
#define SOURCE_CORE_DIAGNOSIS_QUEUE_DELAY_H_

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Time a task waited for a worker against the time the worker took.
struct QueueDelay {
  PoolName pool;
  ZoneName zone;
  Milliseconds wait{0};
  Milliseconds service{0};
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_QUEUE_DELAY_H_

#ifndef SOURCE_CORE_DIAGNOSIS_QUEUE_DELAY_H_
#define SOURCE_CORE_DIAGNOSIS_QUEUE_DELAY_H_

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// How long a task waited for a worker and how long the worker took to run it.
struct QueueDelay {
  PoolName pool;
  ZoneName zone;
  Milliseconds wait{0};
  Milliseconds service{0};
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_QUEUE_DELAY_H_

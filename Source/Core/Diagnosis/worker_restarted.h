#ifndef SOURCE_CORE_DIAGNOSIS_WORKER_RESTARTED_H_
#define SOURCE_CORE_DIAGNOSIS_WORKER_RESTARTED_H_

#include "Core/Common/identifiers.h"

namespace daisyroad {

// A worker reported a new incarnation, which means that it restarted.
struct WorkerRestarted {
  WorkerName worker;
  PoolName pool;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_WORKER_RESTARTED_H_

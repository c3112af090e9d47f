#ifndef SOURCE_CORE_DIAGNOSIS_WORKER_RESULTS_H_
#define SOURCE_CORE_DIAGNOSIS_WORKER_RESULTS_H_

#include <cstdint>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// The number of tasks that ended on a worker since the previous observation.
struct WorkerResults {
  WorkerName worker;
  PoolName pool;
  std::uint32_t done = 0;
  std::uint32_t failed = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_WORKER_RESULTS_H_

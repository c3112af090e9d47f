#ifndef SOURCE_CORE_SITE_WORKER_LIVENESS_H_
#define SOURCE_CORE_SITE_WORKER_LIVENESS_H_

#include <vector>

#include "Core/Platform/machine_client.h"

namespace daisyroad {

// What a list of machines says of a worker that does not answer.
enum class WorkerLiveness {
  kMayBeRunning,
  kTerminated,     // all that ran there has ended
  kMachineAbsent,  // over, unless the list misses the machine
};

// `machine` is where the worker lived by an earlier list, `pool` is the
// worker's. Its life is over once the machine moves, is in another pool, is
// maintained, is down or has another worker. A machine that merely names no
// worker may be cut off with it.
WorkerLiveness ClassifyWorkerLiveness(const WorkerName& worker,
                                      const PoolName& pool,
                                      const MachineName& machine,
                                      const std::vector<Machine>& machines);

const char* ToString(WorkerLiveness life);

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_WORKER_LIVENESS_H_

#ifndef SOURCE_CORE_SITE_WORKER_LIVENESS_H_
#define SOURCE_CORE_SITE_WORKER_LIVENESS_H_

#include <vector>

#include "Core/Jobs/worker_end.h"
#include "Core/Platform/machine_client.h"

namespace daisyroad {

// State of an unresponsive worker according to a list of machines.
enum class WorkerLiveness {
  kMayBeRunning,
  kTerminated,     // everything that ran there has ended
  kMachineAbsent,  // terminated, unless the list omits the machine
};

// `machine` is the worker's machine according to an earlier list, `pool` is the
// worker's pool. The worker has terminated once the machine is moving, is in
// another pool, is under maintenance, is down or has another worker. A machine
// that only reports no worker may be unreachable while the worker still runs.
WorkerLiveness ClassifyWorkerLiveness(const WorkerName& worker,
                                      const PoolName& pool,
                                      const MachineName& machine,
                                      const std::vector<Machine>& machines);

// The same for a worker whose machine is not known and which no machine of the
// list reports: it has no machine any more, unless one of its pool does not
// tell its worker.
WorkerLiveness ClassifyUnplacedWorker(const PoolName& pool,
                                      const std::vector<Machine>& machines);

// Why the worker of the machine has ended. Only this system moves machines and
// takes them into maintenance, but a machine that is to be moved may also
// crash.
WorkerEnd ClassifyWorkerEnd(const PoolName& pool,
                            const MachineName& machine,
                            const std::vector<Machine>& machines);

const char* ToString(WorkerLiveness life);

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_WORKER_LIVENESS_H_

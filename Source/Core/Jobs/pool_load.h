#ifndef SOURCE_CORE_JOBS_POOL_LOAD_H_
#define SOURCE_CORE_JOBS_POOL_LOAD_H_

#include <cstdint>
#include <map>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// How full a pool is, for those who move machines between pools.
struct PoolLoad {
  struct Worker {
    int runs = 0;
    int service_runs = 0;
    bool is_vacating = false;
  };

  // Millicores of all usable workers, of their runs, and of tasks that could
  // run if there were room.
  std::int64_t capacity = 0;
  std::int64_t used = 0;
  std::int64_t waiting = 0;
  // Millicores that would complete all open jobs in time and keep up with those
  // that come, and those of tasks that last.
  std::int64_t needed = 0;
  std::int64_t services = 0;
  int usable_workers = 0;
  // Those whose runs are known.
  std::map<WorkerName, Worker> workers;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_POOL_LOAD_H_

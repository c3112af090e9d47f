#ifndef SOURCE_CORE_JOBS_POOL_LOAD_H_
#define SOURCE_CORE_JOBS_POOL_LOAD_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// Load of a pool, used to decide on moving machines between pools.
struct PoolLoad {
  struct Worker {
    int runs = 0;
    int service_runs = 0;
    bool is_vacating = false;
  };

  // Millicores of all usable workers, millicores reserved by their runs, and
  // millicores requested by tasks that are ready but not placed.
  std::int64_t capacity = 0;
  std::int64_t used = 0;
  std::int64_t waiting = 0;
  // Millicores needed to complete all open jobs in time or to keep up with
  // expected arrivals, whichever is higher.
  std::int64_t needed = 0;
  // Millicores reserved by service runs.
  std::int64_t services = 0;
  int usable_workers = 0;
  // Workers whose runs are known.
  std::map<WorkerName, Worker> workers;

  int CountServiceWorkers() const {
    return static_cast<int>(
        std::count_if(this->workers.begin(), this->workers.end(),
                      [](const std::pair<const WorkerName, Worker>& worker) {
                        return worker.second.service_runs > 0;
                      }));
  }
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_POOL_LOAD_H_

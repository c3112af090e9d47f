#ifndef SOURCE_CORE_JOBS_WORKER_LISTING_H_
#define SOURCE_CORE_JOBS_WORKER_LISTING_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/resources.h"

namespace daisyroad {

// A worker's registration record in the store.
struct WorkerListing {
  WorkerName name;
  PoolName pool;
  std::string address;  // host:port
  ZoneName zone;
  RackName rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool is_draining = false;
  // Start time of the worker process; a new process may use the same name.
  std::int64_t incarnation = 0;

  friend bool operator==(const WorkerListing&, const WorkerListing&) = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_WORKER_LISTING_H_

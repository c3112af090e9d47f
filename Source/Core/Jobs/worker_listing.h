#ifndef SOURCE_CORE_JOBS_WORKER_LISTING_H_
#define SOURCE_CORE_JOBS_WORKER_LISTING_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/resources.h"

namespace daisyroad {

// What a worker says of itself in the store.
struct WorkerListing {
  WorkerName name;
  PoolName pool;
  std::string address;  // host:port
  ZoneName zone;
  RackName rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool is_draining = false;
  // Start of the worker's process; a worker may come back under its name.
  std::int64_t incarnation = 0;

  friend bool operator==(const WorkerListing&, const WorkerListing&) = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_WORKER_LISTING_H_

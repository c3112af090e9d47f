#ifndef SOURCE_CORE_DECLARATION_WORKER_RESOURCES_H_
#define SOURCE_CORE_DECLARATION_WORKER_RESOURCES_H_

#include <cstdint>

namespace daisyroad {

// Size of one worker of a pool.
struct WorkerResources {
  std::int64_t cores = 0;
  std::int64_t memory_gb = 0;     // GB, 10^9 bytes
  std::int64_t accelerators = 0;  // 0 if the workers have none
  std::int64_t slots = 0;         // tasks that run concurrently
  std::int64_t connections = 0;   // maximum number of open connections

  bool operator==(const WorkerResources&) const = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_WORKER_RESOURCES_H_

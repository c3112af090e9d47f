#ifndef SOURCE_CORE_JOBS_POOL_OVERLOAD_H_
#define SOURCE_CORE_JOBS_POOL_OVERLOAD_H_

#include <cstdint>

namespace daisyroad {

// What a pool does about work that it has no room for, for operators.
struct PoolOverload {
  bool is_short = false;
  // Open jobs that are delayed, and that can no longer be of use.
  int delayed = 0;
  int past_use = 0;
  // Jobs that have given way to others in this term.
  std::int64_t delayed_total = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_POOL_OVERLOAD_H_

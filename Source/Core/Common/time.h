#ifndef SOURCE_CORE_COMMON_TIME_H_
#define SOURCE_CORE_COMMON_TIME_H_

#include <chrono>

namespace daisyroad {

// Time of the local monotonic clock; not comparable between machines.
using MonotonicTime = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;
// Wall-clock time for display only; no decision depends on it.
using WallTime = std::chrono::system_clock::time_point;

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_TIME_H_

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
// Wall-clock time that a caller names. WallTime ends in the year 2262.
using WallMilliseconds =
    std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_TIME_H_

#ifndef SOURCE_CORE_JOBS_JOB_LIMITS_H_
#define SOURCE_CORE_JOBS_JOB_LIMITS_H_

#include <cstdint>
#include <limits>

#include "Core/Common/time.h"
#include "Core/Jobs/index_ranges.h"

namespace daisyroad {

// Bounds of what a job may name, see docs/design-jobs.md. Within them, the work
// and the times of a job stay within 64 bits.

// Exceeds the number of tasks that any supported fleet runs at once.
inline constexpr int kMaxTasksPerStep = 10000;
inline constexpr int kMaxSteps = 1000;
inline constexpr int kMaxOccurrences = IndexRanges::kMaxIndex + 1;
// In millicores, MB or accelerators; no worker has more.
inline constexpr std::int64_t kMaxTaskRequest =
    std::numeric_limits<std::int32_t>::max();
// The last millisecond of the year 9999.
inline constexpr WallMilliseconds kLatestDue{Milliseconds(253402300799999)};
inline constexpr Milliseconds kLongestInterval = kLatestDue.time_since_epoch();
// Longer declared durations and latency targets count as this one.
inline constexpr Milliseconds kLongestEstimate =
    std::chrono::hours(24 * 365 * 100);

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_JOB_LIMITS_H_

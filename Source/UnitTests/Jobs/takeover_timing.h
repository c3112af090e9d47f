#ifndef SOURCE_UNITTESTS_JOBS_TAKEOVER_TIMING_H_
#define SOURCE_UNITTESTS_JOBS_TAKEOVER_TIMING_H_

#include <cstddef>
#include <cstdint>

#include "Core/Common/time.h"
#include "Core/Jobs/scheduler_settings.h"

// Times and sizes of TakeoverSimulation.
namespace daisyroad {

inline constexpr MonotonicTime kStart(std::chrono::hours(1));
inline constexpr WallTime kWallStart(std::chrono::hours(1000));
inline constexpr Milliseconds kTick{20};
inline constexpr Milliseconds kFaultPeriod{30000};
inline constexpr Milliseconds kSimulationLength{100000};
inline constexpr int kZones = 3;
inline constexpr int kWorkers = 6;
inline constexpr int kInstances = 4;
inline constexpr int kJobs = 20;
inline constexpr std::size_t kMostLastingJobs = 5;

// As in Leadership and PoolLeader.
inline constexpr Milliseconds kLeaseDuration{1500};
inline constexpr Milliseconds kRenewInterval{400};
inline constexpr Milliseconds kOutageGrace{8000};
inline constexpr Milliseconds kCheckInterval{100};
inline constexpr Milliseconds kRegistrationDelay{700};
inline constexpr Milliseconds kMostRankDelay{450};
inline constexpr Milliseconds kMirrorDelay{300};
inline constexpr Milliseconds kTakeoverStartDelay{300};
inline constexpr Milliseconds kListingInterval{250};
inline constexpr Milliseconds kInboxDelay{300};
inline constexpr Milliseconds kPersistInterval{1000};
inline constexpr Milliseconds kMachineCheckInterval{400};
inline constexpr Milliseconds kSaveTimeout{600};
inline constexpr Milliseconds kOrderTimeout{500};
inline constexpr std::int64_t kRunNumbersPerTerm = 100;
inline constexpr int kMaxSaves = 4;

// Workers check in with the store at this interval; a new process does so after
// up to kCheckInDelay.
inline constexpr Milliseconds kCheckInInterval{500};
inline constexpr Milliseconds kCheckInDelay{1500};
inline constexpr double kMostClockDrift = 0.02;

inline Milliseconds MaxLeaseDuration() {
  const SchedulerSettings settings;
  const double lease = static_cast<double>(settings.longest_lease.count()) /
                       (1.0 - settings.worker_clock_drift);
  return Milliseconds(static_cast<std::int64_t>(lease)) + settings.lease_margin;
}

inline std::int64_t IncarnationAt(MonotonicTime start) {
  return 1 + start.time_since_epoch().count();
}

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_JOBS_TAKEOVER_TIMING_H_

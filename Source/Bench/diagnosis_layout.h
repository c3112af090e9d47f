#ifndef SOURCE_BENCH_DIAGNOSIS_LAYOUT_H_
#define SOURCE_BENCH_DIAGNOSIS_LAYOUT_H_

#include <cstddef>
#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

// Size, pace and names of the simulated site.
namespace daisyroad::diagnosis_layout {

inline constexpr std::size_t kZones = 4;
inline constexpr std::size_t kEntriesInZone = 2;
inline constexpr std::size_t kEntries = kZones * kEntriesInZone;
inline constexpr std::size_t kPools = 2;
inline constexpr std::size_t kWorkersInCell = 3;
inline constexpr std::size_t kWorkersInZone = kPools * kWorkersInCell;
inline constexpr std::size_t kWorkers = kZones * kWorkersInZone;
inline constexpr std::size_t kRack = 4;
inline constexpr std::size_t kPeersAsked = 2;  // a round, design 3.8

inline constexpr MonotonicTime kStart{std::chrono::hours(1)};
inline constexpr std::chrono::seconds kRunTime{45};
inline constexpr std::chrono::seconds kQuietTime{12};
inline constexpr Milliseconds kTick{500};
inline constexpr Milliseconds kTimeout{1000};
inline constexpr std::chrono::seconds kPause{4};
inline constexpr std::chrono::seconds kResetTime{3};
inline constexpr std::chrono::seconds kFlap{2};
inline constexpr double kLossyShare = 0.4;

// Ordinary failures, a chance for each call or tick.
inline constexpr double kLostMessage = 0.005;
inline constexpr double kSlowStoreCall = 0.005;
inline constexpr double kFailedTask = 0.02;
inline constexpr double kOddEvent = 0.01;

inline std::size_t ZoneOfEntry(std::size_t entry) {
  return entry / kEntriesInZone;
}
inline std::size_t ZoneOfWorker(std::size_t worker) {
  return worker / kWorkersInZone;
}
inline std::size_t PoolOfWorker(std::size_t worker) {
  return worker % kWorkersInZone / kWorkersInCell;
}
inline EntryName Entry(std::size_t index) {
  return EntryName("entry-" + std::to_string(index));
}
inline ZoneName ZoneAt(std::size_t index) {
  return ZoneName("zone-" + std::to_string(index));
}
inline WorkerName Worker(std::size_t index) {
  return WorkerName("worker-" + std::to_string(index));
}
inline PoolName PoolAt(std::size_t index) {
  return PoolName("pool-" + std::to_string(index));
}

}  // namespace daisyroad::diagnosis_layout

#endif  // SOURCE_BENCH_DIAGNOSIS_LAYOUT_H_

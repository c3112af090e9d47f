#ifndef SOURCE_BENCH_DIAGNOSIS_LAYOUT_H_
#define SOURCE_BENCH_DIAGNOSIS_LAYOUT_H_

#include <cstddef>
#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

// Size, timing, error rates and names of the simulated site.
namespace daisyroad::diagnosis_layout {

inline constexpr std::size_t kZones = 4;
inline constexpr std::size_t kEntriesInZone = 2;
inline constexpr std::size_t kEntries = kZones * kEntriesInZone;
inline constexpr std::size_t kPools = 2;
inline constexpr std::size_t kWorkersInCell = 3;
inline constexpr std::size_t kWorkersInZone = kPools * kWorkersInCell;
inline constexpr std::size_t kWorkers = kZones * kWorkersInZone;
inline constexpr std::size_t kWorkersInRack = 4;
inline constexpr std::size_t kPeersPerRound = 2;  // design 3.8

inline constexpr MonotonicTime kStartTime{std::chrono::hours(1)};
inline constexpr std::chrono::seconds kRunTime{45};
inline constexpr std::chrono::seconds kFaultFreeTime{12};
inline constexpr Milliseconds kRoundInterval{500};
inline constexpr Milliseconds kCallTimeout{1000};
inline constexpr std::chrono::seconds kEntryPauseTime{4};
inline constexpr std::chrono::seconds kHostResetTime{3};
inline constexpr std::chrono::seconds kFlapInterval{2};
inline constexpr double kLossyPathLossRate = 0.4;

// Background failures unrelated to the injected fault: probability per call or
// round.
inline constexpr double kBackgroundLossRate = 0.005;
inline constexpr double kSlowStoreCallRate = 0.005;
inline constexpr double kTaskFailureRate = 0.02;
inline constexpr double kBackgroundEventRate = 0.01;

inline std::size_t ZoneOfEntry(std::size_t entry) {
  return entry / kEntriesInZone;
}
inline std::size_t ZoneOfWorker(std::size_t worker) {
  return worker / kWorkersInZone;
}
inline std::size_t PoolOfWorker(std::size_t worker) {
  return worker % kWorkersInZone / kWorkersInCell;
}
inline EntryName EntryAt(std::size_t index) {
  return EntryName("entry-" + std::to_string(index));
}
inline ZoneName ZoneAt(std::size_t index) {
  return ZoneName("zone-" + std::to_string(index));
}
inline WorkerName WorkerAt(std::size_t index) {
  return WorkerName("worker-" + std::to_string(index));
}
inline PoolName PoolAt(std::size_t index) {
  return PoolName("pool-" + std::to_string(index));
}

}  // namespace daisyroad::diagnosis_layout

#endif  // SOURCE_BENCH_DIAGNOSIS_LAYOUT_H_

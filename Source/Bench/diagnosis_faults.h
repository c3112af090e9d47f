#ifndef SOURCE_BENCH_DIAGNOSIS_FAULTS_H_
#define SOURCE_BENCH_DIAGNOSIS_FAULTS_H_

#include <optional>
#include <string>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Diagnosis/verdict.h"

namespace daisyroad {

enum class FaultKind {
  kPathCut,          // between two zones, both directions
  kPathCutOneWay,    // between two zones, one direction
  kPathLossy,        // 40% loss between two zones
  kPathSlow,         // replies late between two zones
  kPathFlapping,     // 2 s cut, 2 s working
  kZoneIsolated,     // from the other zones and the store
  kZoneMute,         // nothing leaves the zone
  kStorePathCut,     // between one zone and the store
  kWorkerPathCut,    // between a zone's entry instances and its workers
  kConnectionsLost,  // open connections go silent, new ones work
  kWorkerFailing,
  kWorkerDown,      // the host refuses connections
  kWorkerDead,      // nothing answers
  kWorkerHung,      // for good, then restarted
  kWorkerReset,     // the host resets; its connections go silent
  kWorkersFailing,  // all of a pool
  kStoreDown,
  kStoreSlow,
  kPoolOverloaded,
  kTeamOverLimit,
  kLimitLowered,
  kKeyWithdrawn,
  kZoneTakenOut,
  kQueueChanged,
  kShortDeadlines,
  kEntryPaused,  // one entry instance for 4 s
  kEntriesSlow,  // all entry instances of a zone
  kEntryKilled,
  kRackLost,      // four workers of a zone; power or switch
  kZonePowerLost  // all of a zone
};

struct TimedFault {
  FaultKind kind;
  Milliseconds delay{0};  // after the first fault
};

// One row of the table of injected faults.
struct InjectedFault {
  std::string name;
  std::vector<TimedFault> faults;
  Verdict truth = Verdict::kNotKnown;
  std::optional<Verdict> other;
};

// Faults of every kind, single and combined, and a run without any.
const std::vector<InjectedFault>& InjectedFaults();

}  // namespace daisyroad

#endif  // SOURCE_BENCH_DIAGNOSIS_FAULTS_H_

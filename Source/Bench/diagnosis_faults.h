#ifndef SOURCE_BENCH_DIAGNOSIS_FAULTS_H_
#define SOURCE_BENCH_DIAGNOSIS_FAULTS_H_

#include <optional>
#include <string>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Diagnosis/verdict.h"

namespace daisyroad {

enum class FaultKind {
  kPathCut,           // both directions between two zones
  kPathCutOneWay,     // one direction between two zones
  kPathLossy,         // 40% message loss between two zones
  kPathSlow,          // late replies between two zones
  kPathFlapping,      // alternates: cut for 2 s, working for 2 s
  kZoneIsolated,      // cut off from the other zones and the store
  kZoneOutboundLost,  // all outgoing messages of the zone are lost
  kStorePathCut,      // between one zone and the store
  kWorkerPathCut,     // between a zone's entry instances and its workers
  kConnectionsLost,   // existing connections get no replies, new ones do
  kWorkerFailing,
  kWorkerDown,      // the host refuses connections
  kWorkerDead,      // neither host nor worker answers
  kWorkerHung,      // stops answering permanently
  kWorkerReset,     // host restarts; its connections get no replies
  kWorkersFailing,  // all workers of a pool
  kStoreDown,
  kStoreSlow,
  kPoolOverloaded,
  kTeamOverLimit,
  kLimitLowered,
  kKeyWithdrawn,
  kZoneTakenOut,
  kQueueChanged,
  kShortDeadlines,
  kEntryPaused,  // one entry instance is suspended for 4 s
  kEntriesSlow,  // all entry instances of a zone
  kEntryKilled,
  kRackLost,      // four workers of a zone lose power or their switch
  kZonePowerLost  // all entry instances and workers of a zone
};

struct TimedFault {
  FaultKind kind;
  Milliseconds delay{0};  // after the onset of the first fault
};

// A fault scenario and the verdicts that the diagnosis should give: `truth` is
// the cause of the first fault that has one, `other` that of a second fault.
struct InjectedFault {
  std::string name;
  std::vector<TimedFault> faults;
  Verdict truth = Verdict::kNotKnown;
  std::optional<Verdict> other;
};

// Returns scenarios with each kind of fault, with combinations of faults and
// one without faults.
const std::vector<InjectedFault>& InjectedFaults();

}  // namespace daisyroad

#endif  // SOURCE_BENCH_DIAGNOSIS_FAULTS_H_

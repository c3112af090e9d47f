#ifndef SOURCE_CORE_ROUTING_OUTLIER_DETECTOR_H_
#define SOURCE_CORE_ROUTING_OUTLIER_DETECTOR_H_

#include <cstddef>
#include <map>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

enum class OutlierState { kHealthy, kEjected, kProbation };

struct OutlierChange {
  WorkerName worker;
  OutlierState state = OutlierState::kHealthy;
  double failure_rate = 0.0;
  double cell_failure_rate = 0.0;  // of the other workers
};

// Ejects workers of one cell whose failure rate is much higher than that of the
// others. At most 20% of the cell, rounded down, is ejected or on probation at
// a time, so a cell of fewer than five workers ejects none and relies on the
// failure penalty of WorkerSelector.
class OutlierDetector {
 public:
  void Add(const WorkerName& worker);
  void Remove(const WorkerName& worker);
  void Observe(const WorkerName& worker, bool failed, MonotonicTime now);
  // Returns the state changes since the last call; call about once a second.
  std::vector<OutlierChange> Evaluate(MonotonicTime now);

  OutlierState State(const WorkerName& worker) const;
  // False for an ejected worker, and for a worker on probation that already
  // runs a task. `running` is the number of its running tasks.
  bool MayStart(const WorkerName& worker, std::size_t running) const;

 private:
  struct Entry {
    OutlierState state = OutlierState::kHealthy;
    double failures = 0.0;  // decaying counts, see kHalfLifeSeconds
    double observations = 0.0;
    MonotonicTime decayed_at;
    MonotonicTime ejected_until;  // valid while ejected
    MonotonicTime healthy_since;
    int consecutive_ejections = 0;  // each doubles the next ejection time
    int probation_successes = 0;
  };

  static void Decay(Entry& entry, MonotonicTime now);
  void Eject(Entry& entry, MonotonicTime now);
  double FailureRateOfOthers(const Entry& excluded) const;
  std::size_t UnhealthyCount() const;
  bool IsOutlier(const Entry& entry) const;
  void Readmit(MonotonicTime now, std::vector<OutlierChange>& changes);

  std::map<WorkerName, Entry> workers;
  std::vector<OutlierChange> pending_changes;  // made by Observe
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ROUTING_OUTLIER_DETECTOR_H_

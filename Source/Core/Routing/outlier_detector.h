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

// Ejects workers of one cell that fail much more than the others. At most 20%
// of the cell is out at a time, rounded down, so a cell of fewer than five
// workers ejects none and relies on the penalty of WorkerSelector.
class OutlierDetector {
 public:
  void Add(const WorkerName& worker);
  void Remove(const WorkerName& worker);
  void Observe(const WorkerName& worker, bool failed, MonotonicTime now);
  // Changes since the last call; call about once a second.
  std::vector<OutlierChange> Evaluate(MonotonicTime now);

  OutlierState State(const WorkerName& worker) const;
  // False for an ejected worker, and for one on probation that already has
  // `running` tasks.
  bool MayStart(const WorkerName& worker, std::size_t running) const;

 private:
  struct Entry {
    OutlierState state = OutlierState::kHealthy;
    double failures = 0.0;  // decaying counts
    double total = 0.0;
    MonotonicTime updated;
    MonotonicTime until;  // end of the ejection
    MonotonicTime healthy_since;
    int ejections = 0;  // in a row; doubles the next ejection
    int probation_passed = 0;
  };

  static void Decay(Entry& entry, MonotonicTime now);
  void Eject(Entry& entry, MonotonicTime now);
  double RateOfOthers(const Entry& except) const;
  std::size_t OutCount() const;
  bool Differs(const Entry& entry) const;
  void Readmit(MonotonicTime now, std::vector<OutlierChange>& changes);

  std::map<WorkerName, Entry> workers;
  std::vector<OutlierChange> pending;  // from Observe
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ROUTING_OUTLIER_DETECTOR_H_

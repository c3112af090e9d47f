#ifndef SOURCE_CORE_ROUTING_WORKER_SELECTOR_H_
#define SOURCE_CORE_ROUTING_WORKER_SELECTOR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "Core/Common/log_decision.h"
#include "Core/Common/random.h"
#include "Core/Routing/worker_state.h"

namespace daisyroad {

enum class WorkerRejection {
  kLeaving,
  kUnreachable,
  kEjected,
  kFull,
  kSlower,
  kNotSampled,
  kWorseThanWaiting,  // fails much more often than a worker that is full
};

struct RejectedWorker {
  WorkerName worker;
  WorkerRejection reason = WorkerRejection::kNotSampled;
};

struct WorkerChoice {
  std::optional<WorkerName> worker;      // empty if no worker is eligible
  Duration expected = Duration::zero();  // until completion
  std::vector<RejectedWorker> rejected;

  // decision=worker choice=w3 expected_ms=12 rejected=w1:full,w2:slower
  LogDecision ToLog(const TaskId& task) const;
};

// Selects the worker of a cell for a task by the power of two choices: of two
// random eligible workers, the one with the lower expected completion time.
class WorkerSelector {
 public:
  // Adds the worker or replaces its state; its measurements are kept.
  void Update(const WorkerName& worker, const WorkerState& state);
  void Remove(const WorkerName& worker);
  void OnStart(const WorkerName& worker);
  // A failed task adds a penalty to the average run time, however fast it
  // failed.
  void OnEnd(const WorkerName& worker,
             bool failed,
             Duration run_time,
             MonotonicTime now);

  WorkerChoice Choose(MonotonicTime now, Random& random) const;
  std::optional<Duration> Expected(const WorkerName& worker,
                                   MonotonicTime now) const;

 private:
  struct Entry {
    WorkerState state;
    double run_seconds = 0.0;   // moving average, with failure penalties
    double failure_rate = 0.0;  // moving average
    bool is_measured = false;
    MonotonicTime measured_at;
  };

  double RunSeconds(const Entry& entry, double mean, MonotonicTime now) const;
  double ExpectedSeconds(const Entry& entry, MonotonicTime now) const;
  double MeanRunSeconds(MonotonicTime now) const;
  bool IsWaitingBetter(const Entry& chosen, MonotonicTime now) const;

  std::map<WorkerName, Entry> workers;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ROUTING_WORKER_SELECTOR_H_

#ifndef SOURCE_UNITTESTS_JOBS_FAKE_WORKER_H_
#define SOURCE_UNITTESTS_JOBS_FAKE_WORKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Jobs/order.h"
#include "Core/Jobs/run_report.h"
#include "Core/Jobs/start_outcome.h"

namespace daisyroad {

// A worker that implements the run protocol: it enforces fences and leases on
// its own clock, never restarts a run that ended, and reports run ends until
// they are acknowledged.
class FakeWorker {
 public:
  struct Run {
    std::int64_t number = 0;
    MonotonicTime ends_at = MonotonicTime::max();
    EndKind end = EndKind::kDone;
  };
  // Duration and end of a run to be started.
  struct RunPlan {
    std::optional<Milliseconds> duration;  // none: until stopped
    EndKind end = EndKind::kDone;
  };

  explicit FakeWorker(MonotonicTime started_at) : started_at(started_at) {}

  // Ends the runs that finish or whose lease expires by `now`.
  void Advance(MonotonicTime now);
  StartOutcome Start(const StartRun& order,
                     std::int64_t fence,
                     const RunPlan& run_plan,
                     MonotonicTime now);
  // Returns false if a later fence was seen before.
  // The run ends after `takes`.
  bool Stop(const StopRun& order,
            std::int64_t fence,
            MonotonicTime now,
            Milliseconds takes = Milliseconds(0));
  // Ends a run because another member of its gang ended.
  void BreakRun(const TaskRef& task, MonotonicTime now);
  std::optional<RunReport> Report(const AskReport& order,
                                  std::int64_t fence,
                                  MonotonicTime now);

  std::int64_t fence() const { return this->highest_fence; }
  Milliseconds Clock(MonotonicTime now) const;
  const std::map<TaskRef, Run>& runs() const { return this->active; }
  const std::vector<RunEnd>& ends() const { return this->ended; }
  // Sequence number of the last end when the lease last expired. Another run
  // may have started since, so acknowledging ends up to this one rules out no
  // start.
  std::int64_t lapsed_ends() const { return this->lapsed_through; }

 private:
  void End(const TaskRef& task, const Run& run, EndKind kind);
  bool AcceptFence(std::int64_t fence);

  MonotonicTime started_at;
  std::int64_t highest_fence = 0;
  Milliseconds lease_until{0};
  std::map<TaskRef, Run> active;
  std::map<TaskRef, std::int64_t> last_run;
  std::vector<RunEnd> ended;
  std::int64_t sequence = 0;
  std::int64_t lapsed_through = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_JOBS_FAKE_WORKER_H_

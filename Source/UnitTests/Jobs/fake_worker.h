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

// A worker that keeps the promises of the run protocol: fences, leases on its
// own clock, runs that never come back once they ended, ends listed until they
// are acknowledged.
class FakeWorker {
 public:
  struct Run {
    std::int64_t number = 0;
    MonotonicTime ends_at = MonotonicTime::max();
    EndKind end = EndKind::kDone;
  };
  // Duration and end of a run that is started now.
  struct Fate {
    std::optional<Milliseconds> duration;  // none: until stopped
    EndKind end = EndKind::kDone;
  };

  explicit FakeWorker(MonotonicTime born) : born(born) {}

  // Ends what is over by `now`.
  void Advance(MonotonicTime now);
  StartOutcome Start(const StartRun& order,
                     std::int64_t fence,
                     const Fate& fate,
                     MonotonicTime now);
  // False if the fence is old.
  bool Stop(const StopRun& order, std::int64_t fence, MonotonicTime now);
  std::optional<RunReport> Report(const AskReport& order,
                                  std::int64_t fence,
                                  MonotonicTime now);

  Milliseconds Clock(MonotonicTime now) const;
  const std::map<TaskRef, Run>& runs() const { return this->active; }
  const std::vector<RunEnd>& ends() const { return this->ended; }
  // Ends up to this sequence were listed when the leases lapsed: another run
  // may have been started since, so acknowledging them binds nobody.
  std::int64_t lapsed_ends() const { return this->lapsed_through; }

 private:
  void End(const TaskRef& task, const Run& run, EndKind kind);
  bool Accept(std::int64_t fence);

  MonotonicTime born;
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

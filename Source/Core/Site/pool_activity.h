#ifndef SOURCE_CORE_SITE_POOL_ACTIVITY_H_
#define SOURCE_CORE_SITE_POOL_ACTIVITY_H_

#include <cstdint>
#include <string>

#include "Core/Common/time.h"
#include "Core/Jobs/start_outcome.h"

namespace daisyroad {

// Counts what a pool leader does and renders the counts as one log line per
// interval. A scheduler without CPU time left shows late passes; an
// unresponsive worker shows failed reports and refused starts.
class PoolActivity {
 public:
  // The parts of a pass: choosing orders, sending them, storing progress, and
  // writing log lines.
  struct PassDurations {
    Duration deciding{0};
    Duration sending{0};
    Duration saving{0};
    Duration logging{0};
  };

  void OnPass(const PassDurations& durations);
  // `lateness` is the time by which a pass began after it was due.
  void OnPassDue(Duration lateness);
  void OnStartSent() { ++this->starts; }
  void OnStartAnswered(StartOutcome outcome);
  void OnReportAnswered(bool is_ok);

  // Returns the fields of the line and starts the next interval, or returns an
  // empty string if the interval is not over or nothing was counted.
  // `worker_connections` is the total number opened by this process so far.
  std::string TakeLine(MonotonicTime now, std::int64_t worker_connections);

 private:
  void Reset();

  std::int64_t passes = 0;
  Duration deciding{0};
  Duration sending{0};
  Duration saving{0};
  Duration logging{0};
  Duration longest_pass{0};
  Duration longest_lateness{0};
  std::int64_t starts = 0;
  std::int64_t starts_not_received = 0;
  std::int64_t starts_refused = 0;
  std::int64_t starts_unknown = 0;
  std::int64_t reports = 0;
  std::int64_t reports_failed = 0;
  std::int64_t connections_before = 0;
  MonotonicTime next_line;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_POOL_ACTIVITY_H_

#ifndef SOURCE_CORE_JOBS_RUN_REPORT_H_
#define SOURCE_CORE_JOBS_RUN_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Jobs/task_ref.h"

namespace daisyroad {

enum class EndKind {
  kDone,
  kFailed,
  kStopped,
  kLapsed,    // its lease expired
  kBroken,    // another member of its gang ended
  kUnpaired,  // the other members of its gang did not start in time
};

const char* ToString(EndKind kind);

// A run that is active on a worker.
struct ActiveRun {
  TaskRef task;
  std::int64_t run = 0;
  std::string checkpoint;
  int percent = 0;  // of full speed
  // Tail latency in milliseconds for a service task with a latency target,
  // otherwise the millicores in use; measured over about the last half second.
  std::int64_t load = 0;
};

// The end of a run on a worker. `sequence` numbers the ends of one worker
// process in increasing order.
struct RunEnd {
  std::int64_t sequence = 0;
  TaskRef task;
  std::int64_t run = 0;
  EndKind kind = EndKind::kStopped;
  std::string checkpoint;
};

// A worker's report: all its active runs, and the ends that are not
// acknowledged yet (only the oldest ones if there are many).
struct RunReport {
  Milliseconds worker_clock{0};
  std::int64_t incarnation = 0;
  std::vector<ActiveRun> active;
  std::vector<RunEnd> ended;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_RUN_REPORT_H_

#ifndef SOURCE_CORE_JOBS_ORDER_H_
#define SOURCE_CORE_JOBS_ORDER_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/task_ref.h"

namespace daisyroad {

// Orders from a PoolScheduler to the workers of its pool and to the placement
// advisor. `lease_until` is always a time on the worker's clock.
struct StartRun {
  WorkerName worker;
  TaskRef task;
  std::int64_t run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  Milliseconds lease_until{0};
};

struct StopRun {
  WorkerName worker;
  TaskRef task;
  std::int64_t run = 0;
};

// Sets the speed of a run as a percentage of full speed.
struct PaceRun {
  WorkerName worker;
  TaskRef task;
  std::int64_t run = 0;
  int percent = 100;
};

// Requests a RunReport and renews the lease of all runs on the worker.
struct AskReport {
  WorkerName worker;
  Milliseconds lease_until{0};  // 0: do not renew
  // The worker may discard its run ends up to this sequence number.
  std::int64_t acknowledged = 0;
  Milliseconds wait{0};  // longest time to wait for a run to end
};

// Requests placement tickets for a step on some of the given workers.
struct AskAdvice {
  TaskRef step;  // the first task of the step
  std::vector<WorkerName> workers;
  Milliseconds duration{0};  // that the advisor takes, once it begins
};

using Order = std::variant<StartRun, StopRun, PaceRun, AskReport, AskAdvice>;

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_ORDER_H_

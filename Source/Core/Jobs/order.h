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

// Orders of a PoolScheduler to the workers of its pool. Times `lease_until`
// are on the worker's clock.
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

struct PaceRun {
  WorkerName worker;
  TaskRef task;
  std::int64_t run = 0;
  int percent = 100;
};

// Asks for a RunReport and renews the lease of all that runs there.
struct AskReport {
  WorkerName worker;
  Milliseconds lease_until{0};  // 0: do not renew
  std::int64_t acknowledged = 0;
  Milliseconds wait{0};  // for an end
};

struct AskAdvice {
  TaskRef step;  // its index is 0
  std::vector<WorkerName> workers;
};

using Order = std::variant<StartRun, StopRun, PaceRun, AskReport, AskAdvice>;

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_ORDER_H_

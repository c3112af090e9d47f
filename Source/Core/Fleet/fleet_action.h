#ifndef SOURCE_CORE_FLEET_FLEET_ACTION_H_
#define SOURCE_CORE_FLEET_FLEET_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>

#include "Core/Common/time.h"
#include "Core/Fleet/budget_record.h"
#include "Core/Fleet/instance_record.h"

namespace daisyroad {

// Compare-and-swap of instances/NAME. A write that begins a disruption because
// of an observation sets `not_after`. It must not be sent after that time, for
// example by a process that was paused in between.
struct WriteInstance {
  InstanceRecord record;
  std::int64_t expected_version = 0;
  std::string change;
  MonotonicTime not_after = MonotonicTime::max();
};

// Compare-and-swap of budgets/SERVICE; `not_after` as in WriteInstance.
struct WriteBudget {
  BudgetRecord record;
  std::int64_t expected_version = 0;
  MonotonicTime not_after = MonotonicTime::max();
};

// Requests to a worker. Each names the incarnation of the worker that it is
// meant for, so that a late or repeated request has no effect after a reboot.
struct DrainWorker {
  WorkerName worker;
  std::int64_t incarnation = 0;
};
struct CheckpointWorker {
  WorkerName worker;
  std::int64_t incarnation = 0;
};
struct RebootWorker {
  WorkerName worker;
  std::int64_t incarnation = 0;
};

using FleetAction = std::variant<WriteInstance,
                                 WriteBudget,
                                 DrainWorker,
                                 CheckpointWorker,
                                 RebootWorker>;

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_FLEET_ACTION_H_

#ifndef SOURCE_CORE_PLATFORM_WORKER_MESSAGES_H_
#define SOURCE_CORE_PLATFORM_WORKER_MESSAGES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Time on a worker's monotonic clock; comparable only with times of the same
// worker and incarnation.
using WorkerClock = std::chrono::milliseconds;

enum class WorkerTaskState {
  kUnknown,  // the worker has no record of the identifier
  kRunning,
  kDone,
  kFailed,
  kStopped,       // by request or because its lease expired
  kCheckpointed,  // can be resumed from its checkpoint
};

struct StartTask {
  TaskId task;
  std::string holder;  // the entry instance that renews the lease
  std::string team;
  std::string queue;
  std::string payload;
  std::string checkpoint;  // empty for a first start
  Milliseconds lease{5000};
  WorkerClock start_before{0};
};

enum class StartOutcome {
  kStarted,
  kDuplicate,  // the worker already has this task, see `state`
  kExpired,    // start_before had passed; not run
  kFull,       // not run
  kLeaving,    // not run
};

struct StartReply {
  StartOutcome outcome = StartOutcome::kStarted;
  WorkerTaskState state = WorkerTaskState::kUnknown;  // for kDuplicate
  WorkerClock now{0};
  std::string incarnation;
};

struct TaskReport {
  TaskId task;
  WorkerTaskState state = WorkerTaskState::kUnknown;
  std::string answer;
  std::string digest;  // SHA-256 of the answer, lower-case hexadecimal
  std::string checkpoint;
  Milliseconds run_time{0};
  WorkerClock now{0};
  std::string incarnation;
};

struct LeaseReply {
  std::vector<TaskId> lost;  // no longer running at the worker
  WorkerClock now{0};
  std::string incarnation;
  bool leaving = false;
};

struct WorkerStatus {
  WorkerClock now{0};
  std::string incarnation;
  int slots = 0;
  bool leaving = false;
  std::vector<TaskId> running;
  int uncollected = 0;  // ended tasks that their holders have not acknowledged
  std::map<std::string, std::string> holders;  // task -> holder
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_WORKER_MESSAGES_H_

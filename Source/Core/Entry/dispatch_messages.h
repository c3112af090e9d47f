#ifndef SOURCE_CORE_ENTRY_DISPATCH_MESSAGES_H_
#define SOURCE_CORE_ENTRY_DISPATCH_MESSAGES_H_

#include <json/value.h>

#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Platform/worker_messages.h"
#include "Core/Shares/resources.h"

namespace daisyroad {

// A task that its registrar sends to the dispatcher of a cell.
struct DispatchRequest {
  TaskId task;
  EntryName registrar;
  TeamName team;
  QueueName queue;
  PoolName pool;
  ZoneName zone;
  std::string payload;
  std::string checkpoint;
  bool urgent = false;
  bool idempotent = false;
  Resources size;
  Milliseconds start_within{0};  // remaining time to the latest start
  // Time on the dispatcher's clock after which the task must not start unless
  // the registrar has renewed it. A dispatcher that has lost contact with the
  // registrar therefore starts no task that the registrar has given up.
  Milliseconds valid_until{0};

  Json::Value ToJson() const;
  static Result<DispatchRequest> FromJson(const Json::Value& value);
};

enum class DispatchState {
  kQueued,
  kStarting,
  kRunning,
  kDone,
  kFailed,
  kNotRun,   // ended without being started; `reason` states why
  kStopped,  // started but did not finish
  kUnknown,  // the outcome could not be determined
};

// A state change of a task, which the dispatcher reports to the registrar.
struct DispatchUpdate {
  TaskId task;
  DispatchState state = DispatchState::kQueued;
  WorkerName worker;
  ZoneName zone;
  std::string answer;
  std::string digest;
  std::string reason;

  Json::Value ToJson() const;
  static Result<DispatchUpdate> FromJson(const Json::Value& value);
};

// Reasons for kNotRun after which the registrar sends the task again.
inline constexpr char kRegistrarSilent[] = "registrar_silent";
inline constexpr char kZoneOut[] = "zone_out";

const char* DispatchStateName(DispatchState state);
bool IsFinal(DispatchState state);

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_DISPATCH_MESSAGES_H_

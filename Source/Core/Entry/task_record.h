#ifndef SOURCE_CORE_ENTRY_TASK_RECORD_H_
#define SOURCE_CORE_ENTRY_TASK_RECORD_H_

#include <json/value.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Entry/dispatch_messages.h"
#include "Core/Entry/problem.h"
#include "Core/Shares/resources.h"

namespace daisyroad {

// Returns the registrar that assigned the identifier, which has the form
// NAME.INCARNATION-DIGITS.
EntryName RegistrarOfTask(const TaskId& id);

// A task as submitted by a caller.
struct TaskSubmission {
  TeamName team;
  QueueName queue;
  std::string payload;
  std::string idempotency_key;  // empty if none was given
  Resources size;
  Milliseconds deadline{0};

  // Equal for equal requests. An idempotency key must not be used for two
  // requests with different fingerprints.
  std::string Fingerprint() const;
  std::string ClaimKey() const;
  Json::Value ToJson() const;
  static std::optional<TaskSubmission> FromJson(const Json::Value& value);
};

// State of a task at its registrar.
struct TaskRecord {
  TaskId id;
  TaskId earlier_id;  // identifier at an earlier registrar, if recovered
  TaskSubmission submission;
  PoolName pool;
  bool urgent = false;
  bool idempotent = false;
  DispatchState state = DispatchState::kQueued;
  std::string answer;
  std::string digest;
  std::string reason;
  Error refusal;  // why it was not run, if it was refused
  WorkerName worker;
  ZoneName zone;
  EntryName dispatcher;
  MonotonicTime registered;
  MonotonicTime deadline;
  MonotonicTime ended;
  // Time until which the grants so far allow the dispatcher to start the task.
  MonotonicTime granted_until;
  // The claim is being written, so the task must not be sent yet.
  bool is_claiming = false;
  // The task is known only from the claim log of an earlier registrar.
  bool is_recovered = false;
  // The task may have been sent to the dispatcher.
  bool was_sent = false;
  bool is_recovering = false;
  bool is_cancelled = false;
  // The idempotent task was sent before and not every worker could be queried
  // about it, so it must no longer be reported as "not run".
  bool may_have_run = false;
  int attempts = 0;
  std::vector<std::function<void()>> waiters;

  // True if the request has an idempotency key and the task is not idempotent,
  // so that it needs a claim on the key.
  bool NeedsClaim() const;
  // The idempotency key with its team, as stored in the claim log.
  std::string ClaimKey() const;
  RunOutcome Outcome() const;
  // The representation for callers, see docs/api.md.
  Json::Value ToJson() const;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_TASK_RECORD_H_

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

// The registrar that gave the task its identifier: it has the form
// NAME.INCARNATION-DIGITS.
EntryName RegistrarOfTask(const TaskId& id);

// What a caller asked for.
struct TaskSubmission {
  TeamName team;
  QueueName queue;
  std::string payload;
  std::string idempotency_key;  // empty if none was given
  Resources size;
  Milliseconds deadline{0};

  // Equal for the same request; an idempotency key must not be used for two.
  std::string Fingerprint() const;
  std::string ClaimKey() const;
  Json::Value ToJson() const;
  static std::optional<TaskSubmission> FromJson(const Json::Value& value);
};

// A task at its registrar.
struct TaskRecord {
  TaskId id;
  TaskId earlier;  // identifier under an earlier registrar, if recovered
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
  // Until when the dispatcher may start it by the grants given so far.
  MonotonicTime granted_until;
  // Its claim is being written: it must not be sent yet.
  bool claiming = false;
  // Known from the claim log of an earlier registrar only.
  bool recovered = false;
  // It may have been sent to the dispatcher.
  bool sent = false;
  bool recovering = false;
  bool cancelled = false;
  // An idempotent task that was sent before while not every worker could be
  // asked: it must not be called "not run" any more.
  bool may_have_run = false;
  int attempts = 0;
  std::vector<std::function<void()>> waiters;

  // Keyed and not idempotent: it runs under a claim.
  bool NeedsClaim() const;
  // The caller's key and its team, as the claim log knows them.
  std::string ClaimKey() const;
  RunOutcome Outcome() const;
  // The form that callers see, see docs/api.md.
  Json::Value ToJson() const;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_TASK_RECORD_H_

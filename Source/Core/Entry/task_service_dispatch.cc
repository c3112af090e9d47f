// Sends tasks to the dispatchers of cells and renews them there.

#include "Core/Entry/task_service.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log_decision.h"
#include "Core/Common/logging.h"
#include "Core/Common/random.h"
#include "Core/Control/control_document.h"
#include "Core/Entry/control_service.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/dispatch_service.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/peer_service.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr int kMaxAttempts = 8;
// Shortest pause between two attempts to take from an exhausted retry budget.
constexpr Milliseconds kBudgetRetryInterval{100};

}  // namespace

std::optional<ZoneName> TaskService::ChooseZone(const TaskRecord& record) {
  this->router.SetZonesOut(this->control->document().zones_out());
  const CellChoice choice =
      this->router.Choose(record.pool, record.urgent, record.zone);
  this->context->decisions->Write(kRoutingLog, choice.ToLog(record.id));
  return choice.zone;
}

void TaskService::Dispatch(const TaskId& id,
                           const std::optional<WorkerName>& running_on) {
  TaskRecord* const record = this->Find(id);
  if (record == nullptr || IsFinal(record->state) || record->is_claiming) {
    return;
  }
  ++record->attempts;
  const MonotonicTime now = Now();
  if (record->is_cancelled && !running_on) {
    this->Finish(record, DispatchState::kNotRun, "cancelled");
    return;
  }
  if (!running_on) {
    if (now >= record->deadline) {
      this->Finish(record, DispatchState::kNotRun, "deadline_passed");
      return;
    }
    const std::optional<ZoneName> zone = this->ChooseZone(*record);
    if (!zone) {
      this->OnDispatchRefused(
          record,
          Error{Errc::kUnavailable, "task.dispatch", "",
                "no worker of pool " + record->pool.str() + " is in service"});
      return;
    }
    record->zone = *zone;
  }
  const EntryName owner = this->dispatch->OwnerOf(record->pool, record->zone);
  record->dispatcher = owner;
  record->was_sent = true;
  record->granted_until = now + kGrantDuration;
  DispatchRequest request;
  request.task = id;
  request.registrar = this->context->self;
  request.team = record->submission.team;
  request.queue = record->submission.queue;
  request.pool = record->pool;
  request.zone = record->zone;
  request.payload = record->submission.payload;
  request.urgent = record->urgent;
  request.idempotent = record->idempotent;
  request.size = record->submission.size;
  request.start_within =
      std::chrono::duration_cast<Milliseconds>(record->deadline - now);
  this->context->decisions->Write(
      kRoutingLog, LogDecision("route")
                       .Field("task", id.str())
                       .Field("team", record->submission.team.str())
                       .Field("queue", record->submission.queue.str())
                       .Field("pool", record->pool.str())
                       .Field("zone", record->zone.str())
                       .Field("dispatcher", owner.str())
                       .Field("attempt", record->attempts));
  this->dispatch->Send(owner, request, running_on,
                       [this, id, owner](const Status& status) {
                         this->OnSent(id, owner, status);
                       });
}

void TaskService::OnSent(const TaskId& id,
                         const EntryName& owner,
                         const Status& status) {
  TaskRecord* const record = this->Find(id);
  if (record == nullptr || IsFinal(record->state) ||
      record->dispatcher != owner || status.ok()) {
    return;
  }
  const Error& error = status.error();
  if (error.code == Errc::kTimeout || error.code == Errc::kProtocol) {
    this->Recover(record);  // the dispatcher may have received the task
    return;
  }
  this->OnDispatchRefused(record, error);
}

void TaskService::OnDispatchRefused(TaskRecord* record, const Error& error) {
  record->was_sent = false;
  const bool is_final = error.code == Errc::kInvalidArgument;
  if (is_final || record->attempts >= kMaxAttempts) {
    record->refusal = error;
    this->Finish(record, DispatchState::kNotRun, error.ToString());
    return;
  }
  if (!this->retries.TryRetry(Now())) {
    record->refusal = error;
    this->Finish(record, DispatchState::kNotRun,
                 error.ToString() + "; the retry budget is exhausted");
    return;
  }
  this->context->loop->After(
      RetryBudget::Backoff(record->attempts, *this->context->random),
      [this, id = record->id]() { this->Dispatch(id, std::nullopt); });
}

void TaskService::Redispatch(TaskRecord* record) {
  record->was_sent = false;
  const TaskId id = record->id;
  const Duration pause = RetryBudget::Backoff(std::max(record->attempts, 1),
                                              *this->context->random);
  if (this->retries.TryRetry(Now())) {
    this->context->loop->After(
        pause, [this, id]() { this->Dispatch(id, std::nullopt); });
    return;
  }
  if (record->is_cancelled || Now() >= record->deadline) {
    this->Dispatch(id, std::nullopt);  // ends the task
    return;
  }
  // An accepted task waits for the retry budget until its deadline.
  this->context->loop->After(std::max<Duration>(pause, kBudgetRetryInterval),
                             [this, id]() {
                               TaskRecord* const found = this->Find(id);
                               if (found != nullptr && !IsFinal(found->state)) {
                                 this->Redispatch(found);
                               }
                             });
}

void TaskService::Renew() {
  std::map<EntryName, std::vector<TaskId>> by_owner;
  const MonotonicTime now = Now();
  for (std::pair<const TaskId, TaskRecord>& entry : this->records) {
    TaskRecord& record = entry.second;
    if (IsFinal(record.state) || !record.was_sent || record.is_recovering) {
      continue;
    }
    record.granted_until = now + kGrantDuration;
    by_owner[record.dispatcher].push_back(entry.first);
  }
  for (const std::pair<const EntryName, std::vector<TaskId>>& entry :
       by_owner) {
    const EntryName owner = entry.first;
    this->dispatch->Renew(
        owner, entry.second,
        [this,
         owner](const Result<std::map<TaskId, std::optional<DispatchState>>>&
                    states) { this->OnStates(owner, states); });
  }
}

void TaskService::OnStates(
    const EntryName& owner,
    const Result<std::map<TaskId, std::optional<DispatchState>>>& states) {
  if (!states.ok()) {
    const std::optional<PeerService::Peer> peer = this->peers->Find(owner);
    if (owner == this->context->self || (peer && this->peers->IsLive(*peer))) {
      return;
    }
    for (std::pair<const TaskId, TaskRecord>& entry : this->records) {
      TaskRecord& record = entry.second;
      if (!IsFinal(record.state) && record.was_sent && !record.is_recovering &&
          record.dispatcher == owner) {
        this->Recover(&record);
      }
    }
    return;
  }
  for (const std::pair<const TaskId, std::optional<DispatchState>>& entry :
       states.value()) {
    TaskRecord* const record = this->Find(entry.first);
    if (record == nullptr || IsFinal(record->state) ||
        record->dispatcher != owner || record->is_recovering) {
      continue;
    }
    if (entry.second) {
      record->state = *entry.second;
    } else if (Now() - record->granted_until > -kGrantDuration + kRpcTimeout) {
      // The dispatcher does not know the task and it was not sent only just
      // now: its final update is in transit or lost.
      this->Recover(record);
    }
  }
}

}  // namespace daisyroad

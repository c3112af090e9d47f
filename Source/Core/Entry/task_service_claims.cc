// Claims of requests with an idempotency key, at their registrar.

#include "Core/Entry/task_service.h"

#include "Core/Entry/claim_service.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/peer_service.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
void TaskService::Claim(const TaskId& id) {
  TaskRecord* const record = this->Find(id);
  if (record == nullptr || IsFinal(record->state)) {
    return;
  }
  const MonotonicTime now = Now();
  if (now >= record->deadline || now - record->registered > kClaimTimeout) {
    this->RefuseClaim(id, Error{Errc::kUnavailable, kRouteStep, "",
                                "earlier claims are still being read"});
    return;
  }
  record->is_claiming = true;
  const ClaimRegistry::Answer answer =
      this->claims->Submit(record->ClaimKey(), id);
  switch (answer.outcome) {
    case ClaimRegistry::Outcome::kClaiming:
      return;
    case ClaimRegistry::Outcome::kDuplicate:
      this->RecoverClaimed(id, answer.task);
      return;
    case ClaimRegistry::Outcome::kUnknown:
      this->Finish(record, DispatchState::kUnknown,
                   "the key may have been used with a lost registrar");
      return;
    case ClaimRegistry::Outcome::kFull:
      this->RefuseClaim(
          id, Error{Errc::kResourceExhausted, "task.claim", "",
                    "this instance holds the maximum number of claims"});
      return;
    case ClaimRegistry::Outcome::kNotServing:
      this->context->loop->After(kClaimRetryInterval,
                                 [this, id]() { this->Claim(id); });
      return;
    case ClaimRegistry::Outcome::kNotRegistrar:
      this->RefuseClaim(id,
                        Error{Errc::kUnavailable, kRouteStep, "",
                              "another instance is the registrar of the key"});
      return;
  }
}

void TaskService::OnClaim(const TaskId& id, bool ready) {
  TaskRecord* const record = this->Find(id);
  if (record == nullptr || IsFinal(record->state)) {
    return;
  }
  record->is_claiming = false;
  if (ready) {
    this->Dispatch(id, std::nullopt);
    return;
  }
  this->RefuseClaim(id, Error{Errc::kUnavailable, "task.claim", "",
                              "the claim of the key could not be written"});
}

void TaskService::RefuseClaim(const TaskId& id, const Error& error) {
  TaskRecord* const record = this->Find(id);
  record->is_claiming = false;
  record->refusal = error;
  this->Finish(record, DispatchState::kNotRun, error.ToString());
}

void TaskService::RecoverClaimed(const TaskId& id, const TaskId& earlier_id) {
  TaskRecord* const record = this->Find(id);
  record->is_claiming = false;
  record->is_recovered = true;
  record->is_recovering = true;
  record->earlier_id = earlier_id;
  this->ids_by_earlier_id[earlier_id] = id;
  const EntryName registrar = RegistrarOfTask(earlier_id);
  const std::optional<std::string> address = this->peers->AddressOf(registrar);
  if (!address || this->claims->IsOutsideRoster(registrar)) {
    // The last grants and start deadlines that it gave must have passed before
    // workers are queried.
    record->granted_until = Now() + kGrantDuration;
    this->context->loop->After(kGrantDuration,
                               [this, id]() { this->QueryWorkers(id); });
    return;
  }
  this->WaitRemote(*address, earlier_id, record->deadline,
                   [this, id](const Result<Json::Value>& task) {
                     TaskRecord* const found = this->Find(id);
                     if (found == nullptr || IsFinal(found->state)) {
                       return;
                     }
                     if (task.ok()) {
                       this->AdoptEarlier(id, task.value());
                     } else {
                       this->Finish(found, DispatchState::kUnknown,
                                    task.error().ToString());
                     }
                   });
}

void TaskService::AdoptEarlier(const TaskId& id, const Json::Value& earlier) {
  TaskRecord* const record = this->Find(id);
  const std::string state = earlier["state"].asString();
  record->worker = WorkerName(earlier["worker"].asString());
  record->zone = ZoneName(earlier["zone"].asString());
  record->answer = earlier["answer"].asString();
  record->digest = earlier["digest"].asString();
  DispatchState known = DispatchState::kUnknown;
  if (state == "done") {
    known = DispatchState::kDone;
  } else if (state == "failed") {
    known = DispatchState::kFailed;
  } else if (earlier["outcome"].asString() == "not_run") {
    known = DispatchState::kNotRun;
  }
  this->Finish(record, known, earlier["reason"].asString());
}

}  // namespace daisyroad

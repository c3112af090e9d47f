#include "Core/Entry/task_service.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "Core/Common/hash.h"
#include "Core/Common/log_decision.h"
#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Common/random.h"
#include "Core/Control/control_document.h"
#include "Core/Entry/claim_service.h"
#include "Core/Entry/control_service.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/dispatch_service.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/evidence_hooks.h"
#include "Core/Entry/peer_service.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Platform/worker_client.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/rpc_client.h"
#include "Core/Transport/rpc_protocol.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kRenewPeriod{1000};
constexpr Milliseconds kRpcTimeout{1000};
// Longest pause; quick work is asked for sooner, so that polling adds little to
// its time.
constexpr Milliseconds kRemotePoll{50};
constexpr Milliseconds kInquiryPause{500};
// Time for which a dispatcher may start a task after a renewal was sent, plus a
// margin for the time the message was under way.
constexpr Milliseconds kGrant{3500};
// An inquiry that some worker leaves unanswered is given up after this time.
constexpr Milliseconds kInquiryPatience{15000};
constexpr int kMaxAttempts = 8;
// Wall clocks of instances are assumed to agree within this time. Used only to
// tell whether a worker restarted during the life of an ended registrar.
constexpr Milliseconds kClockSkew{200};
// A claim that cannot be written within this time is refused, so that the
// caller can try again while its own patience lasts.
// It covers the 5 s after which the keys of a silent instance are taken over.
constexpr Milliseconds kClaimPatience{9000};
constexpr Milliseconds kClaimPause{50};
constexpr int kRefusedCode = -32010;
// Between two looks at an empty retry budget.
constexpr Milliseconds kBudgetPause{100};
constexpr Milliseconds kOwnLoadPeriod{50};
constexpr char kCellsSection[] = "cells";
constexpr char kRouteStep[] = "task.route";
constexpr std::size_t kMaxRecords = 200000;

std::string KeyOf(const TaskSubmission& submission) {
  return submission.ClaimKey();
}

// The registrar is part of the identifier: NAME.INCARNATION-DIGITS.
EntryName RegistrarFromId(const TaskId& id) {
  return EntryName(id.str().substr(0, id.str().rfind('-')));
}

// Time since the incarnation in the name started, by the wall clocks of both
// instances.
Duration AgeOfIncarnation(const EntryName& name) {
  const Milliseconds started(std::strtoll(
      name.str().c_str() + name.str().rfind('.') + 1, nullptr, 10));
  return std::chrono::system_clock::now().time_since_epoch() - started +
         kClockSkew;
}

// True if the worker has run without a restart since before the task can have
// been sent. Its clock starts with its incarnation.
bool RemembersAll(const TaskRecord& record, const TaskReport& report) {
  const Duration since_sent =
      record.recovered ? AgeOfIncarnation(RegistrarFromId(record.earlier))
                       : Now() - record.registered;
  return report.now >= since_sent;
}

Error RefusalOf(const Json::Value& task) {
  return Error{static_cast<Errc>(task["refusal"].asInt()),
               task["refusal_step"].asString(), "", task["reason"].asString()};
}

}  // namespace

TaskService::TaskService(EntryContext* context,
                         PeerService* peers,
                         ControlService* control,
                         DispatchService* dispatch,
                         WorkerDirectory* directory,
                         ClaimService* claims)
    : context(context),
      peers(peers),
      control(control),
      dispatch(dispatch),
      directory(directory),
      claims(claims),
      router(context, directory) {}

void TaskService::Start() {
  this->router.Start();
  this->peers->AddSection(
      kCellsSection,
      [this]() { return ZoneRouter::ToJson(this->dispatch->Loads()); },
      [this](const EntryName&, const Json::Value& section) {
        this->router.OnSection(section);
      });
  this->context->loop->Every(kOwnLoadPeriod, [this]() {
    for (const CellLoad& load : this->dispatch->Loads()) {
      this->router.OnLoad(load);
    }
  });
  this->claims->Start(
      [this](const TaskId& id, bool ready) { this->OnClaim(id, ready); });
  this->context->loop->Every(kRenewPeriod, [this]() {
    this->Renew();
    this->Forget();
  });
}

bool TaskService::IsFromRegistrar(const Error& error) {
  return error.step.rfind("rpc.", 0) != 0 && error.step != kRouteStep;
}

void TaskService::Submit(const TaskSubmission& submission,
                         Milliseconds wait,
                         const Callback& callback) {
  const MonotonicTime now = Now();
  this->SubmitUntil(submission, now + kClaimPatience, now + wait, callback);
}

// While the roster changes, a key may have no registrar for a moment. A refusal
// that is certainly "not run" is therefore tried again until `retry_until`.
void TaskService::SubmitUntil(const TaskSubmission& submission,
                              MonotonicTime retry_until,
                              MonotonicTime wait_until,
                              const Callback& final_callback) {
  const Callback callback = [this, submission, retry_until, wait_until,
                             final_callback](const Result<Json::Value>& task) {
    if (task.ok() || task.error().code != Errc::kUnavailable ||
        submission.idempotency_key.empty() || Now() >= retry_until) {
      final_callback(task);
      return;
    }
    this->context->loop->After(kClaimPause, [this, submission, retry_until,
                                             wait_until, final_callback]() {
      this->SubmitUntil(submission, retry_until, wait_until, final_callback);
    });
  };
  const EntryName registrar = this->RegistrarOf(submission);
  if (registrar == this->context->self) {
    const Result<TaskRecord*> record = this->Register(submission);
    if (!record.ok()) {
      callback(record.error());
      return;
    }
    this->WaitHere(record.value()->id,
                   std::chrono::duration_cast<Milliseconds>(wait_until - Now()),
                   callback);
    return;
  }
  const std::optional<std::string> address = this->peers->AddressOf(registrar);
  if (!address) {
    callback(Error{Errc::kUnavailable, kRouteStep, registrar.str(),
                   "the registrar of the key is not known"});
    return;
  }
  this->context->rpc->Call(
      *address, "task.submit", submission.ToJson(), kRpcTimeout,
      [this, callback, address = *address,
       wait_until](const Result<Json::Value>& reply) {
        if (!reply.ok()) {
          callback(reply.error());
        } else if (reply.value()["refusal"].isInt()) {
          callback(RefusalOf(reply.value()));
        } else {
          this->WaitRemote(address, TaskId(reply.value()["id"].asString()),
                           wait_until, callback);
        }
      });
}

void TaskService::Lookup(const TaskId& id,
                         Milliseconds wait,
                         Callback callback) {
  if (this->Find(id) != nullptr) {
    this->WaitHere(id, wait, std::move(callback));
    return;
  }
  const EntryName registrar = RegistrarFromId(id);
  if (registrar == this->context->self) {
    callback(
        Error{Errc::kNotFound, "task.lookup", registrar.str(), "no such task"});
    return;
  }
  const std::optional<PeerService::Peer> peer = this->peers->Find(registrar);
  if (peer && this->peers->IsLive(*peer)) {
    this->WaitRemote(peer->address, id, Now() + wait, std::move(callback));
    return;
  }
  std::vector<std::string> addresses;
  for (const PeerService::Peer& live : this->peers->Live()) {
    addresses.push_back(live.address);
  }
  this->LookupAnywhere(id, addresses, Now() + wait, callback);
}

void TaskService::LookupAnywhere(const TaskId& id,
                                 const std::vector<std::string>& addresses,
                                 MonotonicTime until,
                                 const Callback& callback) {
  if (addresses.empty()) {
    callback(Error{Errc::kNotFound, "task.lookup", RegistrarFromId(id).str(),
                   "no instance knows the task; its registrar has ended"});
    return;
  }
  Json::Value params;
  params["task"] = id.str();
  const std::string& address = addresses.back();
  std::vector<std::string> others = addresses;
  others.pop_back();
  this->context->rpc->Call(address, "task.lookup", params, kRpcTimeout,
                           [this, id, address, others, until,
                            callback](const Result<Json::Value>& reply) {
                             if (reply.ok()) {
                               this->WaitRemote(address, id, until, callback);
                             } else {
                               this->LookupAnywhere(id, others, until,
                                                    callback);
                             }
                           });
}

void TaskService::Cancel(const TaskId& id, Callback callback) {
  TaskRecord* const record = this->Find(id);
  if (record != nullptr) {
    if (!IsFinal(record->state)) {
      record->cancelled = true;
      this->dispatch->Cancel(record->dispatcher, id);
    }
    // The end of the task is usually known within a round trip.
    this->WaitHere(id, kRpcTimeout, std::move(callback));
    return;
  }
  const std::optional<std::string> address =
      this->peers->AddressOf(RegistrarFromId(id));
  if (!address) {
    callback(Error{Errc::kNotFound, "task.cancel", "", "no such task"});
    return;
  }
  Json::Value params;
  params["task"] = id.str();
  this->context->rpc->Call(
      *address, "task.cancel", params, kRpcTimeout,
      [this, callback = std::move(callback), address = *address,
       id](const Result<Json::Value>& reply) {
        if (!reply.ok()) {
          callback(reply.error());
          return;
        }
        this->WaitRemote(address, id, Now() + kRpcTimeout, callback);
      });
}

Json::Value TaskService::ServeSubmit(const Json::Value& params) {
  const std::optional<TaskSubmission> submission =
      TaskSubmission::FromJson(params);
  if (!submission) {
    throw RpcFailure{kRefusedCode, "malformed submission"};
  }
  const Result<TaskRecord*> record = this->Register(*submission);
  if (!record.ok()) {
    Json::Value refused;
    refused["refusal"] = record.error().code.value();
    refused["refusal_step"] = record.error().step;
    refused["reason"] = record.error().ToString();
    return refused;
  }
  return record.value()->ToJson();
}

Json::Value TaskService::ServeLookup(const Json::Value& params) {
  TaskRecord* const record = this->Find(TaskId(params["task"].asString()));
  if (record == nullptr) {
    throw RpcFailure{kRefusedCode, "no such task"};
  }
  return record->ToJson();
}

Json::Value TaskService::ServeCancel(const Json::Value& params) {
  const TaskId id(params["task"].asString());
  if (this->Find(id) == nullptr) {
    throw RpcFailure{kRefusedCode, "no such task"};
  }
  this->Cancel(id, [](const Result<Json::Value>&) {});
  return Json::Value(Json::objectValue);
}

Json::Value TaskService::ServeUpdate(const Json::Value& params) {
  const Result<DispatchUpdate> update = DispatchUpdate::FromJson(params);
  if (!update.ok()) {
    throw RpcFailure{kRefusedCode, "malformed update"};
  }
  this->OnUpdate(update.value());
  return Json::Value(Json::objectValue);
}

void TaskService::OnUpdate(const DispatchUpdate& update) {
  TaskRecord* const record = this->Find(update.task);
  if (record == nullptr || IsFinal(record->state)) {
    return;
  }
  record->worker = update.worker;
  record->zone = update.zone;
  if (!IsFinal(update.state)) {
    record->state = update.state;
    return;
  }
  if (update.state == DispatchState::kNotRun && !record->cancelled &&
      update.reason == kRegistrarSilent) {
    // The dispatcher dropped it for lack of renewals; it did not run.
    this->Redispatch(record);
    return;
  }
  if (update.state == DispatchState::kNotRun && !record->cancelled &&
      update.reason == kZoneOut) {
    // Not charged to the retry budget: operators moved it, no failure did.
    record->sent = false;
    this->Dispatch(record->id, std::nullopt);
    return;
  }
  record->answer = update.answer;
  record->digest = update.digest;
  this->Finish(record, update.state, update.reason);
}

std::size_t TaskService::open_tasks() const {
  return static_cast<std::size_t>(
      std::count_if(this->records.begin(), this->records.end(),
                    [](const std::pair<const TaskId, TaskRecord>& entry) {
                      return !IsFinal(entry.second.state);
                    }));
}

Result<TaskRecord*> TaskService::Register(const TaskSubmission& submission) {
  if (!submission.idempotency_key.empty()) {
    const auto known = this->by_key.find(KeyOf(submission));
    TaskRecord* const earlier =
        known == this->by_key.end() ? nullptr : this->Find(known->second);
    if (earlier != nullptr &&
        earlier->submission.Fingerprint() != submission.Fingerprint()) {
      return Error{Errc::kConflict, "task.submit", "",
                   "the idempotency key was used with another request"};
    }
    // A task that is known not to have run may be tried again.
    if (earlier != nullptr && earlier->state != DispatchState::kNotRun) {
      return earlier;
    }
  }
  if (this->records.size() >= kMaxRecords) {
    return Error{Errc::kResourceExhausted, "task.submit", "",
                 "too many tasks are kept by this instance"};
  }
  const Declaration& declaration = this->control->declaration();
  const TaskQueue* queue = declaration.FindQueue(submission.queue);
  const Service* service =
      queue == nullptr ? nullptr : declaration.FindService(queue->service);
  if (service == nullptr) {
    return Error{Errc::kInvalidArgument, "task.submit", "",
                 "no queue \"" + submission.queue.str() + "\""};
  }
  const TaskId id(this->context->self.str() + "-" +
                  this->context->random->Hex(10));
  TaskRecord& record = this->records[id];
  record.id = id;
  record.submission = submission;
  record.pool = service->pool;
  record.urgent = queue->queue_class == QueueClass::kUrgent;
  record.idempotent = queue->idempotent;
  this->retries.OnRequest();
  record.registered = Now();
  record.deadline = record.registered + submission.deadline;
  if (!submission.idempotency_key.empty()) {
    this->by_key[KeyOf(submission)] = id;
  }
  if (record.NeedsClaim()) {
    this->Claim(id);
  } else {
    this->Dispatch(id, std::nullopt);
  }
  return &record;
}

void TaskService::Claim(const TaskId& id) {
  TaskRecord* const record = this->Find(id);
  if (record == nullptr || IsFinal(record->state)) {
    return;
  }
  const MonotonicTime now = Now();
  if (now >= record->deadline || now - record->registered > kClaimPatience) {
    this->RefuseClaim(id, Error{Errc::kUnavailable, kRouteStep, "",
                                "earlier claims are still being read"});
    return;
  }
  record->claiming = true;
  const ClaimRegistry::Answer answer =
      this->claims->Submit(KeyOf(record->submission), id);
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
      this->RefuseClaim(id, Error{Errc::kResourceExhausted, "task.claim", "",
                                  "too many claims are held"});
      return;
    case ClaimRegistry::Outcome::kNotServing:
      this->context->loop->After(kClaimPause,
                                 [this, id]() { this->Claim(id); });
      return;
    case ClaimRegistry::Outcome::kNotRegistrar:
      this->RefuseClaim(id, Error{Errc::kUnavailable, kRouteStep, "",
                                  "another instance is the registrar"});
      return;
  }
}

void TaskService::OnClaim(const TaskId& id, bool ready) {
  TaskRecord* const record = this->Find(id);
  if (record == nullptr || IsFinal(record->state)) {
    return;
  }
  record->claiming = false;
  if (ready) {
    this->Dispatch(id, std::nullopt);
    return;
  }
  this->RefuseClaim(id, Error{Errc::kUnavailable, "task.claim", "",
                              "the claim of the key could not be written"});
}

void TaskService::RefuseClaim(const TaskId& id, const Error& error) {
  TaskRecord* const record = this->Find(id);
  record->claiming = false;
  record->refusal = error;
  this->Finish(record, DispatchState::kNotRun, error.ToString());
}

void TaskService::RecoverClaimed(const TaskId& id, const TaskId& earlier) {
  TaskRecord* const record = this->Find(id);
  record->claiming = false;
  record->recovered = true;
  record->recovering = true;
  record->earlier = earlier;
  this->by_earlier[earlier] = id;
  const EntryName registrar = RegistrarFromId(earlier);
  const std::optional<std::string> address = this->peers->AddressOf(registrar);
  if (!address || this->claims->HasEnded(registrar)) {
    // Its last grants and starts must have run out before workers are asked.
    record->granted_until = Now() + kGrant;
    this->context->loop->After(kGrant, [this, id]() { this->AskWorkers(id); });
    return;
  }
  this->WaitRemote(*address, earlier, record->deadline,
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

EntryName TaskService::RegistrarOf(const TaskSubmission& submission) const {
  if (submission.idempotency_key.empty()) {
    return this->context->self;
  }
  return this->claims->RegistrarOf(KeyOf(submission))
      .value_or(this->context->self);
}

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
  if (record == nullptr || IsFinal(record->state) || record->claiming) {
    return;
  }
  ++record->attempts;
  const MonotonicTime now = Now();
  if (record->cancelled && !running_on) {
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
      this->RefusedByCell(
          record,
          Error{Errc::kUnavailable, "task.dispatch", "",
                "no worker of pool " + record->pool.str() + " is in service"});
      return;
    }
    record->zone = *zone;
  }
  const EntryName owner = this->dispatch->OwnerOf(record->pool, record->zone);
  record->dispatcher = owner;
  record->sent = true;
  record->granted_until = now + kGrant;
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
    this->Recover(record);  // it may have been received
    return;
  }
  this->RefusedByCell(record, error);
}

void TaskService::RefusedByCell(TaskRecord* record, const Error& error) {
  record->sent = false;
  const bool final = error.code == Errc::kInvalidArgument;
  if (final || record->attempts >= kMaxAttempts) {
    record->refusal = error;
    this->Finish(record, DispatchState::kNotRun, error.ToString());
    return;
  }
  if (!this->retries.TryRetry()) {
    record->refusal = error;
    this->Finish(record, DispatchState::kNotRun,
                 error.ToString() + "; the retry budget is used up");
    return;
  }
  this->context->loop->After(
      RetryBudget::Backoff(record->attempts, *this->context->random),
      [this, id = record->id]() { this->Dispatch(id, std::nullopt); });
}

void TaskService::Redispatch(TaskRecord* record) {
  record->sent = false;
  const TaskId id = record->id;
  const Duration pause = RetryBudget::Backoff(std::max(record->attempts, 1),
                                              *this->context->random);
  if (this->retries.TryRetry()) {
    this->context->loop->After(
        pause, [this, id]() { this->Dispatch(id, std::nullopt); });
    return;
  }
  if (record->cancelled || Now() >= record->deadline) {
    this->Dispatch(id, std::nullopt);  // ends it
    return;
  }
  // The task was accepted, so it waits for the budget until its deadline.
  this->context->loop->After(std::max<Duration>(pause, kBudgetPause),
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
    if (IsFinal(record.state) || !record.sent || record.recovering) {
      continue;
    }
    record.granted_until = now + kGrant;
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
      if (!IsFinal(record.state) && record.sent && !record.recovering &&
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
        record->dispatcher != owner || record->recovering) {
      continue;
    }
    if (entry.second) {
      record->state = *entry.second;
    } else if (Now() - record->granted_until > -kGrant + kRpcTimeout) {
      // Unknown there and not just sent: its update is under way or lost.
      this->Recover(record);
    }
  }
}

void TaskService::Recover(TaskRecord* record) {
  if (record->recovering) {
    return;
  }
  record->recovering = true;
  const TaskId id = record->id;
  this->context->decisions->Write(
      kTasksLog, LogDecision("recover")
                     .Field("task", id.str())
                     .Field("dispatcher", record->dispatcher.str()));
  // Until the grant has run out the old dispatcher may still start it.
  const Duration pause =
      std::max<Duration>(record->granted_until - Now(), Duration::zero());
  this->context->loop->After(pause, [this, id]() { this->AskWorkers(id); });
}

TaskId TaskService::WorkerTaskId(const TaskRecord& record) const {
  return record.recovered ? record.earlier : record.id;
}

void TaskService::AskWorkers(const TaskId& id) {
  TaskRecord* const record = this->Find(id);
  if (record == nullptr || IsFinal(record->state)) {
    return;
  }
  Inquiry& inquiry = this->inquiries[id];
  inquiry = Inquiry();
  for (const std::pair<const WorkerName, WorkerInfo>& entry :
       this->directory->workers()) {
    // Where an earlier registrar sent the task is not known.
    // A worker that has changed its pool still knows what it ran.
    if (entry.first == record->worker ||
        (entry.second.pool == record->pool &&
         (record->recovered || entry.second.listed.zone == record->zone))) {
      inquiry.pending.insert(entry.first);
    }
  }
  const std::set<WorkerName> asked = inquiry.pending;
  for (const WorkerName& name : asked) {
    this->context->workers->Report(
        this->directory->Find(name)->listed.address,
        this->WorkerTaskId(*record), true,
        [this, id, name](const Result<TaskReport>& report) {
          this->OnWorkerAsked(id, name, report);
        });
  }
  if (asked.empty()) {
    this->ConcludeInquiry(id);
  }
}

void TaskService::OnWorkerAsked(const TaskId& id,
                                const WorkerName& worker,
                                const Result<TaskReport>& report) {
  TaskRecord* const record = this->Find(id);
  const auto found = this->inquiries.find(id);
  if (record == nullptr || IsFinal(record->state) ||
      found == this->inquiries.end()) {
    return;
  }
  found->second.pending.erase(worker);
  // A worker that restarted since the task may have been sent has forgotten
  // what it ran, so its "unknown" says nothing.
  if (!report.ok() || (report.value().state == WorkerTaskState::kUnknown &&
                       !RemembersAll(*record, report.value()))) {
    found->second.silent.insert(worker);
  } else if (this->Settles(record, worker, report.value())) {
    return;
  }
  if (found->second.pending.empty()) {
    this->ConcludeInquiry(id);
  }
}

bool TaskService::Settles(TaskRecord* record,
                          const WorkerName& worker,
                          const TaskReport& report) {
  const TaskId id = record->id;
  switch (report.state) {
    case WorkerTaskState::kRunning:
      this->inquiries.erase(id);
      if (record->recovered) {
        // Its answer is awaited at the worker; if nobody renews its lease any
        // more, the lease ends it.
        this->context->loop->After(kInquiryPause,
                                   [this, id]() { this->AskWorkers(id); });
        return true;
      }
      record->recovering = false;
      this->Dispatch(id, worker);
      return true;
    case WorkerTaskState::kDone:
    case WorkerTaskState::kFailed:
      this->inquiries.erase(id);
      this->TakeAnswer(record, worker, report);
      return true;
    case WorkerTaskState::kStopped:
    case WorkerTaskState::kCheckpointed:
      // Started again from the beginning, its first part would run twice.
      if (record->idempotent) {
        return false;
      }
      this->inquiries.erase(id);
      this->Finish(record, DispatchState::kStopped, "stopped_at_worker");
      return true;
    case WorkerTaskState::kUnknown:
      return false;
  }
  return false;
}

void TaskService::TakeAnswer(TaskRecord* record,
                             const WorkerName& worker,
                             const TaskReport& report) {
  record->worker = worker;
  record->answer = report.answer;
  record->digest = report.digest;
  if (report.state == WorkerTaskState::kFailed) {
    this->Finish(record, DispatchState::kFailed, "task_failed");
  } else if (Sha256Hex(report.answer) == report.digest) {
    this->Finish(record, DispatchState::kDone, "");
  } else {
    this->Finish(record, DispatchState::kUnknown, "answer_incomplete");
  }
}

void TaskService::ConcludeInquiry(const TaskId& id) {
  TaskRecord* const record = this->Find(id);
  const bool complete = this->inquiries[id].silent.empty();
  this->inquiries.erase(id);
  if (complete && record->recovered &&
      !this->control->HasEnded(RegistrarFromId(record->earlier))) {
    // The earlier registrar is silent but may still run and send the task.
    this->Finish(record, DispatchState::kUnknown,
                 "earlier registrar is silent");
    return;
  }
  if (complete && record->recovered) {
    record->refusal = Error{Errc::kUnavailable, "task.claim", "",
                            "the earlier registrar ended before it was sent"};
    this->Finish(record, DispatchState::kNotRun, record->refusal.ToString());
    return;
  }
  if (complete || record->idempotent) {
    // No worker of the cell has it and none can start it any more.
    record->recovering = false;
    record->may_have_run = record->may_have_run || !complete;
    this->Redispatch(record);
    return;
  }
  if (Now() - record->granted_until > kInquiryPatience) {
    this->Finish(record, DispatchState::kUnknown, "worker_unreachable");
    return;
  }
  this->context->loop->After(kInquiryPause,
                             [this, id]() { this->AskWorkers(id); });
}

void TaskService::Finish(TaskRecord* record,
                         DispatchState reported,
                         const std::string& reason) {
  const DispatchState state =
      reported == DispatchState::kNotRun && record->may_have_run
          ? DispatchState::kUnknown
          : reported;
  record->state = state;
  record->reason = reason;
  record->ended = Now();
  ObserveTaskEnd(*this->context, *record);
  if (record->NeedsClaim()) {
    ClaimState fate = ClaimState::kRan;
    if (state == DispatchState::kNotRun) {
      fate = ClaimState::kNotRun;
    } else if (state == DispatchState::kUnknown) {
      fate = ClaimState::kUnknown;
    }
    this->claims->OnFate(KeyOf(record->submission), this->WorkerTaskId(*record),
                         fate);
  }
  this->context->decisions->Write(kTasksLog,
                                  LogDecision("end")
                                      .Field("task", record->id.str())
                                      .Field("state", DispatchStateName(state))
                                      .Field("worker", record->worker.str())
                                      .Field("reason", reason));
  this->NotifyWaiters(record);
}

void TaskService::NotifyWaiters(TaskRecord* record) {
  const std::vector<std::function<void()>> waiters = std::move(record->waiters);
  record->waiters.clear();
  for (const std::function<void()>& waiter : waiters) {
    waiter();
  }
}

void TaskService::WaitHere(const TaskId& id,
                           Milliseconds wait,
                           Callback callback) {
  TaskRecord* const record = this->Find(id);
  if (IsFinal(record->state) || wait.count() <= 0) {
    if (record->state == DispatchState::kNotRun && record->refusal.code) {
      callback(record->refusal);
    } else {
      callback(record->ToJson());
    }
    return;
  }
  const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
  const std::function<void()> answer = [this, id, answered,
                                        callback = std::move(callback)]() {
    TaskRecord* const found = this->Find(id);
    if (*answered || found == nullptr) {
      return;
    }
    *answered = true;
    if (found->state == DispatchState::kNotRun && found->refusal.code) {
      callback(found->refusal);
    } else {
      callback(found->ToJson());
    }
  };
  record->waiters.push_back(answer);
  this->context->loop->After(wait, answer);
}

void TaskService::WaitRemote(const std::string& address,
                             const TaskId& id,
                             MonotonicTime until,
                             Callback callback,
                             Milliseconds pause) {
  Json::Value params;
  params["task"] = id.str();
  this->context->rpc->Call(
      address, "task.lookup", params, kRpcTimeout,
      [this, address, id, until, pause,
       callback = std::move(callback)](const Result<Json::Value>& reply) {
        if (reply.ok()) {
          const std::string outcome = reply.value()["outcome"].asString();
          const std::string state = reply.value()["state"].asString();
          const bool open =
              state == "queued" || state == "starting" || state == "running";
          if (!open || Now() >= until) {
            callback(reply.value()["refusal"].isInt()
                         ? Result<Json::Value>(RefusalOf(reply.value()))
                         : reply);
            return;
          }
        } else if (reply.error().code == Errc::kInternal || Now() >= until) {
          callback(reply.error());
          return;
        }
        this->context->loop->After(
            pause, [this, address, id, until, callback, pause]() {
              this->WaitRemote(address, id, until, callback,
                               std::min(2 * pause, kRemotePoll));
            });
      });
}

TaskRecord* TaskService::Find(const TaskId& id) {
  const auto alias = this->by_earlier.find(id);
  const auto found =
      this->records.find(alias == this->by_earlier.end() ? id : alias->second);
  return found == this->records.end() ? nullptr : &found->second;
}

void TaskService::Forget() {
  const MonotonicTime now = Now();
  for (auto entry = this->records.begin(); entry != this->records.end();) {
    const TaskRecord& record = entry->second;
    if (!IsFinal(record.state) ||
        record.ended + this->context->settings.answer_retention > now) {
      ++entry;
      continue;
    }
    const auto key = this->by_key.find(KeyOf(record.submission));
    if (key != this->by_key.end() && key->second == entry->first) {
      this->by_key.erase(key);
    }
    this->by_earlier.erase(record.earlier);
    entry = this->records.erase(entry);
  }
}

}  // namespace daisyroad

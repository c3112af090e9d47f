#include "Core/Entry/task_service.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "Core/Common/log_decision.h"
#include "Core/Common/logging.h"
#include "Core/Common/random.h"
#include "Core/Entry/claim_service.h"
#include "Core/Entry/control_service.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/dispatch_service.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/evidence_hooks.h"
#include "Core/Entry/peer_service.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/rpc_client.h"
#include "Core/Transport/rpc_protocol.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kRenewPeriod{1000};
// Short tasks are polled at shorter intervals, so that polling adds little to
// their duration.
constexpr Milliseconds kMaxPollInterval{50};
constexpr int kRefusedCode = -32010;
constexpr Milliseconds kLocalLoadPeriod{50};
constexpr char kCellsSection[] = "cells";
constexpr std::size_t kMaxRecords = 200000;

Error RefusalOf(const Json::Value& task) {
  return Error{static_cast<Errc>(task["refusal"].asInt()),
               task["refusal_step"].asString(), "", task["reason"].asString()};
}

// Once a registrar has accepted a task, losing contact with it does not show
// whether the task ran, even if it refuses connections. kUnavailable therefore
// becomes kTimeout.
TaskService::Callback AfterAcceptance(const TaskService::Callback& callback) {
  return [callback](const Result<Json::Value>& task) {
    if (task.ok() || task.error().code != Errc::kUnavailable) {
      callback(task);
      return;
    }
    Error error = task.error();
    error.code = Errc::kTimeout;
    callback(error);
  };
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
  this->context->loop->Every(kLocalLoadPeriod, [this]() {
    for (const CellLoad& load : this->dispatch->Loads()) {
      this->router.OnLoad(load);
    }
  });
  this->claims->Start(
      [this](const TaskId& id, bool ready) { this->OnClaim(id, ready); });
  this->context->loop->Every(kRenewPeriod, [this]() {
    this->Renew();
    this->RemoveExpired();
  });
}

bool TaskService::IsFromRegistrar(const Error& error) {
  return error.step.rfind("rpc.", 0) != 0 && error.step != kRouteStep;
}

void TaskService::Submit(const TaskSubmission& submission,
                         Milliseconds wait,
                         const Callback& callback) {
  const MonotonicTime now = Now();
  this->SubmitUntil(submission, now + kClaimTimeout, now + wait, callback);
}

// While the roster changes, a key may briefly have no registrar. A refusal
// after which the task certainly has not run is therefore retried until
// `retry_until`.
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
    this->context->loop->After(kClaimRetryInterval, [this, submission,
                                                     retry_until, wait_until,
                                                     final_callback]() {
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
    this->WaitLocal(
        record.value()->id,
        std::chrono::duration_cast<Milliseconds>(wait_until - Now()), callback);
    return;
  }
  const std::optional<std::string> address = this->peers->AddressOf(registrar);
  if (!address) {
    callback(Error{Errc::kUnavailable, kRouteStep, registrar.str(),
                   "no address is known for the registrar of the key"});
    return;
  }
  this->context->rpc->Call(
      *address, "task.submit", submission.ToJson(), kRpcTimeout,
      [this, callback, final_callback, address = *address,
       wait_until](const Result<Json::Value>& reply) {
        if (!reply.ok()) {
          callback(reply.error());
        } else if (reply.value()["refusal"].isInt()) {
          callback(RefusalOf(reply.value()));
        } else {
          this->WaitRemote(address, TaskId(reply.value()["id"].asString()),
                           wait_until, AfterAcceptance(final_callback));
        }
      });
}

void TaskService::Lookup(const TaskId& id,
                         Milliseconds wait,
                         Callback callback) {
  if (this->Find(id) != nullptr) {
    this->WaitLocal(id, wait, std::move(callback));
    return;
  }
  const EntryName registrar = RegistrarOfTask(id);
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
  this->LookupAtPeers(id, addresses, Now() + wait, callback);
}

void TaskService::LookupAtPeers(const TaskId& id,
                                const std::vector<std::string>& addresses,
                                MonotonicTime until,
                                const Callback& callback) {
  if (addresses.empty()) {
    callback(Error{Errc::kNotFound, "task.lookup", RegistrarOfTask(id).str(),
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
                               this->LookupAtPeers(id, others, until, callback);
                             }
                           });
}

void TaskService::Cancel(const TaskId& id, Callback callback) {
  TaskRecord* const record = this->Find(id);
  if (record != nullptr) {
    if (!IsFinal(record->state)) {
      record->is_cancelled = true;
      this->dispatch->Cancel(record->dispatcher, id);
    }
    // The task usually ends within one round trip.
    this->WaitLocal(id, kRpcTimeout, std::move(callback));
    return;
  }
  const std::optional<std::string> address =
      this->peers->AddressOf(RegistrarOfTask(id));
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
  if (update.state == DispatchState::kNotRun && !record->is_cancelled &&
      update.reason == kRegistrarSilent) {
    // The dispatcher dropped the task, which had not run, because it received
    // no renewals.
    this->Redispatch(record);
    return;
  }
  if (update.state == DispatchState::kNotRun && !record->is_cancelled &&
      update.reason == kZoneOut) {
    // Not charged to the retry budget: an operator took the zone out of
    // service, nothing failed.
    record->was_sent = false;
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
    const auto known = this->ids_by_key.find(submission.ClaimKey());
    TaskRecord* const earlier =
        known == this->ids_by_key.end() ? nullptr : this->Find(known->second);
    if (earlier != nullptr &&
        earlier->submission.Fingerprint() != submission.Fingerprint()) {
      return Error{
          Errc::kConflict, "task.submit", "",
          "the idempotency key was already used for a different request"};
    }
    // A task that is known not to have run may be submitted again.
    if (earlier != nullptr && earlier->state != DispatchState::kNotRun) {
      return earlier;
    }
  }
  if (this->records.size() >= kMaxRecords) {
    return Error{Errc::kResourceExhausted, "task.submit", "",
                 "this instance holds the maximum number of tasks"};
  }
  if (this->control->document().version() == 0) {
    return Error{Errc::kUnavailable, kRouteStep, "",
                 "this instance has no declaration yet"};
  }
  const Declaration& declaration = this->control->declaration();
  const TaskQueue* queue = declaration.FindQueue(submission.queue);
  const Service* service =
      queue == nullptr ? nullptr : declaration.FindService(queue->service);
  if (service == nullptr) {
    return Error{Errc::kInvalidArgument, "task.submit", "",
                 "unknown queue \"" + submission.queue.str() + "\""};
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
    this->ids_by_key[submission.ClaimKey()] = id;
  }
  if (record.NeedsClaim()) {
    this->Claim(id);
  } else {
    this->Dispatch(id, std::nullopt);
  }
  return &record;
}

EntryName TaskService::RegistrarOf(const TaskSubmission& submission) const {
  if (submission.idempotency_key.empty()) {
    return this->context->self;
  }
  return this->claims->RegistrarOf(submission.ClaimKey())
      .value_or(this->context->self);
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
    this->claims->OnFate(record->ClaimKey(), this->WorkerTaskId(*record), fate);
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

void TaskService::WaitLocal(const TaskId& id,
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
                               std::min(2 * pause, kMaxPollInterval));
            });
      });
}

TaskRecord* TaskService::Find(const TaskId& id) {
  const auto alias = this->ids_by_earlier_id.find(id);
  const auto found = this->records.find(
      alias == this->ids_by_earlier_id.end() ? id : alias->second);
  return found == this->records.end() ? nullptr : &found->second;
}

void TaskService::RemoveExpired() {
  const MonotonicTime now = Now();
  for (auto entry = this->records.begin(); entry != this->records.end();) {
    const TaskRecord& record = entry->second;
    if (!IsFinal(record.state) ||
        record.ended + this->context->settings.answer_retention > now) {
      ++entry;
      continue;
    }
    const auto key = this->ids_by_key.find(record.ClaimKey());
    if (key != this->ids_by_key.end() && key->second == entry->first) {
      this->ids_by_key.erase(key);
    }
    this->ids_by_earlier_id.erase(record.earlier_id);
    entry = this->records.erase(entry);
  }
}

}  // namespace daisyroad

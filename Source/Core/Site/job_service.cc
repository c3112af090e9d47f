#include "Core/Site/job_service.h"

#include <algorithm>
#include <utility>

#include "Core/Common/json.h"
#include "Core/Common/log_decision.h"
#include "Core/Common/logging.h"
#include "Core/Platform/revision_store.h"
#include "Core/Site/leadership.h"
#include "Core/Site/pool_leader.h"
#include "Core/Site/store_keys.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/rpc_client.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kCommitTimeout{700};
// A request close to its deadline still gets one attempt.
constexpr Milliseconds kMinTimeout{50};
constexpr Milliseconds kReadTimeout{600};
constexpr Milliseconds kPeerTimeout{500};
constexpr Milliseconds kRetryPause{60};
// Part of the caller's deadline reserved for delivering the answer.
constexpr Milliseconds kAnswerReserve{150};
// Retry delay suggested to callers whose request was refused.
constexpr Milliseconds kRetryAfter{500};
// Keys are refused this long before the `key_withdrawal` bound is reached,
// because the read that would show a withdrawal may be this old.
constexpr Milliseconds kWithdrawalReserve{700};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

// `longest`, but not beyond the deadline.
Milliseconds TimeoutWithin(MonotonicTime deadline, Milliseconds longest) {
  return std::clamp(std::chrono::duration_cast<Milliseconds>(deadline - Now()),
                    kMinTimeout, longest);
}

// Whether the failed call certainly changed nothing, so that the request can be
// answered as refused.
bool HadNoEffect(const Error& error) {
  return error.code == Errc::kUnavailable ||
         error.code == Errc::kResourceExhausted;
}

// The pool that has a job which had already been accepted.
PoolName PoolOf(const AcceptedJob& job, const TransactionConflict& conflict) {
  for (const StoreItem& item : conflict.items) {
    if (item.key == JobPoolKey(job.id)) {
      return PoolName(item.value);
    }
  }
  return job.pool;
}

std::optional<JobStatus> ParseStatus(const std::string& text) {
  for (const JobStatus status :
       {JobStatus::kQueued, JobStatus::kRunning, JobStatus::kCompleted,
        JobStatus::kFailed, JobStatus::kCancelled}) {
    if (text == ToString(status)) {
      return status;
    }
  }
  return std::nullopt;
}

void LogAnswer(const JobId& job,
               const PoolName& pool,
               std::string_view outcome) {
  LogDecision("submit_answer")
      .Field("job", job.str())
      .Field("pool", pool.str())
      .Field("outcome", outcome)
      .Write(kTasksLog);
}

void LogRequest(std::string_view decision,
                const CallerRequest& request,
                std::int64_t version,
                std::string_view outcome) {
  LogDecision(decision)
      .Field("job", request.job.str())
      .Field("queue", request.queue.str())
      .Field("config", version)
      .Field("outcome", outcome)
      .Write(kTasksLog);
}

std::string ReasonOf(const JobAnswer& refusal) {
  if (const RequestRefused* const refused =
          std::get_if<RequestRefused>(&refusal)) {
    return refused->reason;
  }
  return std::holds_alternative<QueueUnknown>(refusal) ? "the queue is unknown"
                                                       : "the key is unknown";
}

void LogUnanswered(std::string_view decision,
                   const JobId& job,
                   const Error& error) {
  LogDecision(decision)
      .Field("job", job.str())
      .Field("outcome", "unanswered")
      .Field("error", error.ToString())
      .Write(kTasksLog);
}

}  // namespace

std::string PoolDuty(const PoolName& pool) {
  return "pool/" + pool.str();
}

JobService::JobService(RevisionStore* store,
                       EventLoop* loop,
                       RpcClient* peers,
                       const Leadership* leadership,
                       LeaderLookup find_leader,
                       Milliseconds key_withdrawal,
                       std::size_t max_record_bytes)
    : store(store),
      loop(loop),
      peers(peers),
      leadership(leadership),
      find_leader(std::move(find_leader)),
      key_withdrawal(key_withdrawal),
      max_record_bytes(max_record_bytes) {}

void JobService::SetOperatorState(const OperatorState& state,
                                  BootClock::time_point confirmed_at) {
  this->operators = state;
  this->confirmed_at = std::max(this->confirmed_at, confirmed_at);
}

bool JobService::AreKeysFresh() const {
  return BootClock::now() - this->confirmed_at <
         this->key_withdrawal - kWithdrawalReserve;
}

void JobService::LogRefusal(std::string_view decision,
                            const CallerRequest& request,
                            const JobAnswer& refusal) const {
  LogDecision(decision)
      .Field("job", request.job.str())
      .Field("queue", request.queue.str())
      .Field("config",
             this->operators.config ? this->operators.config->version : 0)
      .Field("outcome", "refused")
      .Field("reason", ReasonOf(refusal))
      .Field("keys_age_ms", std::chrono::duration_cast<Milliseconds>(
                                BootClock::now() - this->confirmed_at)
                                .count())
      .Write(kTasksLog);
}

bool JobService::HasConfig() const {
  return this->operators.config != nullptr;
}

JobService::Admission JobService::Admit(const CallerRequest& request) const {
  Admission admission;
  if (!this->operators.config) {
    admission.refusal =
        RequestRefused{"no declaration is known yet", kRetryAfter};
    return admission;
  }
  const SiteConfig& config = *this->operators.config;
  const std::map<QueueName, QueueConfig>::const_iterator queue =
      config.queues.find(request.queue);
  if (queue == config.queues.end()) {
    admission.refusal = QueueUnknown();
    return admission;
  }
  admission.queue = queue->second;
  if (queue->second.is_open) {
    return admission;
  }
  if (!this->AreKeysFresh()) {
    admission.refusal =
        RequestRefused{"the declaration of keys is too old", kRetryAfter};
    return admission;
  }
  const std::map<std::string, TeamName>::const_iterator team =
      config.keys.find(request.key.value_or(""));
  if (team == config.keys.end()) {
    admission.refusal = CallerUnauthorized();
    return admission;
  }
  admission.team = team->second;
  return admission;
}

void JobService::Submit(const CallerRequest& request,
                        JobSpec spec,
                        const Callback& callback) {
  const Admission admission = this->Admit(request);
  const std::int64_t version =
      this->operators.config ? this->operators.config->version : 0;
  std::string reason;
  if (admission.refusal) {
    this->LogRefusal("submit", request, *admission.refusal);
    callback(*admission.refusal);
    return;
  }
  if (!IsRunnable(spec, &reason) || !IsWithinLimits(spec, &reason)) {
    LogRequest("submit", request, version, reason);
    callback(RequestInvalid{reason});
    return;
  }
  AcceptedJob job;
  job.id = request.job;
  job.queue = request.queue;
  job.pool = admission.queue.pool;
  job.team = admission.team;
  job.accepted_at = std::chrono::system_clock::now();
  job.spec = std::move(spec);
  const std::size_t bytes = WriteJson(ToJson(job)).size();
  if (bytes > this->max_record_bytes) {
    reason = "the record of the job has " + std::to_string(bytes) +
             " bytes, the store takes " +
             std::to_string(this->max_record_bytes);
    LogRequest("submit", request, version, reason);
    callback(RequestInvalid{reason});
    return;
  }
  LogRequest("submit", request, version, "storing");
  this->CommitJob(job, request.deadline - kAnswerReserve, true, callback);
}

void JobService::CommitJob(const AcceptedJob& job,
                           MonotonicTime deadline,
                           bool is_first,
                           const Callback& callback) {
  const std::string key = JobKey(job.pool, job.id);
  StoreTransaction transaction;
  const std::string pool_key = JobPoolKey(job.id);
  transaction.expected.push_back({key, 0});
  transaction.expected.push_back({pool_key, 0});
  transaction.writes.push_back({key, WriteJson(ToJson(job)), 0});
  transaction.writes.push_back({pool_key, job.pool.str(), 0});
  this->store->Commit(
      transaction, TimeoutWithin(deadline, kCommitTimeout),
      [this, job, deadline, is_first,
       callback](const Result<TransactionResult>& result) {
        if (result.ok()) {
          // On a conflict the job had already been accepted.
          const TransactionConflict* const conflict =
              std::get_if<TransactionConflict>(&result.value());
          LogAnswer(job.id, conflict ? PoolOf(job, *conflict) : job.pool,
                    "accepted");
          callback(JobAccepted());
          return;
        }
        CLOG(WARNING, kTasksLog)
            << "event=job_not_stored job=" << job.id << " error=\""
            << result.error().ToString() << "\"";
        // After a retry, an earlier attempt may still take effect.
        if (is_first && HadNoEffect(result.error())) {
          LogAnswer(job.id, job.pool, "refused");
          callback(
              RequestRefused{"the store does not take the job", kRetryAfter});
        } else if (Now() + kRetryPause >= deadline) {
          LogAnswer(job.id, job.pool, "unknown");
          callback(OutcomeUnknown{"the store did not answer in time"});
        } else {
          this->loop->After(kRetryPause, [this, job, deadline, callback]() {
            this->CommitJob(job, deadline, false, callback);
          });
        }
      });
}

void JobService::Cancel(const CallerRequest& request,
                        const Callback& callback) {
  const Admission admission = this->Admit(request);
  const std::int64_t version =
      this->operators.config ? this->operators.config->version : 0;
  if (admission.refusal) {
    this->LogRefusal("cancel", request, *admission.refusal);
    callback(*admission.refusal);
    return;
  }
  LogRequest("cancel", request, version, "storing");
  const PoolName pool = admission.queue.pool;
  const JobId job = request.job;
  const MonotonicTime deadline = request.deadline - kAnswerReserve;
  const PoolLeader* const leader = this->find_leader(pool);
  if (leader != nullptr && leader->StatusOf(job)) {
    this->WriteCancel(pool, job, deadline, callback);
    return;
  }
  this->store->Get(
      JobKey(pool, job), TimeoutWithin(deadline, kReadTimeout),
      [this, pool, job, deadline,
       callback](const Result<std::optional<StoreItem>>& item) {
        if (!item.ok()) {
          LogUnanswered("cancel", job, item.error());
          callback(RequestRefused{"the store did not answer", kRetryAfter});
        } else if (!item.value()) {
          this->FindMovedJob(
              "cancel", pool, job, deadline,
              [this, job, deadline, callback](const PoolName& moved_from) {
                this->WriteCancel(moved_from, job, deadline, callback);
              },
              callback);
        } else {
          this->WriteCancel(pool, job, deadline, callback);
        }
      });
}

void JobService::FindMovedJob(
    std::string_view decision,
    const PoolName& queue_pool,
    const JobId& job,
    MonotonicTime deadline,
    const std::function<void(const PoolName&)>& on_found,
    const Callback& callback) {
  if (Now() >= deadline) {
    callback(
        RequestRefused{"no time is left to look for the job", kRetryAfter});
    return;
  }
  this->store->Get(
      JobPoolKey(job), TimeoutWithin(deadline, kReadTimeout),
      [decision, queue_pool, job, deadline, on_found,
       callback](const Result<std::optional<StoreItem>>& item) {
        if (!item.ok()) {
          LogUnanswered(decision, job, item.error());
          callback(RequestRefused{"the store did not answer", kRetryAfter});
        } else if (!item.value() || item.value()->value == queue_pool.str()) {
          // A job that the pool of the queue has now was accepted after that
          // pool was read.
          callback(JobUnknown());
        } else if (Now() >= deadline) {
          callback(RequestRefused{"no time is left to ask for the job",
                                  kRetryAfter});
        } else {
          on_found(PoolName(item.value()->value));
        }
      });
}

void JobService::WriteCancel(const PoolName& pool,
                             const JobId& job,
                             MonotonicTime deadline,
                             const Callback& callback) {
  StoreTransaction transaction;
  transaction.writes.push_back({CancelKey(pool, job), "", 0});
  this->store->Commit(
      transaction, TimeoutWithin(deadline, kCommitTimeout),
      [this, pool, job, deadline,
       callback](const Result<TransactionResult>& result) {
        if (result.ok()) {
          callback(JobCancelled());
        } else if (Now() + kRetryPause < deadline) {
          this->loop->After(kRetryPause,
                            [this, pool, job, deadline, callback]() {
                              this->WriteCancel(pool, job, deadline, callback);
                            });
        } else {
          callback(OutcomeUnknown{"the store did not answer in time"});
        }
      });
}

void JobService::AskStatus(const CallerRequest& request,
                           const Callback& callback) {
  const Admission admission = this->Admit(request);
  if (admission.refusal) {
    this->LogRefusal("status", request, *admission.refusal);
    callback(*admission.refusal);
    return;
  }
  const PoolName pool = admission.queue.pool;
  const JobId job = request.job;
  const MonotonicTime deadline = request.deadline - kAnswerReserve;
  this->AskPoolStatus(
      pool, job, deadline,
      [this, pool, job, deadline, callback](const JobAnswer& answer) {
        if (!std::holds_alternative<JobUnknown>(answer)) {
          callback(answer);
          return;
        }
        this->FindMovedJob(
            "status", pool, job, deadline,
            [this, job, deadline, callback](const PoolName& moved_from) {
              this->AskPoolStatus(moved_from, job, deadline, callback);
            },
            callback);
      });
}

void JobService::AskPoolStatus(const PoolName& pool,
                               const JobId& job,
                               MonotonicTime deadline,
                               const Callback& callback) {
  const PoolLeader* const leader = this->find_leader(pool);
  if (leader != nullptr) {
    const std::optional<JobStatus> status = leader->StatusOf(job);
    if (status) {
      callback(JobStatusAnswer{*status});
    } else {
      this->ReadProgressStatus(pool, job, deadline, callback);
    }
    return;
  }
  const std::string peer = this->leadership->LeaderAddress(PoolDuty(pool));
  if (peer.empty()) {
    this->ReadProgressStatus(pool, job, deadline, callback);
    return;
  }
  Json::Value params;
  params["pool"] = pool.str();
  params["job"] = job.str();
  // If the scheduler does not answer, the store is asked in the time left.
  const MonotonicTime scheduler_deadline = Now() + (deadline - Now()) / 2;
  this->peers->Call(
      peer, "job.status", params,
      TimeoutWithin(scheduler_deadline, kPeerTimeout),
      [this, pool, job, deadline, callback](const Result<Json::Value>& result) {
        std::optional<JobStatus> status;
        if (result.ok() && result.value().isObject() &&
            result.value()["status"].isString()) {
          status = ParseStatus(result.value()["status"].asString());
        }
        if (status) {
          callback(JobStatusAnswer{*status});
        } else {
          this->ReadProgressStatus(pool, job, deadline, callback);
        }
      });
}

void JobService::ReadProgressStatus(const PoolName& pool,
                                    const JobId& job,
                                    MonotonicTime deadline,
                                    const Callback& callback) {
  this->store->Get(
      ProgressKey(pool, job), TimeoutWithin(deadline, kReadTimeout),
      [this, pool, job, deadline,
       callback](const Result<std::optional<StoreItem>>& item) {
        if (!item.ok()) {
          LogUnanswered("status", job, item.error());
          callback(RequestRefused{"neither the scheduler nor the store answers",
                                  kRetryAfter});
          return;
        }
        if (item.value()) {
          const Result<Json::Value> json = ParseJson(item.value()->value);
          const Result<JobProgress> progress =
              json.ok() ? ParseJobProgress(job, json.value())
                        : Result<JobProgress>(json.error());
          if (progress.ok()) {
            const JobStatus status = progress.value().status;
            callback(JobStatusAnswer{
                status == JobStatus::kQueued ? JobStatus::kRunning : status});
            return;
          }
        }
        this->ReadAcceptedStatus(pool, job, deadline, callback);
      });
}

void JobService::ReadAcceptedStatus(const PoolName& pool,
                                    const JobId& job,
                                    MonotonicTime deadline,
                                    const Callback& callback) {
  this->store->Get(
      JobKey(pool, job), TimeoutWithin(deadline, kReadTimeout),
      [job, callback](const Result<std::optional<StoreItem>>& item) {
        if (!item.ok()) {
          LogUnanswered("status", job, item.error());
          callback(RequestRefused{"neither the scheduler nor the store answers",
                                  kRetryAfter});
        } else if (item.value()) {
          callback(JobStatusAnswer{JobStatus::kQueued});
        } else {
          callback(JobUnknown());
        }
      });
}

void JobService::AskPending(const CallerRequest& request,
                            const Callback& callback) {
  const Admission admission = this->Admit(request);
  if (admission.refusal) {
    callback(*admission.refusal);
    return;
  }
  const PoolName pool = admission.queue.pool;
  const PoolLeader* const leader = this->find_leader(pool);
  if (leader != nullptr && leader->is_ready()) {
    callback(PendingAnswer{leader->PendingJobs(request.queue)});
    return;
  }
  const std::string peer = this->leadership->LeaderAddress(PoolDuty(pool));
  if (peer.empty()) {
    callback(RequestRefused{"the pool has no scheduler", kRetryAfter});
    return;
  }
  Json::Value params;
  params["pool"] = pool.str();
  params["queue"] = request.queue.str();
  this->peers->Call(
      peer, "queue.pending", params,
      TimeoutWithin(request.deadline - kAnswerReserve, kPeerTimeout),
      [callback](const Result<Json::Value>& result) {
        if (result.ok() && result.value().isObject() &&
            result.value()["jobs"].isInt()) {
          callback(PendingAnswer{result.value()["jobs"].asInt()});
        } else {
          callback(RequestRefused{"the scheduler did not answer", kRetryAfter});
        }
      });
}

}  // namespace daisyroad

#include "Load/call_driver.h"

#include <algorithm>
#include <utility>

#include "Core/Common/hash.h"
#include "Core/Common/json.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kSendPeriod{2};

std::string MakeRequestBody(const PlannedCall& plan) {
  Json::Value payload;
  payload["run_ms"] = Json::Int64(plan.run.count());
  payload["echo"] = plan.echo;
  payload["answer_bytes"] = plan.answer_bytes;
  payload["fail"] = plan.fails;
  Json::Value body;
  body["queue"] = plan.queue.str();
  body["payload"] = WriteJson(payload);
  body["deadline_ms"] = Json::Int64(plan.deadline.count());
  body["cores"] = plan.cores;
  body["memory_gb"] = plan.memory_gb;
  return WriteJson(body);
}

// Returns true if the answer belongs to the request and is complete.
bool IsMatchingAnswer(const CallRecord& record, const Json::Value& task) {
  const std::string answer = task["answer"].asString();
  const Result<Json::Value> parsed = ParseJson(answer);
  return parsed.ok() && parsed.value().isObject() &&
         Sha256Hex(answer) == task["digest"].asString() &&
         parsed.value()["echo"].asString() == record.plan.echo &&
         parsed.value()["task"].asString() == task["id"].asString() &&
         static_cast<int>(parsed.value()["padding"].asString().size()) ==
             record.plan.answer_bytes;
}

}  // namespace

CallDriver::CallDriver(EventLoop* loop,
                       CallSettings settings,
                       const std::vector<PlannedCall>& calls)
    : loop(loop),
      settings(std::move(settings)),
      progress(calls.size()),
      unfinished(calls.size()),
      random(this->settings.seed),
      http([loop](std::function<void()> function) {
        loop->Post(std::move(function));
      }) {
  for (const PlannedCall& plan : calls) {
    CallRecord record;
    record.plan = plan;
    this->calls.push_back(std::move(record));
  }
  std::stable_sort(this->calls.begin(), this->calls.end(),
                   [](const CallRecord& a, const CallRecord& b) {
                     return a.plan.at < b.plan.at;
                   });
}

void CallDriver::Start(MonotonicTime start_time) {
  this->start = start_time;
  this->loop->Every(kSendPeriod, [this]() { this->SendDue(); });
}

void CallDriver::SendDue() {
  const MonotonicTime now = std::chrono::steady_clock::now();
  while (this->next_due < this->calls.size() &&
         this->start + this->calls[this->next_due].plan.at <= now) {
    const std::size_t index = this->next_due++;
    CallRecord& record = this->calls[index];
    record.state = CallState::kOpen;
    record.sent = std::chrono::system_clock::now();
    this->progress[index].give_up_time = now + record.plan.deadline +
                                         record.plan.run +
                                         this->settings.give_up_after;
    if (record.plan.cancel_after) {
      this->loop->After(*record.plan.cancel_after,
                        [this, index]() { this->Cancel(index); });
    }
    this->Submit(index);
  }
}

HttpClientRequest CallDriver::NewRequest(const CallRecord& record) {
  const std::size_t entry = this->next_entry++ % this->settings.entries.size();
  HttpClientRequest request;
  request.url = "http://" + this->settings.entries[entry] + "/v1/tasks";
  request.timeout = this->settings.wait + this->settings.response_margin;
  const auto secret = this->settings.secrets.find(record.plan.team);
  if (secret != this->settings.secrets.end()) {
    request.headers["Authorization"] = "Bearer " + secret->second;
  }
  return request;
}

void CallDriver::Submit(std::size_t index) {
  CallRecord& record = this->calls[index];
  if (record.state != CallState::kOpen) {
    return;
  }
  ++record.attempts;
  HttpClientRequest request = this->NewRequest(record);
  request.method = "POST";
  request.body = MakeRequestBody(record.plan);
  // A call that will be cancelled needs the task identifier while the task is
  // still running, so it does not wait for the result.
  const std::int64_t wait =
      record.plan.cancel_after ? 0 : this->settings.wait.count();
  request.headers["Prefer"] = "wait=" + std::to_string(wait);
  if (record.plan.has_idempotency_key) {
    request.headers["Idempotency-Key"] = "load-" + record.plan.echo;
  }
  this->http.Send(std::move(request),
                  [this, index](const Result<HttpResponse>& reply) {
                    this->OnReply(index, reply, false);
                  });
}

void CallDriver::Poll(std::size_t index) {
  CallRecord& record = this->calls[index];
  if (record.state != CallState::kOpen) {
    return;
  }
  HttpClientRequest request = this->NewRequest(record);
  request.url += "/" + record.task +
                 "?wait=" + std::to_string(this->settings.wait.count());
  this->http.Send(std::move(request),
                  [this, index](const Result<HttpResponse>& reply) {
                    this->OnReply(index, reply, true);
                  });
}

void CallDriver::Cancel(std::size_t index) {
  CallRecord& record = this->calls[index];
  if (record.state != CallState::kOpen || record.task.empty()) {
    return;
  }
  record.cancelled = true;
  HttpClientRequest request = this->NewRequest(record);
  request.method = "DELETE";
  request.url += "/" + record.task;
  this->http.Send(std::move(request), [](const Result<HttpResponse>&) {});
}

void CallDriver::OnReply(std::size_t index,
                         const Result<HttpResponse>& reply,
                         bool is_poll) {
  CallRecord& record = this->calls[index];
  if (record.state != CallState::kOpen) {
    return;
  }
  if (!reply.ok()) {
    record.status = 0;
    record.detail = reply.error().ToString();
    const bool received = reply.error().code != Errc::kUnavailable;
    record.is_uncertain = record.is_uncertain || (received && !is_poll);
    if (!is_poll && received && !record.plan.has_idempotency_key) {
      this->End(&record, CallState::kUnknown);
      return;
    }
    this->Retry(index, is_poll);
    return;
  }
  record.status = reply.value().status;
  if (record.status == 200 || record.status == 202) {
    this->OnTaskResponse(index, reply.value());
  } else {
    this->OnErrorResponse(index, reply.value(), is_poll);
  }
}

void CallDriver::OnTaskResponse(std::size_t index,
                                const HttpResponse& response) {
  CallRecord& record = this->calls[index];
  record.was_accepted = true;
  const Result<Json::Value> task = ParseJson(response.body);
  if (!task.ok() || !task.value().isObject()) {
    record.has_wrong_answer = true;
    this->End(&record, CallState::kUnknown);
    return;
  }
  record.task = task.value()["id"].asString();
  const std::string state = task.value()["state"].asString();
  if (state == "done") {
    this->OnDone(&record, task.value());
  } else if (state == "failed") {
    this->End(&record, CallState::kFailed);
  } else if (state == "stopped") {
    const bool not_run = task.value()["outcome"].asString() == "not_run";
    record.detail = task.value()["reason"].asString();
    this->End(&record, not_run ? CallState::kNotRun : CallState::kStopped);
  } else if (state == "unknown") {
    record.detail = task.value()["reason"].asString();
    record.is_uncertain = true;
    this->End(&record, CallState::kUnknown);
  } else if (std::chrono::steady_clock::now() >
             this->progress[index].give_up_time) {
    record.detail = "still " + state;
    this->End(&record, CallState::kUnknown);
  } else {
    this->Poll(index);
  }
}

void CallDriver::OnDone(CallRecord* record, const Json::Value& task) {
  record->has_wrong_answer = !IsMatchingAnswer(*record, task);
  this->End(record, CallState::kDone);
}

void CallDriver::OnErrorResponse(std::size_t index,
                                 const HttpResponse& response,
                                 bool is_poll) {
  CallRecord& record = this->calls[index];
  record.detail = response.body;
  if (is_poll) {
    // The instance that held the task may be gone. Submitting again with the
    // same idempotency key finds the task.
    const bool gone = response.status == 404;
    if (gone && !record.plan.has_idempotency_key) {
      this->End(&record, CallState::kUnknown);
    } else {
      this->Retry(index, !gone);
    }
    return;
  }
  const Result<Json::Value> problem = ParseJson(response.body);
  const std::string outcome = problem.ok() && problem.value().isObject()
                                  ? problem.value()["outcome"].asString()
                                  : std::string();
  if (outcome == "ran") {
    this->End(&record, CallState::kFailed);
  } else if (outcome == "not_run" && response.status != 503) {
    this->End(&record, CallState::kNotRun);
  } else if (outcome == "not_run") {
    this->Retry(index, false);
  } else {
    record.is_uncertain = true;
    if (record.plan.has_idempotency_key) {
      this->Retry(index, false);
    } else {
      this->End(&record, CallState::kUnknown);
    }
  }
}

void CallDriver::Retry(std::size_t index, bool is_poll) {
  Progress& call = this->progress[index];
  CallRecord& record = this->calls[index];
  if (std::chrono::steady_clock::now() > call.give_up_time) {
    const bool refused = !record.is_uncertain && !record.was_accepted;
    this->End(&record, refused ? CallState::kNotRun : CallState::kUnknown);
    return;
  }
  const Duration bound =
      std::min<Duration>(this->settings.initial_backoff * (1 << call.retries),
                         this->settings.max_backoff);
  call.retries = std::min(call.retries + 1, 10);
  this->loop->After(this->random.DurationBelow(bound),
                    [this, index, is_poll]() {
                      if (is_poll) {
                        this->Poll(index);
                      } else {
                        this->Submit(index);
                      }
                    });
}

void CallDriver::End(CallRecord* record, CallState state) {
  record->state = state;
  record->ended = std::chrono::system_clock::now();
  --this->unfinished;
}

}  // namespace daisyroad

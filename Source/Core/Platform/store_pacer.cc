#include "Core/Platform/store_pacer.h"

#include <algorithm>
#include <utility>

#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

// Failures in a row after which the log tells of the store's trouble.
constexpr std::int64_t kLoggedFailures = 3;
constexpr Milliseconds kLineInterval{1000};

std::string ToString(StoreCallClass call_class) {
  switch (call_class) {
    case StoreCallClass::kDuty:
      return "duty";
    case StoreCallClass::kCaller:
      return "caller";
    case StoreCallClass::kWrite:
      return "write";
    case StoreCallClass::kRead:
      return "read";
  }
  return "";
}

std::string IdentityOf(const StorePacer::Call& call) {
  return call.kind + ":" + call.key;
}

// Whether the store answered, though perhaps with a refusal that is final.
bool IsAnswer(const Error& error) {
  return error.code == Errc::kNotFound || error.code == Errc::kConflict;
}

Milliseconds Since(MonotonicTime time, MonotonicTime now) {
  return std::chrono::duration_cast<Milliseconds>(now - time);
}

}  // namespace

StorePacer::StorePacer(EventLoop* loop,
                       MetricsRegistry* metrics,
                       const StoreCallSettings& settings,
                       std::uint64_t seed)
    : loop(loop),
      metrics(metrics),
      is_paced(settings.is_paced),
      policy(settings),
      random(seed) {}

void StorePacer::Stop() {
  this->is_stopped = true;
  // The calls hold the pacer.
  this->held_calls.clear();
}

void StorePacer::Start(const Call& call, Sender send) {
  if (this->is_stopped) {
    return;
  }
  const MonotonicTime now = std::chrono::steady_clock::now();
  const MonotonicTime time =
      std::min(this->policy.SendTime(call.call_class, IdentityOf(call), now,
                                     &this->random),
               now + call.longest_hold);
  if (time <= now) {
    send(Milliseconds(0));
  } else {
    this->Hold(call, time, std::move(send));
  }
}

void StorePacer::Hold(const Call& call, MonotonicTime until, Sender send) {
  const MonotonicTime now = std::chrono::steady_clock::now();
  const std::pair<StoreCallClass, std::int64_t> id(call.call_class,
                                                   ++this->last_id);
  this->held_calls[id] = HeldCall{now, std::move(send)};
  ++this->trouble.held;
  this->Count("daisyroad_store_calls_held_total",
              "class=\"" + ToString(call.call_class) + "\"");
  const std::weak_ptr<StorePacer> weak = this->weak_from_this();
  this->loop->After(until - now, [weak, id]() {
    const std::shared_ptr<StorePacer> self = weak.lock();
    if (self != nullptr) {
      self->Send(id);
    }
  });
}

void StorePacer::Send(const std::pair<StoreCallClass, std::int64_t>& id) {
  const std::map<std::pair<StoreCallClass, std::int64_t>, HeldCall>::iterator
      found = this->held_calls.find(id);
  if (found == this->held_calls.end()) {
    return;  // was released
  }
  const HeldCall call = std::move(found->second);
  this->held_calls.erase(found);
  call.send(Since(call.since, std::chrono::steady_clock::now()));
}

void StorePacer::ReleaseHeldCalls() {
  while (!this->held_calls.empty() && this->policy.MayRelease()) {
    this->Send(this->held_calls.begin()->first);
  }
}

void StorePacer::Record(const Call& call, const Error* error) {
  const bool is_success = error == nullptr || IsAnswer(*error);
  this->Count("daisyroad_store_calls_total",
              "call=\"" + call.kind + "\",class=\"" +
                  ToString(call.call_class) + "\",outcome=\"" +
                  (is_success ? "answered" : "failed") + "\"");
  const MonotonicTime now = std::chrono::steady_clock::now();
  if (is_success) {
    this->policy.OnSuccess(IdentityOf(call));
    this->LogTroubleOver(now);
    this->ReleaseHeldCalls();
    return;
  }
  if (this->policy.failures_in_row() == 0) {
    this->trouble.since = now;
  }
  this->policy.OnFailure(IdentityOf(call), now);
  ++this->trouble.failed[call.kind + "_" + ToString(call.call_class)];
  this->LogTrouble(*error, now);
}

void StorePacer::LogTrouble(const Error& error, MonotonicTime now) {
  if (!this->is_paced || this->trouble.is_logged || now < this->next_line ||
      this->policy.failures_in_row() < kLoggedFailures) {
    return;
  }
  this->trouble.is_logged = true;
  this->next_line = now + kLineInterval;
  CLOG(WARNING, kControlLog) << "decision=store_calls_paced failures="
                             << this->policy.failures_in_row() << " error=\""
                             << error.ToString() << "\"";
}

void StorePacer::LogTroubleOver(MonotonicTime now) {
  if (!this->trouble.is_logged) {
    this->trouble = Trouble();
    return;
  }
  std::string failed;
  for (const std::pair<const std::string, std::int64_t>& entry :
       this->trouble.failed) {
    failed += (failed.empty() ? "" : ",") + entry.first + ":" +
              std::to_string(entry.second);
  }
  CLOG(INFO, kControlLog) << "decision=store_calls_resumed after_ms="
                          << Since(this->trouble.since, now).count()
                          << " held=" << this->trouble.held
                          << " waiting=" << this->held_calls.size()
                          << " failed=" << failed;
  this->trouble = Trouble();
}

void StorePacer::Count(const std::string& name, const std::string& labels) {
  ++this->metrics->Counter(name, labels);
}

}  // namespace daisyroad

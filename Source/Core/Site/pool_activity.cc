#include "Core/Site/pool_activity.h"

#include <algorithm>

namespace daisyroad {
namespace {

constexpr Milliseconds kLineInterval{1000};

std::string Field(const char* name, std::int64_t value) {
  return " " + std::string(name) + "=" + std::to_string(value);
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

}  // namespace

void PoolActivity::OnPass(Duration duration) {
  ++this->passes;
  this->pass_time += duration;
  this->longest_pass = std::max(this->longest_pass, duration);
}

void PoolActivity::OnPassDue(Duration lateness) {
  this->longest_lateness = std::max(this->longest_lateness, lateness);
}

void PoolActivity::OnStartAnswered(StartOutcome outcome) {
  switch (outcome) {
    case StartOutcome::kStarted:
      return;
    case StartOutcome::kUnknown:
      ++this->starts_unknown;
      return;
    case StartOutcome::kNotReceived:
      ++this->starts_not_received;
      return;
    default:
      ++this->starts_refused;
  }
}

void PoolActivity::OnReportAnswered(bool is_ok) {
  ++this->reports;
  this->reports_failed += is_ok ? 0 : 1;
}

std::string PoolActivity::TakeLine(MonotonicTime now,
                                   std::int64_t worker_connections) {
  if (now < this->next_line) {
    return "";
  }
  this->next_line = now + kLineInterval;
  const std::int64_t connections =
      worker_connections - this->connections_before;
  this->connections_before = worker_connections;
  std::string line;
  if (this->starts + this->reports > 0) {
    line = Field("passes", this->passes) +
           Field("pass_ms", ToMilliseconds(this->pass_time)) +
           Field("longest_pass_ms", ToMilliseconds(this->longest_pass)) +
           Field("late_ms", ToMilliseconds(this->longest_lateness)) +
           Field("starts", this->starts) +
           Field("not_received", this->starts_not_received) +
           Field("refused", this->starts_refused) +
           Field("unknown", this->starts_unknown) +
           Field("reports", this->reports) +
           Field("reports_failed", this->reports_failed) +
           Field("connections", connections);
  }
  this->Reset();
  return line;
}

void PoolActivity::Reset() {
  this->passes = 0;
  this->pass_time = Duration(0);
  this->longest_pass = Duration(0);
  this->longest_lateness = Duration(0);
  this->starts = 0;
  this->starts_not_received = 0;
  this->starts_refused = 0;
  this->starts_unknown = 0;
  this->reports = 0;
  this->reports_failed = 0;
}

}  // namespace daisyroad

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

void PoolActivity::OnPass(const PassDurations& durations) {
  ++this->passes;
  this->deciding += durations.deciding;
  this->sending += durations.sending;
  this->saving += durations.saving;
  this->logging += durations.logging;
  this->longest_pass =
      std::max(this->longest_pass, durations.deciding + durations.sending +
                                       durations.saving + durations.logging);
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
           Field("deciding_ms", ToMilliseconds(this->deciding)) +
           Field("sending_ms", ToMilliseconds(this->sending)) +
           Field("saving_ms", ToMilliseconds(this->saving)) +
           Field("logging_ms", ToMilliseconds(this->logging)) +
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
  this->deciding = Duration(0);
  this->sending = Duration(0);
  this->saving = Duration(0);
  this->logging = Duration(0);
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

#include "Core/Entry/decision_log.h"

#include <algorithm>

#include "Core/Common/log_decision.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Entry/entry_context.h"

namespace daisyroad {

DecisionLog::DecisionLog(MetricsRegistry* metrics, int lines_per_second)
    : metrics(metrics),
      rate(lines_per_second),
      tokens(lines_per_second),
      last_refill(Now()) {}

void DecisionLog::Write(const char* channel, const LogDecision& decision) {
  ++this->metrics->Counter("daisyroad_decisions_total",
                           std::string("channel=\"") + channel + "\"");
  this->lines.push_back(Line{this->next_seq++, decision.line()});
  if (this->lines.size() > kKeptLines) {
    this->lines.pop_front();
  }
  const MonotonicTime now = Now();
  const double seconds =
      std::chrono::duration<double>(now - this->last_refill).count();
  this->last_refill = now;
  this->tokens = std::min(this->rate, this->tokens + seconds * this->rate);
  if (this->tokens < 1.0) {
    ++this->suppressed;
    ++this->metrics->Counter("daisyroad_decision_lines_suppressed_total");
    return;
  }
  this->tokens -= 1.0;
  if (this->suppressed == 0) {
    decision.Write(channel);
    return;
  }
  LogDecision with_count = decision;
  with_count.Field("suppressed_before",
                   static_cast<std::int64_t>(this->suppressed));
  with_count.Write(channel);
  this->suppressed = 0;
}

std::vector<DecisionLog::Line> DecisionLog::After(std::uint64_t seq) const {
  std::vector<Line> found;
  for (const Line& line : this->lines) {
    if (line.seq > seq) {
      found.push_back(line);
    }
  }
  return found;
}

std::vector<DecisionLog::Line> DecisionLog::Containing(
    const std::string& text) const {
  std::vector<Line> found;
  for (const Line& line : this->lines) {
    if (line.text.find(text) != std::string::npos) {
      found.push_back(line);
    }
  }
  return found;
}

}  // namespace daisyroad

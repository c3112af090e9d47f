#ifndef SOURCE_CORE_ENTRY_DECISION_LOG_H_
#define SOURCE_CORE_ENTRY_DECISION_LOG_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

class LogDecision;
class MetricsRegistry;

// Writes decision lines to the log, at most `lines_per_second`, and keeps the
// latest ones in memory for operators. Lines above the rate are counted, and
// the next line that is written states their number, so that totals stay
// correct.
class DecisionLog {
 public:
  struct Line {
    std::uint64_t seq = 0;
    std::string text;
  };

  DecisionLog(MetricsRegistry* metrics, int lines_per_second);

  void Write(const char* channel, const LogDecision& decision);
  // Kept lines with a higher sequence number, oldest first.
  std::vector<Line> After(std::uint64_t seq) const;
  // Kept lines that contain the text.
  std::vector<Line> Containing(const std::string& text) const;

 private:
  static constexpr std::size_t kKeptLines = 4096;

  MetricsRegistry* metrics;
  double rate;
  double tokens;
  MonotonicTime last_refill;
  std::uint64_t suppressed = 0;
  std::uint64_t next_seq = 1;
  std::deque<Line> lines;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_DECISION_LOG_H_

#ifndef SOURCE_CORE_COMMON_BOUNDED_LINE_WRITER_H_
#define SOURCE_CORE_COMMON_BOUNDED_LINE_WRITER_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// Writes lines to a file descriptor at a limited rate, without blocking on a
// slow reader. Dropped lines are counted, and the count is written as a line of
// its own when writing is possible again. Thread-safe.
class BoundedLineWriter {
 public:
  // Allows `per_second` lines on average and as the maximum burst.
  BoundedLineWriter(int descriptor, double per_second);

  // `line` ends with a newline. It is dropped if fewer than `reserve` lines
  // would be left, so that frequent lines do not crowd out rare ones.
  void Write(const std::string& line, MonotonicTime now, double reserve = 0.0);

  // Writes each line as above, but with one system call for many lines.
  void WriteLines(const std::vector<std::string>& lines,
                  MonotonicTime now,
                  double reserve = 0.0);

  std::int64_t dropped() const;

 private:
  bool TryTakeToken(MonotonicTime now, double reserve);
  // Writes `text`, which holds `lines` lines, or counts them as dropped.
  void WriteOrDrop(const std::string& text, std::int64_t lines);
  // Returns false if the text cannot be written without blocking.
  bool TryWrite(const std::string& text) const;

  const int descriptor;
  const double per_second;
  mutable std::mutex mutex;
  double tokens;
  MonotonicTime refilled_at;
  std::int64_t dropped_total = 0;
  std::int64_t dropped_unreported = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_BOUNDED_LINE_WRITER_H_

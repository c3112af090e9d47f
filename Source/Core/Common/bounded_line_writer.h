#ifndef SOURCE_CORE_COMMON_BOUNDED_LINE_WRITER_H_
#define SOURCE_CORE_COMMON_BOUNDED_LINE_WRITER_H_

#include <cstdint>
#include <mutex>
#include <string>

#include "Core/Common/time.h"

namespace daisyroad {

// Writes lines to a file descriptor without ever waiting for its reader, and
// at a bounded rate. Lines that are left out are counted, and the count is
// written as a line of its own once there is room again. Thread-safe.
class BoundedLineWriter {
 public:
  // `per_second` lines on average, and as many at once.
  BoundedLineWriter(int descriptor, double per_second);

  // `line` ends with a newline.
  void Write(const std::string& line, MonotonicTime now);

  std::int64_t dropped() const;

 private:
  bool HasToken(MonotonicTime now);
  // False if the reader does not keep up.
  bool WriteNow(const std::string& line) const;

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

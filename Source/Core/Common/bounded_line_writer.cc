#include "Core/Common/bounded_line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace daisyroad {

BoundedLineWriter::BoundedLineWriter(int descriptor, double per_second)
    : descriptor(descriptor), per_second(per_second), tokens(per_second) {}

void BoundedLineWriter::Write(const std::string& line,
                              MonotonicTime now,
                              double reserve) {
  this->WriteLines({line}, now, reserve);
}

void BoundedLineWriter::WriteLines(const std::vector<std::string>& lines,
                                   MonotonicTime now,
                                   double reserve) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::string text;
  std::int64_t count = 0;
  for (const std::string& line : lines) {
    if (!this->TryTakeToken(now, reserve)) {
      ++this->dropped_total;
      ++this->dropped_unreported;
      continue;
    }
    // A longer text might be written in part.
    if (count > 0 && text.size() + line.size() > PIPE_BUF) {
      this->WriteOrDrop(text, count);
      text.clear();
      count = 0;
    }
    text += line;
    ++count;
  }
  if (count > 0) {
    this->WriteOrDrop(text, count);
  }
}

void BoundedLineWriter::WriteOrDrop(const std::string& text,
                                    std::int64_t lines) {
  if (!this->TryWrite(text)) {
    this->dropped_total += lines;
    this->dropped_unreported += lines;
    return;
  }
  if (this->dropped_unreported > 0 &&
      this->TryWrite("event=log_lines_dropped count=" +
                     std::to_string(this->dropped_unreported) + "\n")) {
    this->dropped_unreported = 0;
  }
}

std::int64_t BoundedLineWriter::dropped() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->dropped_total;
}

bool BoundedLineWriter::TryTakeToken(MonotonicTime now, double reserve) {
  const std::chrono::duration<double> elapsed = now - this->refilled_at;
  this->tokens = std::min(this->per_second,
                          this->tokens + elapsed.count() * this->per_second);
  this->refilled_at = now;
  if (this->tokens < reserve + 1.0) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

bool BoundedLineWriter::TryWrite(const std::string& text) const {
  // A pipe that polls as writable accepts at least PIPE_BUF bytes without
  // blocking.
  pollfd state{this->descriptor, POLLOUT, 0};
  if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
    return false;
  }
  return write(this->descriptor, text.data(), text.size()) ==
         static_cast<ssize_t>(text.size());
}

}  // namespace daisyroad

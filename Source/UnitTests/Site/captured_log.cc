#include "UnitTests/Site/captured_log.h"

#include <iostream>

#include "Core/Common/logging.h"

namespace daisyroad {

CapturedLog::CapturedLog() : original(std::cerr.rdbuf(this->text.rdbuf())) {
  InitializeLogging(LogLevel::kWarning);
}

CapturedLog::~CapturedLog() {
  std::cerr.rdbuf(this->original);
  InitializeLogging(LogLevel::kError);
}

int CapturedLog::Count(const std::string& pattern) const {
  const std::string lines = this->text.str();
  int count = 0;
  for (std::size_t at = lines.find(pattern); at != std::string::npos;
       at = lines.find(pattern, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace daisyroad

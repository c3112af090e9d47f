#ifndef SOURCE_UNITTESTS_SITE_CAPTURED_LOG_H_
#define SOURCE_UNITTESTS_SITE_CAPTURED_LOG_H_

#include <sstream>
#include <streambuf>
#include <string>

namespace daisyroad {

// Collects the warnings that are logged during its lifetime. logging.h is not
// included here because it redefines the CHECK of the tests.
class CapturedLog {
 public:
  CapturedLog();
  ~CapturedLog();
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  int Count(const std::string& pattern) const;

 private:
  std::ostringstream text;
  std::streambuf* original;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_SITE_CAPTURED_LOG_H_

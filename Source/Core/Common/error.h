#ifndef SOURCE_CORE_COMMON_ERROR_H_
#define SOURCE_CORE_COMMON_ERROR_H_

#include <string>
#include <system_error>

#include "Core/Common/error_code.h"

namespace daisyroad {

// A failure with the operation and the peer that it occurred at.
struct Error {
  std::error_code code;
  std::string step;    // operation in progress, for example "store.put"
  std::string peer;    // address or name of the remote side; empty if local
  std::string detail;  // human-readable text

  // One line: "store.put at 127.0.0.1:8500: timeout: no answer within 500 ms".
  std::string ToString() const;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_ERROR_H_

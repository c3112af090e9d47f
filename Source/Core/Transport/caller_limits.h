#ifndef SOURCE_CORE_TRANSPORT_CALLER_LIMITS_H_
#define SOURCE_CORE_TRANSPORT_CALLER_LIMITS_H_

#include <cstddef>

#include "Core/Common/time.h"

namespace daisyroad {

// What the clients of all listening ports of a process may hold together.
struct CallerLimits {
  // Memory for requests from their first byte until they are answered, and for
  // responses that are not sent yet.
  std::size_t request_bytes = 48'000'000;
  std::size_t connections = 3000;
  // Time for a whole request from its first byte.
  Milliseconds request_time{30000};
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_CALLER_LIMITS_H_

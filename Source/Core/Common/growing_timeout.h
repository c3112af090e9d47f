#ifndef SOURCE_CORE_COMMON_GROWING_TIMEOUT_H_
#define SOURCE_CORE_COMMON_GROWING_TIMEOUT_H_

#include <algorithm>

#include "Core/Common/error.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Timeout of a read that is repeated until it succeeds. It doubles with each
// read that times out, so that an answer which takes longer than the first
// timeout to arrive is received in the end.
class GrowingTimeout {
 public:
  GrowingTimeout(Milliseconds first, Milliseconds longest)
      : first(first), longest(longest), current(first) {}

  Milliseconds value() const { return this->current; }
  void OnError(const Error& error) {
    if (error.code == Errc::kTimeout) {
      this->current = std::min(2 * this->current, this->longest);
    }
  }
  void OnSuccess() { this->current = this->first; }

 private:
  Milliseconds first;
  Milliseconds longest;
  Milliseconds current;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_GROWING_TIMEOUT_H_

#ifndef SOURCE_CORE_PLATFORM_STORE_CALL_SETTINGS_H_
#define SOURCE_CORE_PLATFORM_STORE_CALL_SETTINGS_H_

#include "Core/Common/time.h"

namespace daisyroad {

// How an instance calls a store that does not answer as it should.
struct StoreCallSettings {
  bool is_paced = true;  // false: no call is held back
  // Pause after the first failure of a call; it doubles with each further one.
  Milliseconds first_delay{100};
  // Longest pause; writes for a duty wait for half of it at most.
  Milliseconds longest_delay{1000};
  // Repetitions that need not pause, for each call that succeeds.
  double retry_share = 0.2;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_STORE_CALL_SETTINGS_H_

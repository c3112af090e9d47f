#ifndef SOURCE_CORE_PLATFORM_STORE_CALL_POLICY_H_
#define SOURCE_CORE_PLATFORM_STORE_CALL_POLICY_H_

#include <cstdint>
#include <map>
#include <string>

#include "Core/Common/time.h"
#include "Core/Platform/store_call_class.h"
#include "Core/Platform/store_call_settings.h"

namespace daisyroad {

class Random;

// Decides when an instance repeats calls to a store that is down, overloaded or
// loses answers. Only a call whose last attempt failed can be held back. While
// the store serves others, repetitions are limited to a share of the calls that
// succeed; those beyond it, and all of them while no call succeeds, pause for a
// time that doubles until the next success of any call.
class StoreCallPolicy {
 public:
  explicit StoreCallPolicy(const StoreCallSettings& settings);

  // When a call may be sent: `now` or later. `call` identifies its repetitions.
  MonotonicTime SendTime(StoreCallClass call_class,
                         const std::string& call,
                         MonotonicTime now,
                         Random* random);
  // Whether a call that is held back may be sent before its time.
  bool MayRelease();

  void OnSuccess(const std::string& call);
  void OnFailure(const std::string& call, MonotonicTime now);

  // Failures since the last success of any call.
  std::int64_t failures_in_row() const { return this->failures; }

 private:
  struct FailedCall {
    int failures = 0;  // since the success numbered `success_count`
    std::int64_t success_count = 0;
    MonotonicTime failed_at;
  };

  Milliseconds LongestDelay(StoreCallClass call_class) const;
  void ForgetOldCalls(MonotonicTime now);

  StoreCallSettings settings;
  std::map<std::string, FailedCall> failed_calls;
  std::int64_t failures = 0;
  std::int64_t success_count = 0;
  double retries;  // that need not pause
  MonotonicTime next_cleanup;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_STORE_CALL_POLICY_H_

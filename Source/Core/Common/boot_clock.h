#ifndef SOURCE_CORE_COMMON_BOOT_CLOCK_H_
#define SOURCE_CORE_COMMON_BOOT_CLOCK_H_

#include <chrono>

namespace daisyroad {

// Monotonic clock that includes time spent suspended (CLOCK_BOOTTIME), for
// leases granted by other machines.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The standard prescribes these names.
  // NOLINTNEXTLINE(readability-identifier-naming)
  [[maybe_unused]] static constexpr bool is_steady = true;
  // NOLINTNEXTLINE(readability-identifier-naming)
  static time_point now() noexcept;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_BOOT_CLOCK_H_

#include "Core/Diagnosis/burst.h"

#include <algorithm>

namespace daisyroad {

std::optional<MonotonicTime> BurstOnset(std::vector<MonotonicTime> times,
                                        std::size_t count) {
  std::sort(times.begin(), times.end());
  for (std::size_t i = 0; i + count <= times.size(); ++i) {
    if (times[i + count - 1] - times[i] <= kBurstWindow) {
      return times[i];
    }
  }
  return std::nullopt;
}

}  // namespace daisyroad

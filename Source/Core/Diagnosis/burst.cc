#include "Core/Diagnosis/burst.h"

#include <algorithm>
#include <utility>

namespace daisyroad {

std::vector<MonotonicTime> BurstOnsets(std::vector<MonotonicTime> times,
                                       std::size_t count) {
  std::sort(times.begin(), times.end());
  std::vector<MonotonicTime> onsets;
  for (std::size_t i = 0; i + count <= times.size(); ++i) {
    if (times[i + count - 1] - times[i] <= kBurstWindow) {
      onsets.push_back(times[i]);
    }
  }
  return onsets;
}

std::optional<MonotonicTime> BurstOnset(std::vector<MonotonicTime> times,
                                        std::size_t count) {
  const std::vector<MonotonicTime> onsets =
      BurstOnsets(std::move(times), count);
  return onsets.empty() ? std::nullopt
                        : std::optional<MonotonicTime>(onsets.front());
}

}  // namespace daisyroad

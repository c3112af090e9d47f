#ifndef SOURCE_CORE_OVERLOAD_SIZE_COUNTS_H_
#define SOURCE_CORE_OVERLOAD_SIZE_COUNTS_H_

#include <array>
#include <cstddef>

namespace daisyroad {

// Jobs of one class of sizes, and those of them that are or were of use.
struct SizeCounts {
  double all = 0.0;
  double of_use = 0.0;
};

// Classes by size relative to the mean of the queue, smallest first.
inline constexpr std::size_t kSizeClassCount = 3;
using SizeClassCounts = std::array<SizeCounts, kSizeClassCount>;

}  // namespace daisyroad

#endif  // SOURCE_CORE_OVERLOAD_SIZE_COUNTS_H_

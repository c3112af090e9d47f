#include "Core/Declaration/availability_budget.h"

#include <algorithm>
#include <cmath>

namespace daisyroad {

std::int64_t AllowedDown(const AvailabilityBudget& budget, std::int64_t total) {
  if (const MaxDownCount* limit = std::get_if<MaxDownCount>(&budget)) {
    return std::min(limit->count, total);
  }
  // In binary floating point, 0.29 * 100 is 28.999999999999996; the tolerance
  // makes it 29.
  const double exact =
      std::get<MaxDownFraction>(budget).fraction * static_cast<double>(total);
  return static_cast<std::int64_t>(std::floor(exact + 1e-9));
}

}  // namespace daisyroad

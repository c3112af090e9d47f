#ifndef SOURCE_CORE_DECLARATION_AVAILABILITY_BUDGET_H_
#define SOURCE_CORE_DECLARATION_AVAILABILITY_BUDGET_H_

#include <cstdint>
#include <variant>

namespace daisyroad {

// Maximum number of workers of a service that may be down at once.
struct MaxDownCount {
  std::int64_t count = 0;

  bool operator==(const MaxDownCount&) const = default;
};

// Maximum fraction of the workers of a service that may be down, in [0, 1].
struct MaxDownFraction {
  double fraction = 0;

  bool operator==(const MaxDownFraction&) const = default;
};

using AvailabilityBudget = std::variant<MaxDownCount, MaxDownFraction>;

// Returns how many of `total` workers may be down. A fraction is rounded down
// so that the budget is never exceeded.
std::int64_t AllowedDown(const AvailabilityBudget& budget, std::int64_t total);

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_AVAILABILITY_BUDGET_H_

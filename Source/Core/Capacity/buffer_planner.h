#ifndef SOURCE_CORE_CAPACITY_BUFFER_PLANNER_H_
#define SOURCE_CORE_CAPACITY_BUFFER_PLANNER_H_

#include <vector>

#include "Core/Capacity/buffer_plan.h"
#include "Core/Capacity/capacity_input.h"

namespace daisyroad {

// Sizes the spare so that the loss of any one worker, rack or zone leaves every
// pool the instances that it needs.
class BufferPlanner {
 public:
  explicit BufferPlanner(CapacityInput capacity);

  BufferPlan Plan() const;

  // Instances missing over all pools after the worst single loss with this
  // spare, which itself stands in racks and zones that can be lost.
  std::int64_t WorstShortfall(const SpareByZone& spare) const;

  // Rows for 0 up to `most` spare instances, each placed where it helps most:
  // the difference of two rows is what the further instance buys.
  std::vector<WhatIfRow> WhatIf(std::int64_t most) const;

  // Instance-hours that `spare` instances cost in `interval`.
  static double CostHours(std::int64_t spare, Duration interval);

 private:
  // A domain whose loss is considered, or several with the same effect.
  struct Loss {
    FailureDomain domain;
    ZoneName zone;
    std::int64_t missing = 0;  // over all pools, before any spare
    std::int64_t count = 1;
  };

  std::int64_t Missing(const PoolCounts& lost) const;
  std::vector<Loss> Losses(FailureDomain domain) const;
  std::int64_t Shortfall(const Loss& loss, const SpareByZone& spare) const;
  double ExpectedHours(const SpareByZone& spare) const;
  // Adds one spare instance in the zone where it helps most.
  void Extend(SpareByZone& spare) const;
  std::int64_t Separate(const PoolName& pool) const;
  bool IsSurvived(FailureDomain domain) const;

  CapacityInput input;
  PoolCounts members;
  std::vector<Loss> losses;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CAPACITY_BUFFER_PLANNER_H_

#ifndef SOURCE_CORE_CAPACITY_BUFFER_PLANNER_H_
#define SOURCE_CORE_CAPACITY_BUFFER_PLANNER_H_

#include <vector>

#include "Core/Capacity/buffer_plan.h"
#include "Core/Capacity/capacity_input.h"

namespace daisyroad {

// Computes the number of spare instances with which every pool has the
// instances that it needs after the loss of any one worker, rack or zone.
class BufferPlanner {
 public:
  explicit BufferPlanner(CapacityInput capacity);

  BufferPlan Plan() const;

  // Number of instances missing in all pools together after the worst single
  // loss that must be covered. The spare instances are in racks and zones that
  // may be lost as well.
  std::int64_t WorstShortfall(const SpareByZone& spare) const;

  // Returns rows for 0 to `max_spare` spare instances, each added in the zone
  // where it helps most. The difference between two consecutive rows is the
  // benefit of one more instance.
  std::vector<WhatIfRow> WhatIf(std::int64_t max_spare) const;

  // Cost of `spare` instances over `interval`, in instance-hours.
  static double CostHours(std::int64_t spare, Duration interval);

 private:
  // The loss of one failure domain, or of any of `count` domains of a zone with
  // the same effect.
  struct Loss {
    FailureDomain domain;
    ZoneName zone;
    // Instances missing in all pools together, without spare instances.
    std::int64_t missing = 0;
    std::int64_t count = 1;
  };

  // Instances missing in all pools together after the loss of `lost`, without
  // spare instances.
  std::int64_t Missing(const PoolCounts& lost) const;
  std::vector<Loss> Losses(FailureDomain domain) const;
  std::int64_t Shortfall(const Loss& loss, const SpareByZone& spare) const;
  // Expected instance-hours a year below the service level.
  double ExpectedShortfallHours(const SpareByZone& spare) const;
  // Adds one spare instance in the zone where it helps most.
  void AddSpare(SpareByZone& spare) const;
  // Number of spare instances that `pool` alone would need.
  std::int64_t SeparateSpare(const PoolName& pool) const;
  // True if the spare instances must cover the loss of such a domain.
  bool MustCover(FailureDomain domain) const;

  CapacityInput input;
  PoolCounts members;
  std::vector<Loss> losses;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CAPACITY_BUFFER_PLANNER_H_

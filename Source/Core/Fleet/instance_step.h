#ifndef SOURCE_CORE_FLEET_INSTANCE_STEP_H_
#define SOURCE_CORE_FLEET_INSTANCE_STEP_H_

#include <string>

#include "Core/Common/result.h"

namespace daisyroad {

// Steps of an operation on an instance, in order. An instance goes from
// kHandedOver back to kInService; a refused request goes back from kRequested.
enum class InstanceStep {
  kInService,
  kRequested,  // named in the record, budgets not all charged yet
  kDraining,   // every budget is charged
  kDrained,
  kRebooting,
  kReturned,    // a new incarnation was seen healthy
  kHandedOver,  // the pool of the record is the target
};

std::string ToString(InstanceStep step);
Result<InstanceStep> ParseInstanceStep(const std::string& text);

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_INSTANCE_STEP_H_

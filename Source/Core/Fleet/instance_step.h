#ifndef SOURCE_CORE_FLEET_INSTANCE_STEP_H_
#define SOURCE_CORE_FLEET_INSTANCE_STEP_H_

#include <string>

#include "Core/Common/result.h"

namespace daisyroad {

// Steps of an operation on an instance, in order. kHandedOver is followed by
// kInService, and so is kRequested if the request is refused. A worker that
// reboots by itself goes from kDraining or kDrained to kReturned.
enum class InstanceStep {
  kInService,
  kRequested,  // named in the record, not all budgets are charged yet
  kDraining,   // all budgets are charged
  kDrained,
  kRebooting,
  kReturned,    // the worker is healthy with a new incarnation
  kHandedOver,  // the instance is in its target pool
};

std::string ToString(InstanceStep step);
Result<InstanceStep> ParseInstanceStep(const std::string& text);

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_INSTANCE_STEP_H_

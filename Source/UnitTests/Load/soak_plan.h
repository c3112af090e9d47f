#ifndef SOURCE_UNITTESTS_LOAD_SOAK_PLAN_H_
#define SOURCE_UNITTESTS_LOAD_SOAK_PLAN_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Core/Common/time.h"
#include "Load/scripted_event.h"

namespace daisyroad {

class TestDeployment;

// A fault of a process or link, which cannot be injected by a POST to a
// stand-in.
struct SoakStep {
  Milliseconds at{0};  // after the start of the run
  std::string name;
  std::function<void(TestDeployment* site)> act;
};

// Faults of one soak run, which may overlap or follow each other. Deterministic
// for the same seed. All faults have ended at kHealedAt.
struct SoakPlan {
  static constexpr Milliseconds kFirstFault{1000};
  static constexpr Milliseconds kHealedAt{10000};

  std::vector<ScriptedEvent> events;  // faults injected by POST
  std::vector<SoakStep> steps;        // ordered by time
  // True if more than half of the instances may have been without the store at
  // the same time and at least one instance was killed, or stopped before it
  // could seal its log of claims. It may have held claims in memory only, so
  // its keys are answered as unknown (design 3.3).
  bool may_leave_unknown_keys = false;
};

SoakPlan MakeSoakPlan(std::uint64_t seed, const TestDeployment& site);

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_LOAD_SOAK_PLAN_H_

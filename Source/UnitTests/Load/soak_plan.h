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

// A fault on processes or links, which no stand-in can be asked for.
struct SoakStep {
  Milliseconds at{0};  // after the start of the run
  std::string name;
  std::function<void(TestDeployment* site)> act;
};

// Faults of one soak run, overlapping and in series; the same for the same
// seed. All of them are over at kHealedAt.
struct SoakPlan {
  static constexpr Milliseconds kFirstFault{1000};
  static constexpr Milliseconds kHealedAt{10000};

  std::vector<ScriptedEvent> events;  // of the stand-ins, and operator calls
  std::vector<SoakStep> steps;        // in order of time
  // Most instances may have been without the store at one time, and one of them
  // was killed, or stopped before it could seal its log of claims: keys that it
  // had may have been claimed in its memory only, and are answered as unknown
  // (design 3.3).
  bool may_leave_unknown_keys = false;
};

SoakPlan MakeSoakPlan(std::uint64_t seed, const TestDeployment& site);

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_LOAD_SOAK_PLAN_H_

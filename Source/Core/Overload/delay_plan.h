#ifndef SOURCE_CORE_OVERLOAD_DELAY_PLAN_H_
#define SOURCE_CORE_OVERLOAD_DELAY_PLAN_H_

#include <vector>

namespace daisyroad {

// Which of the open jobs give way, in the order in which they were passed.
struct DelayPlan {
  std::vector<bool> gives_way;
  // Jobs that go first, since their class of sizes has had too little.
  std::vector<bool> is_owed;
  int delayed = 0;   // jobs that give way or will miss their objective
  int past_use = 0;  // jobs that can no longer be of use
  // Not all jobs that can meet their objective have room.
  bool is_short = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_OVERLOAD_DELAY_PLAN_H_

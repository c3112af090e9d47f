#ifndef SOURCE_CORE_SHARES_RECLAIM_DECISION_H_
#define SOURCE_CORE_SHARES_RECLAIM_DECISION_H_

#include "Core/Common/identifiers.h"

namespace daisyroad {

enum class ReclaimAction { kCheckpoint, kThrottle, kRestore };

// What to do with one running long task, and for which team.
struct ReclaimDecision {
  TaskId task;
  ReclaimAction action = ReclaimAction::kCheckpoint;
  TeamName from;
  TeamName to;  // empty for kRestore
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_RECLAIM_DECISION_H_

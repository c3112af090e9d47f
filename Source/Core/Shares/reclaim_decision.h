#ifndef SOURCE_CORE_SHARES_RECLAIM_DECISION_H_
#define SOURCE_CORE_SHARES_RECLAIM_DECISION_H_

#include "Core/Common/identifiers.h"
#include "Core/Common/log_decision.h"

namespace daisyroad {

enum class ReclaimAction { kCheckpoint, kThrottle, kRestore };

// Action on one running long task and the team that benefits from it.
struct ReclaimDecision {
  TaskId task;
  ReclaimAction action = ReclaimAction::kCheckpoint;
  TeamName from;
  TeamName to;  // empty for kRestore

  // Log line: decision=reclaim task=t1 action=checkpoint from=a to=b
  LogDecision ToLog() const;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SHARES_RECLAIM_DECISION_H_

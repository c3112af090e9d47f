#include "Core/Shares/reclaim_decision.h"

namespace daisyroad {
namespace {

const char* ToText(ReclaimAction action) {
  switch (action) {
    case ReclaimAction::kCheckpoint:
      return "checkpoint";
    case ReclaimAction::kThrottle:
      return "throttle";
    case ReclaimAction::kRestore:
      return "restore";
  }
  return "unknown";
}

}  // namespace

LogDecision ReclaimDecision::ToLog() const {
  LogDecision line("reclaim");
  line.Field("task", this->task.str());
  line.Field("action", ToText(this->action));
  line.Field("from", this->from.str());
  line.Field("to", this->to.str());
  return line;
}

}  // namespace daisyroad

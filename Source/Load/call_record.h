#ifndef SOURCE_LOAD_CALL_RECORD_H_
#define SOURCE_LOAD_CALL_RECORD_H_

#include <string>

#include "Core/Common/time.h"
#include "Load/planned_call.h"

namespace daisyroad {

// Last state of a request that its caller knows of.
enum class CallState {
  kNotSent,
  kOpen,
  kDone,
  kFailed,   // ran and failed
  kStopped,  // cancelled or stopped after it may have started
  kNotRun,   // refused
  kUnknown,  // gave up without a definite answer
};

// Outcome of one planned call, as seen by its caller.
struct CallRecord {
  PlannedCall plan;
  CallState state = CallState::kNotSent;
  WallTime sent;
  WallTime ended;
  int attempts = 0;
  // At least one attempt got no response, or one with `outcome` = `unknown`.
  bool is_uncertain = false;
  bool was_accepted = false;      // answered with 200 or 202
  bool has_wrong_answer = false;  // belongs to another request, or is damaged
  bool cancelled = false;
  int status = 0;  // HTTP status of the last response, 0 if none
  std::string task;
  std::string detail;  // of the last error
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_CALL_RECORD_H_

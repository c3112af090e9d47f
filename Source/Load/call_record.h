#ifndef SOURCE_LOAD_CALL_RECORD_H_
#define SOURCE_LOAD_CALL_RECORD_H_

#include <string>

#include "Core/Common/time.h"
#include "Load/planned_call.h"

namespace daisyroad {

// Last thing that the caller learnt about its request.
enum class CallState {
  kNotSent,
  kOpen,
  kDone,
  kFailed,   // ran and failed
  kStopped,  // cancelled or stopped after it may have started
  kNotRun,   // refused
  kUnknown,  // gave up without knowing
};

// What happened to one planned call, as seen by its caller.
struct CallRecord {
  PlannedCall plan;
  CallState state = CallState::kNotSent;
  WallTime sent;
  WallTime ended;
  int attempts = 0;
  // Some attempt ended without an answer, or with `outcome` = `unknown`.
  bool uncertain = false;
  bool accepted = false;      // a 200 or 202 came
  bool wrong_answer = false;  // of another request, or damaged
  bool cancelled = false;
  int status = 0;  // of the last answer; 0 if none came
  std::string task;
  std::string detail;  // of the last problem
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_CALL_RECORD_H_

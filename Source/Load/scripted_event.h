#ifndef SOURCE_LOAD_SCRIPTED_EVENT_H_
#define SOURCE_LOAD_SCRIPTED_EVENT_H_

#include <sys/types.h>

#include <string>
#include <variant>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// POSTs a JSON body to a stand-in, usually to inject a fault.
struct PostFault {
  std::string address;  // host:port
  std::string path = "/standin/faults";
  std::string body = "{}";
};

struct ChangeZone {
  ZoneName zone;
  bool is_out = true;
};

// Withdraws the key that the callers of the team use.
struct WithdrawTeamKey {
  TeamName team;
};

struct SendSignal {
  pid_t process = 0;
  int signal = 0;
};

struct ScriptedEvent {
  Milliseconds at{0};  // after the start of the run
  std::variant<PostFault, ChangeZone, WithdrawTeamKey, SendSignal> action;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_SCRIPTED_EVENT_H_

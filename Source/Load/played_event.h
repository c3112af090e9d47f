#ifndef SOURCE_LOAD_PLAYED_EVENT_H_
#define SOURCE_LOAD_PLAYED_EVENT_H_

#include <string>

#include "Load/scripted_event.h"

namespace daisyroad {

// A scripted event and its result.
struct PlayedEvent {
  ScriptedEvent event;
  WallTime sent;
  WallTime answered;  // when a configuration change was accepted
  bool ok = false;
  std::string detail;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_PLAYED_EVENT_H_

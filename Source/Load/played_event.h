#ifndef SOURCE_LOAD_PLAYED_EVENT_H_
#define SOURCE_LOAD_PLAYED_EVENT_H_

#include <string>

#include "Load/scripted_event.h"

namespace daisyroad {

// A scripted event after its time.
struct PlayedEvent {
  ScriptedEvent event;
  WallTime sent;
  WallTime answered;  // a configuration change counts as accepted from here
  bool ok = false;
  std::string detail;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_PLAYED_EVENT_H_

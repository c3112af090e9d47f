#ifndef SOURCE_LOAD_LOAD_RUN_H_
#define SOURCE_LOAD_LOAD_RUN_H_

#include <vector>

#include "Load/call_record.h"
#include "Load/call_settings.h"
#include "Load/event_player.h"
#include "Load/planned_call.h"
#include "Load/played_event.h"

namespace daisyroad {

struct LoadRunResult {
  std::vector<CallRecord> calls;
  std::vector<PlayedEvent> events;
  WallTime started;
  WallTime ended;
};

// Runs calls and events against live entry instances. Returns when every call
// and every event has ended.
LoadRunResult PlayLoad(const CallSettings& settings,
                       const std::vector<PlannedCall>& calls,
                       const EventPlayer::Options& event_options,
                       const std::vector<ScriptedEvent>& events);

}  // namespace daisyroad

#endif  // SOURCE_LOAD_LOAD_RUN_H_

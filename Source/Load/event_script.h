#ifndef SOURCE_LOAD_EVENT_SCRIPT_H_
#define SOURCE_LOAD_EVENT_SCRIPT_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/result.h"
#include "Load/scripted_event.h"

namespace daisyroad {

// Reads the TOML text of a script; the format is in docs/load.md. `processes`
// gives the process ids of the names that signals are sent to. On failure the
// detail of the error (kInvalidArgument) has one line for each fault.
Result<std::vector<ScriptedEvent>> ParseEventScript(
    std::string_view text,
    const std::string& file_name,
    const std::map<std::string, pid_t>& processes);

}  // namespace daisyroad

#endif  // SOURCE_LOAD_EVENT_SCRIPT_H_

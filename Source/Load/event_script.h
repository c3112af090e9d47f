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

// Parses the TOML text of an event script; docs/load.md describes the format.
// `processes` maps the process names in the script to process ids. On failure
// the detail of the error (kInvalidArgument) has one line for each fault.
Result<std::vector<ScriptedEvent>> ParseEventScript(
    std::string_view text,
    const std::string& file_name,
    const std::map<std::string, pid_t>& processes);

}  // namespace daisyroad

#endif  // SOURCE_LOAD_EVENT_SCRIPT_H_

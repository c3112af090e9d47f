#ifndef SOURCE_CORE_CONFIG_SETTINGS_READER_H_
#define SOURCE_CORE_CONFIG_SETTINGS_READER_H_

#include <set>
#include <string>

#include "Core/Config/settings.h"
#include "Core/Declaration/fault_list.h"
#include "Core/Declaration/toml_value.h"

namespace daisyroad {

// Sets the settings that stand in the root table; others keep their value.
// Unknown fields and bad values go to `faults`. Returns the names of the
// settings that the table holds, whether good or bad.
std::set<std::string> ReadSettings(const TomlValue& root,
                                   Settings& settings,
                                   FaultList& faults);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONFIG_SETTINGS_READER_H_

#ifndef SOURCE_CORE_CONFIG_SETTINGS_READER_H_
#define SOURCE_CORE_CONFIG_SETTINGS_READER_H_

#include <set>
#include <string>

#include "Core/Config/settings.h"
#include "Core/Declaration/fault_list.h"
#include "Core/Declaration/toml_value.h"

namespace daisyroad {

// Sets the settings that the root table contains; others keep their value.
// Reports unknown fields and invalid values to `faults`. Returns the names of
// the settings in the table, valid or not.
std::set<std::string> ReadSettings(const TomlValue& root,
                                   Settings& settings,
                                   FaultList& faults);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONFIG_SETTINGS_READER_H_

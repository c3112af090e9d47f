#ifndef SOURCE_CORE_CONFIG_SETTINGS_LOADER_H_
#define SOURCE_CORE_CONFIG_SETTINGS_LOADER_H_

#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Config/setting_override.h"
#include "Core/Config/settings.h"

namespace daisyroad {

// Applies the TOML text and then the overrides to the defaults. On failure, the
// error detail has one line per problem: "FILE:LINE: FIELD: PROBLEM" for the
// text and "command line: FIELD: PROBLEM" for overrides. In an override, list
// items are separated by commas and a seed is "ADDRESS@ZONE".
Result<Settings> LoadSettings(std::string_view text,
                              const std::string& file_name,
                              const std::vector<SettingOverride>& overrides);

// Loads the text from a file. Returns kNotFound if it cannot be read.
Result<Settings> LoadSettingsFile(
    const std::string& path,
    const std::vector<SettingOverride>& overrides);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONFIG_SETTINGS_LOADER_H_

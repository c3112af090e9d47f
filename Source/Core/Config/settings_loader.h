#ifndef SOURCE_CORE_CONFIG_SETTINGS_LOADER_H_
#define SOURCE_CORE_CONFIG_SETTINGS_LOADER_H_

#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Config/setting_override.h"
#include "Core/Config/settings.h"

namespace daisyroad {

// Defaults, then the TOML text, then the overrides. On failure the detail of
// the error has one line for each fault: "FILE:LINE: FIELD: PROBLEM" for the
// text and "command line: FIELD: PROBLEM" for overrides. In an override, lists
// are separated by commas and a seed is "ADDRESS@ZONE".
Result<Settings> LoadSettings(std::string_view text,
                              const std::string& file_name,
                              const std::vector<SettingOverride>& overrides);

// As above with the text of a file; kNotFound if it cannot be read.
Result<Settings> LoadSettingsFile(
    const std::string& path,
    const std::vector<SettingOverride>& overrides);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONFIG_SETTINGS_LOADER_H_

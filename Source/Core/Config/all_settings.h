#ifndef SOURCE_CORE_CONFIG_ALL_SETTINGS_H_
#define SOURCE_CORE_CONFIG_ALL_SETTINGS_H_

#include <string>
#include <vector>

#include "Core/Config/setting.h"

namespace daisyroad {

// Every setting of the daemon, in the order of the reference page.
const std::vector<Setting>& AllSettings();

// Names of the log levels, indexed by the value of LogLevel.
const std::vector<std::string>& LogLevelNames();

// Returns the value as written in a settings file, for logs and comparisons.
std::string SettingValue(const Setting& setting, const Settings& settings);

// Copies one setting from one object to another.
void CopySetting(const Setting& setting, const Settings& from, Settings& to);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONFIG_ALL_SETTINGS_H_

#ifndef SOURCE_CORE_CONFIG_SETTINGS_CHANGE_H_
#define SOURCE_CORE_CONFIG_SETTINGS_CHANGE_H_

#include <string>
#include <vector>

#include "Core/Config/setting.h"
#include "Core/Config/settings.h"

namespace daisyroad {

// One setting that differs between two Settings, with values as in a file.
struct SettingsChange {
  std::string name;
  std::string old_value;
  std::string new_value;
  Change change = Change::kRestart;
};

// Returns the differences in the order of AllSettings.
std::vector<SettingsChange> DiffSettings(const Settings& before,
                                         const Settings& after);

// Returns `current` with the live settings of `next`, as applied on SIGHUP.
Settings ApplyLive(const Settings& current, const Settings& next);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONFIG_SETTINGS_CHANGE_H_

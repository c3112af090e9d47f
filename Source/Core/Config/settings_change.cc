#include "Core/Config/settings_change.h"

#include "Core/Config/all_settings.h"

namespace daisyroad {

std::vector<SettingsChange> DiffSettings(const Settings& before,
                                         const Settings& after) {
  std::vector<SettingsChange> changes;
  for (const Setting& setting : AllSettings()) {
    const std::string old_value = SettingValue(setting, before);
    const std::string new_value = SettingValue(setting, after);
    if (old_value != new_value) {
      changes.push_back({setting.name, old_value, new_value, setting.change});
    }
  }
  return changes;
}

Settings ApplyLive(const Settings& current, const Settings& next) {
  Settings result = current;
  for (const Setting& setting : AllSettings()) {
    if (setting.change == Change::kLive) {
      CopySetting(setting, next, result);
    }
  }
  return result;
}

}  // namespace daisyroad

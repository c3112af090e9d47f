#ifndef SOURCE_CORE_CONFIG_SETTING_OVERRIDE_H_
#define SOURCE_CORE_CONFIG_SETTING_OVERRIDE_H_

#include <string>
#include <string_view>

#include "Core/Common/result.h"

namespace daisyroad {

// A setting given on the command line.
struct SettingOverride {
  std::string name;
  std::string value;
};

// Splits "NAME=VALUE" at the first equals sign.
Result<SettingOverride> ParseOverride(std::string_view text);

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONFIG_SETTING_OVERRIDE_H_

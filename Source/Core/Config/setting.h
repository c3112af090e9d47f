#ifndef SOURCE_CORE_CONFIG_SETTING_H_
#define SOURCE_CORE_CONFIG_SETTING_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Core/Config/settings.h"

namespace daisyroad {

struct NameSetting {
  std::string Settings::*member;
};

struct AddressSetting {
  std::string Settings::*member;
};

struct AddressListSetting {
  std::vector<std::string> Settings::*member;
};

struct SeedListSetting {
  std::vector<Seed> Settings::*member;
};

struct LogLevelSetting {
  LogLevel Settings::*member;
};

// The range is inclusive.
struct IntSetting {
  std::int64_t Settings::*member;
  std::int64_t low;
  std::int64_t high;
};

// The range is inclusive.
struct DurationSetting {
  Milliseconds Settings::*member;
  Milliseconds low;
  Milliseconds high;
};

using SettingField = std::variant<NameSetting,
                                  AddressSetting,
                                  AddressListSetting,
                                  SeedListSetting,
                                  LogLevelSetting,
                                  IntSetting,
                                  DurationSetting>;

// Whether a new value takes effect on SIGHUP or at the next start.
enum class Change { kLive, kRestart };

// Describes one setting: its name in the file and on the command line, its type
// and range, and when a change takes effect.
struct Setting {
  std::string name;  // "store.request_timeout"; "seeds" has no table
  SettingField field;
  Change change = Change::kRestart;
  bool required = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_CONFIG_SETTING_H_

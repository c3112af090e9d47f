#include "Core/Config/settings_loader.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <fstream>
#include <optional>
#include <set>
#include <utility>

#include "Core/Config/all_settings.h"
#include "Core/Config/settings_reader.h"
#include "Core/Declaration/fault_list.h"
#include "Core/Declaration/toml_document.h"

namespace daisyroad {

namespace {

constexpr std::int64_t kMaxHeaderBytes = 850'000;

constexpr char kStep[] = "settings.load";

TomlValue TextValue(std::string_view text) {
  return TomlValue{std::string(text), 0};
}

TomlValue IntValue(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number);
  // Text that is not a number stays a string, which the reader rejects.
  return parsed.ec == std::errc() && parsed.ptr == end ? TomlValue{number, 0}
                                                       : TextValue(text);
}

TomlValue SeedValue(std::string_view text) {
  const std::size_t at = text.find('@');
  TomlValue::Table seed;
  seed["address"] = TextValue(text.substr(0, at));
  if (at != std::string_view::npos) {
    seed["zone"] = TextValue(text.substr(at + 1));
  }
  return TomlValue{std::move(seed), 0};
}

template <typename Convert>
TomlValue ListValue(std::string_view text, const Convert& convert) {
  TomlValue::Array items;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    items.push_back(convert(text.substr(0, comma)));
    text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
  }
  return TomlValue{std::move(items), 0};
}

TomlValue OverrideValue(const SettingOverride& item) {
  for (const Setting& setting : AllSettings()) {
    if (setting.name != item.name) {
      continue;
    }
    if (std::holds_alternative<IntSetting>(setting.field)) {
      return IntValue(item.value);
    }
    if (std::holds_alternative<AddressListSetting>(setting.field)) {
      return ListValue(item.value, TextValue);
    }
    if (std::holds_alternative<SeedListSetting>(setting.field)) {
      return ListValue(item.value, SeedValue);
    }
  }
  return TextValue(item.value);
}

// Converts the overrides to the form of a settings file. The last override of a
// setting wins.
TomlValue OverrideTable(const std::vector<SettingOverride>& overrides,
                        FaultList& faults) {
  TomlValue::Table root;
  for (const SettingOverride& item : overrides) {
    const std::vector<Setting>& settings = AllSettings();
    if (std::none_of(settings.begin(), settings.end(),
                     [&](const Setting& setting) {
                       return setting.name == item.name;
                     })) {
      faults.AddAt(0, item.name, "unknown setting");
      continue;
    }
    const std::size_t dot = item.name.find('.');
    if (dot == std::string::npos) {
      root[item.name] = OverrideValue(item);
      continue;
    }
    TomlValue& table = root[item.name.substr(0, dot)];
    if (!std::holds_alternative<TomlValue::Table>(table.value)) {
      table = TomlValue{TomlValue::Table(), 0};
    }
    std::get<TomlValue::Table>(table.value)[item.name.substr(dot + 1)] =
        OverrideValue(item);
  }
  return TomlValue{std::move(root), 0};
}

void CheckRequired(const std::set<std::string>& present, FaultList& faults) {
  for (const Setting& setting : AllSettings()) {
    if (setting.required && !present.contains(setting.name)) {
      faults.Add(setting.name, "is missing");
    }
  }
}

void CheckCrossFieldConstraints(const Settings& settings, FaultList& faults) {
  if (!settings.peers_address.empty() &&
      settings.peers_address == settings.callers_address) {
    faults.Add("listen.peers", "must differ from listen.callers");
  }
  // The lease must not expire if one renewal is lost.
  if (settings.max_held_bytes <
      2 * (settings.max_request_bytes + kMaxHeaderBytes)) {
    faults.Add("requests.max_held_bytes",
               "must be at least twice requests.max_bytes and 850,000");
  }
  if (2 * settings.lease_renewal > settings.task_lease) {
    faults.Add("leases.renewal", "must be at most half of leases.task");
  }
}

}  // namespace

Result<SettingOverride> ParseOverride(std::string_view text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos || equals == 0) {
    return Error{Errc::kInvalidArgument, kStep, "",
                 "command line: \"" + std::string(text) +
                     "\": must have the form NAME=VALUE"};
  }
  return SettingOverride{std::string(text.substr(0, equals)),
                         std::string(text.substr(equals + 1))};
}

Result<Settings> LoadSettings(std::string_view text,
                              const std::string& file_name,
                              const std::vector<SettingOverride>& overrides) {
  FaultList file_faults;
  FaultList override_faults;
  Settings settings;
  const std::optional<TomlValue> document = ParseToml(text, file_faults);
  std::set<std::string> present;
  if (document) {
    present = ReadSettings(*document, settings, file_faults);
  }
  const TomlValue table = OverrideTable(overrides, override_faults);
  present.merge(ReadSettings(table, settings, override_faults));
  // If the file cannot be parsed, every required setting would be reported as
  // missing.
  if (document) {
    CheckRequired(present, file_faults);
    CheckCrossFieldConstraints(settings, file_faults);
  }
  if (file_faults.empty() && override_faults.empty()) {
    return settings;
  }
  Error error = file_faults.ToError(kStep, file_name);
  const std::string override_detail =
      override_faults.ToError(kStep, "command line").detail;
  error.detail +=
      (error.detail.empty() || override_detail.empty() ? "" : "\n") +
      override_detail;
  return error;
}

Result<Settings> LoadSettingsFile(
    const std::string& path,
    const std::vector<SettingOverride>& overrides) {
  std::ifstream file(path, std::ios::binary);
  // Reads one byte more than allowed so that ParseToml rejects a larger file.
  std::string text(kMaxTomlBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  // A file shorter than the buffer sets failbit; a read error sets badbit.
  if (!file.is_open() || file.bad()) {
    return Error{Errc::kNotFound, kStep, "", path + ": cannot be read"};
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return LoadSettings(text, path, overrides);
}

}  // namespace daisyroad

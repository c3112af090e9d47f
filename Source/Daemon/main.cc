// daisyroad: the daemon; one process runs one entry instance.
//
// Exit codes: 0 after a graceful shutdown, 1 if the entry instance could not
// serve, 2 for invalid settings or flags.

#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/logging.h"
#include "Core/Config/setting_override.h"
#include "Core/Config/settings_loader.h"
#include "Core/Entry/entry_instance.h"
#include "Core/Keys/key_record.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

ABSL_FLAG(std::string, settings, "", "TOML file with the settings; required");
ABSL_FLAG(std::vector<std::string>,
          set,
          {},
          "settings that override the file: NAME=VALUE, separated by commas");
ABSL_FLAG(std::string,
          bootstrap_operator_key,
          "",
          "ID:SALT:DIGEST from `daisyroadctl key generate`; its secret is "
          "accepted while no operator's key has been given");

namespace daisyroad {
namespace {

constexpr int kExitUsageError = 2;

std::optional<KeyRecord> ParseBootstrapKey(const std::string& text) {
  const std::size_t first_colon = text.find(':');
  const std::size_t second_colon = text.find(':', first_colon + 1);
  if (first_colon == std::string::npos || second_colon == std::string::npos) {
    return std::nullopt;
  }
  KeyRecord record;
  record.id = KeyId(text.substr(0, first_colon));
  record.holder = OperatorKey{"bootstrap"};
  record.hash.salt =
      text.substr(first_colon + 1, second_colon - first_colon - 1);
  record.hash.digest = text.substr(second_colon + 1);
  return record;
}

int RunDaemon() {
  std::vector<SettingOverride> overrides;
  for (const std::string& text : absl::GetFlag(FLAGS_set)) {
    const Result<SettingOverride> setting_override = ParseOverride(text);
    if (!setting_override.ok()) {
      std::cerr << setting_override.error().ToString() << "\n";
      return kExitUsageError;
    }
    overrides.push_back(setting_override.value());
  }
  const Result<Settings> settings =
      LoadSettingsFile(absl::GetFlag(FLAGS_settings), overrides);
  if (!settings.ok()) {
    std::cerr << settings.error().detail << "\n";
    return kExitUsageError;
  }
  const std::string bootstrap_text =
      absl::GetFlag(FLAGS_bootstrap_operator_key);
  const std::optional<KeyRecord> bootstrap = ParseBootstrapKey(bootstrap_text);
  if (!bootstrap_text.empty() && !bootstrap) {
    std::cerr << "--bootstrap_operator_key must be ID:SALT:DIGEST\n";
    return kExitUsageError;
  }
  InitializeLogging(settings.value().log_level);
  EntryInstance instance(settings.value(), bootstrap);
  const Status status = instance.Run();
  if (!status.ok()) {
    std::cerr << status.error().ToString() << "\n";
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace daisyroad

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Serves one entry instance of daisyroad.\n"
      "daisyroad --settings=FILE [--set=NAME=VALUE,...]");
  absl::ParseCommandLine(argc, argv);
  return daisyroad::RunDaemon();
}

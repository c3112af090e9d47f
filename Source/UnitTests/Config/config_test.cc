#include <catch2/catch.hpp>
#include <chrono>
#include <set>

#include "Core/Config/all_settings.h"
#include "Core/Config/settings_change.h"
#include "Core/Config/settings_loader.h"
#include "UnitTests/Config/sample_settings.h"

namespace daisyroad {
namespace {

std::string ErrorOf(const std::string& text,
                    const std::vector<SettingOverride>& overrides = {}) {
  const Result<Settings> result = LoadSettings(text, "e.toml", overrides);
  return result.ok() ? "" : result.error().detail;
}

Settings LoadSample(const std::vector<SettingOverride>& overrides = {}) {
  INFO(ErrorOf(kSampleSettings, overrides));
  const Result<Settings> result =
      LoadSettings(kSampleSettings, "e.toml", overrides);
  REQUIRE(result.ok());
  return result.value();
}

// Guards against a wrong precedence of defaults, file and command line.
TEST_CASE("The command line wins over the file and the file over defaults") {
  CHECK(LoadSample().store_connect_timeout == Milliseconds(300));
  CHECK(LoadSample().store_request_timeout == Milliseconds(500));
  const Settings settings =
      LoadSample({{"store.request_timeout", "2s"},
                  {"requests.max_connections", "7"},
                  {"log.level", "debug"},
                  {"store.addresses", "[::1]:1,10.0.0.1:2"},
                  {"seeds", "127.0.0.1:9@east"}});
  CHECK(settings.store_request_timeout == std::chrono::seconds(2));
  CHECK(settings.max_connections == 7);
  CHECK(settings.log_level == LogLevel{0});
  const std::vector<std::string> addresses = {"[::1]:1", "10.0.0.1:2"};
  CHECK(settings.store_addresses == addresses);
  const std::vector<Seed> seeds = {{"127.0.0.1:9", ZoneName("east")}};
  CHECK((settings.seeds == seeds));
}

struct BadEdit {
  const char* from;
  const char* to;
  const char* expected;
};

const BadEdit kBadEdits[] = {
    {"name = \"entry-1\"", "", "e.toml:1: instance.name: is missing"},
    {"name = \"entry-1\"", "name = \"Entry 1\"",
     "e.toml:2: instance.name: must be a name of 1 to 64 characters from a-z, "
     "0-9, '-' and '_'"},
    {"127.0.0.1:18101", "localhost:18101",
     "e.toml:6: listen.callers: must be an IP address and port such as "
     "\"127.0.0.1:18100\""},
    {"127.0.0.1:18201", "127.0.0.1:65536",
     "e.toml:7: listen.peers: must be an IP address and port such as "
     "\"127.0.0.1:18100\""},
    {"127.0.0.1:18201", "127.0.0.1:18101",
     "e.toml:7: listen.peers: must differ from listen.callers"},
    {"[\"127.0.0.1:18000\"]", "[]",
     "e.toml:9: store.addresses: must not be empty"},
    {"\"500ms\"", "500",
     "e.toml:10: store.request_timeout: must be a duration from \"10ms\" to "
     "\"1min\""},
    {"\"500ms\"", "\"2min\"",
     "e.toml:10: store.request_timeout: must be a duration from \"10ms\" to "
     "\"1min\""},
    {"request_timeout", "request_timeuot",
     "e.toml:10: store.request_timeuot: unknown field"},
    {"[instance_list]", "[requests]\nmax_connections = 0\n[instance_list]",
     "e.toml:12: requests.max_connections: must be a positive integer of at "
     "most 100000"},
    {"[instance_list]", "[log]\nlevel = \"loud\"\n[instance_list]",
     "e.toml:12: log.level: must be one of \"debug\", \"info\", \"warning\", "
     "\"error\""},
    {"[instance_list]", "[leases]\nrenewal = \"6s\"\n[instance_list]",
     "e.toml:12: leases.renewal: must be at most half of leases.task"},
    {"zone = \"east\"", "region = \"east\"",
     "e.toml:13: seeds[0].zone: is missing\n"
     "e.toml:15: seeds[0].region: unknown field"},
};

// Guards against errors with a wrong or missing line or field.
TEST_CASE("Each settings fault names file, line and field") {
  const BadEdit& edit =
      GENERATE(from_range(std::begin(kBadEdits), std::end(kBadEdits)));
  INFO(edit.from << " => " << edit.to);
  std::string text = kSampleSettings;
  text.replace(text.find(edit.from), std::string(edit.from).size(), edit.to);
  CHECK(ErrorOf(text) == edit.expected);
}

// Guards against ignoring a mistyped override.
TEST_CASE("Faults of overrides name the command line") {
  CHECK(ErrorOf(kSampleSettings, {{"requests.max_connections", "many"},
                                  {"requests.max", "3"},
                                  {"seeds", "127.0.0.1:9"}}) ==
        "command line: requests.max: unknown setting\n"
        "command line: requests.max_connections: must be a positive integer "
        "of at most 100000\n"
        "command line: seeds[0].zone: is missing");
  CHECK_FALSE(ParseOverride("log.level").ok());
  CHECK(ParseOverride("a=b=c").value().value == "b=c");
}

// Guards against a reload that applies settings that need a restart.
TEST_CASE("Only live settings change on reload") {
  const Settings current = LoadSample();
  const Settings next = LoadSample(
      {{"log.level", "error"}, {"listen.callers", "127.0.0.1:19000"}});
  const std::vector<SettingsChange> changes = DiffSettings(current, next);
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].name == "listen.callers");
  CHECK(changes[0].change == Change::kRestart);
  CHECK(changes[1].new_value == "\"error\"");
  CHECK(changes[1].change == Change::kLive);
  const Settings applied = ApplyLive(current, next);
  CHECK(applied.log_level == LogLevel{3});
  CHECK(applied.callers_address == current.callers_address);
}

// Guards against a default outside the range of its setting.
TEST_CASE("Every setting accepts its own value") {
  std::set<std::string> names;
  std::string text;
  std::string table;
  const Settings settings = LoadSample();
  for (const Setting& setting : AllSettings()) {
    CHECK(names.insert(setting.name).second);
    const std::size_t dot = setting.name.find('.');
    if (dot == std::string::npos) {
      text =
          setting.name + " = " + SettingValue(setting, settings) + "\n" + text;
      continue;
    }
    if (setting.name.substr(0, dot) != table) {
      table = setting.name.substr(0, dot);
      text += "[" + table + "]\n";
    }
    text += setting.name.substr(dot + 1) + " = " +
            SettingValue(setting, settings) + "\n";
  }
  INFO(text << ErrorOf(text));
  const Result<Settings> again = LoadSettings(text, "e.toml", {});
  REQUIRE(again.ok());
  CHECK(again.value() == settings);
}

// Guards against examples that the daemon rejects or that share an address.
TEST_CASE("The example settings of both sites load") {
  const std::string folder = DAISYROAD_EXAMPLES;
  for (const auto& [site, count, zones] :
       {std::tuple("izarra", 9, 4U), std::tuple("liitto", 8, 3U)}) {
    std::set<std::string> addresses;
    std::set<std::string> zones_seen;
    for (int i = 1; i <= count; ++i) {
      const Result<Settings> result = LoadSettingsFile(
          folder + "/" + site + "/entry-" + std::to_string(i) + ".toml", {});
      INFO((result.ok() ? "" : result.error().detail));
      REQUIRE(result.ok());
      CHECK(addresses.insert(result.value().callers_address).second);
      CHECK(addresses.insert(result.value().peers_address).second);
      zones_seen.insert(result.value().zone);
    }
    CHECK(zones_seen.size() == zones);
  }
  CHECK(LoadSettingsFile(folder + "/none.toml", {}).error().code ==
        Errc::kNotFound);
  CHECK_FALSE(LoadSettingsFile(folder, {}).ok());
}

}  // namespace
}  // namespace daisyroad

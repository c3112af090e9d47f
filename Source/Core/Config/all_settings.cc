#include "Core/Config/all_settings.h"

#include <chrono>

#include "Core/Declaration/duration_text.h"

namespace daisyroad {

namespace {

constexpr Milliseconds kMinute = std::chrono::minutes(1);
constexpr Milliseconds kDay = std::chrono::hours(24);

DurationSetting MakeDurationSetting(Milliseconds Settings::*member,
                                    Milliseconds low,
                                    Milliseconds high) {
  return DurationSetting{member, low, high};
}

std::vector<Setting> BuildSettings() {
  using S = Settings;
  const Change live = Change::kLive;
  const Change restart = Change::kRestart;
  const Milliseconds min_timeout(10);
  return {
      {"instance.name", NameSetting{&S::instance_name}, restart, true},
      {"instance.zone", NameSetting{&S::zone}, restart, true},
      {"instance.region", NameSetting{&S::region}, restart, true},
      {"listen.callers", AddressSetting{&S::callers_address}, restart, true},
      {"listen.peers", AddressSetting{&S::peers_address}, restart, true},
      {"seeds", SeedListSetting{&S::seeds}, live, false},
      {"store.addresses", AddressListSetting{&S::store_addresses}, restart,
       true},
      {"store.connect_timeout",
       MakeDurationSetting(&S::store_connect_timeout, min_timeout, kMinute),
       live},
      {"store.request_timeout",
       MakeDurationSetting(&S::store_request_timeout, min_timeout, kMinute),
       live},
      {"store.watch_wait",
       MakeDurationSetting(&S::store_watch_wait, Milliseconds(1'000),
                           10 * kMinute),
       live},
      {"instance_list.address", AddressSetting{&S::instance_list_address},
       restart, true},
      {"instance_list.interval",
       MakeDurationSetting(&S::instance_list_interval, Milliseconds(100),
                           kMinute),
       live},
      {"log.level", LogLevelSetting{&S::log_level}, live},
      {"workers.connect_timeout",
       MakeDurationSetting(&S::worker_connect_timeout, min_timeout, kMinute),
       live},
      {"workers.request_timeout",
       MakeDurationSetting(&S::worker_request_timeout, min_timeout, kMinute),
       live},
      {"workers.probe_timeout",
       MakeDurationSetting(&S::worker_probe_timeout, min_timeout, kMinute),
       live},
      {"workers.poll_wait",
       MakeDurationSetting(&S::worker_poll_wait, Milliseconds(100),
                           10 * kMinute),
       live},
      {"requests.max_bytes",
       IntSetting{&S::max_request_bytes, 1'000, 100'000'000}, live},
      {"requests.header_timeout",
       MakeDurationSetting(&S::header_timeout, min_timeout, kMinute), restart},
      {"requests.max_connections", IntSetting{&S::max_connections, 1, 100'000},
       restart},
      {"requests.max_held_bytes",
       IntSetting{&S::max_held_bytes, 4'000'000, 100'000'000'000}, restart},
      {"leases.task",
       MakeDurationSetting(&S::task_lease, Milliseconds(1'000), 10 * kMinute),
       restart},
      {"leases.renewal",
       MakeDurationSetting(&S::lease_renewal, Milliseconds(100), 10 * kMinute),
       restart},
      {"leases.allotment_margin",
       MakeDurationSetting(&S::allotment_margin, Milliseconds(100), kMinute),
       restart},
      {"retention.answers",
       MakeDurationSetting(&S::answer_retention, kMinute, kDay), live},
      {"retention.claims",
       MakeDurationSetting(&S::claim_retention, kMinute, kDay), restart},
  };
}

std::string Quote(const std::string& text) {
  return "\"" + text + "\"";
}

class ValueFormatter {
 public:
  explicit ValueFormatter(const Settings& source) : settings(source) {}

  std::string operator()(const NameSetting& field) const {
    return Quote(this->settings.*field.member);
  }
  std::string operator()(const AddressSetting& field) const {
    return Quote(this->settings.*field.member);
  }
  std::string operator()(const AddressListSetting& field) const {
    std::string text = "[";
    for (const std::string& address : this->settings.*field.member) {
      text += (text.size() == 1 ? "" : ", ") + Quote(address);
    }
    return text + "]";
  }
  std::string operator()(const SeedListSetting& field) const {
    std::string text = "[";
    for (const Seed& seed : this->settings.*field.member) {
      text += text.size() == 1 ? "" : ", ";
      text += "{ address = " + Quote(seed.address) +
              ", zone = " + Quote(seed.zone.str()) + " }";
    }
    return text + "]";
  }
  std::string operator()(const LogLevelSetting& field) const {
    const std::size_t index =
        static_cast<std::size_t>(this->settings.*field.member);
    return Quote(LogLevelNames().at(index));
  }
  std::string operator()(const IntSetting& field) const {
    return std::to_string(this->settings.*field.member);
  }
  std::string operator()(const DurationSetting& field) const {
    return Quote(FormatDuration(this->settings.*field.member));
  }

 private:
  const Settings& settings;
};

}  // namespace

const std::vector<std::string>& LogLevelNames() {
  static const std::vector<std::string> kNames = {"debug", "info", "warning",
                                                  "error"};
  return kNames;
}

const std::vector<Setting>& AllSettings() {
  static const std::vector<Setting> kSettings = BuildSettings();
  return kSettings;
}

std::string SettingValue(const Setting& setting, const Settings& settings) {
  return std::visit(ValueFormatter(settings), setting.field);
}

void CopySetting(const Setting& setting, const Settings& from, Settings& to) {
  std::visit([&](const auto& field) { to.*field.member = from.*field.member; },
             setting.field);
}

}  // namespace daisyroad

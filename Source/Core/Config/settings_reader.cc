#include "Core/Config/settings_reader.h"

#include <map>
#include <optional>
#include <string>
#include <variant>

#include "Core/Config/all_settings.h"
#include "Core/Config/ip_address.h"
#include "Core/Declaration/table_reader.h"

namespace daisyroad {

namespace {

constexpr char kAddressProblem[] =
    "must be an IP address and port such as \"127.0.0.1:18100\"";

void CheckAddress(const std::string& address,
                  const std::string& field,
                  FaultList& faults) {
  if (!address.empty() && !IsIpEndpoint(address)) {
    faults.Add(field, kAddressProblem);
  }
}

// Visitor that reads one setting from a table according to its type.
class FieldReader {
 public:
  FieldReader(TableReader& table,
              std::string setting_key,
              Settings& target,
              FaultList& fault_list)
      : reader(table),
        key(std::move(setting_key)),
        settings(target),
        faults(fault_list) {}

  void operator()(const NameSetting& field) {
    this->reader.ReadName(this->key, this->settings.*field.member);
  }
  void operator()(const AddressSetting& field) {
    std::string address;
    this->reader.ReadText(this->key, Presence::kOptional, address);
    CheckAddress(address, this->reader.FieldPath(this->key), this->faults);
    this->settings.*field.member = address;
  }
  void operator()(const AddressListSetting& field) {
    const std::vector<std::string> addresses =
        this->reader.ReadTexts(this->key, Presence::kOptional, 1);
    const std::string path = this->reader.FieldPath(this->key);
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      CheckAddress(addresses[i], path + "[" + std::to_string(i) + "]",
                   this->faults);
    }
    this->settings.*field.member = addresses;
  }
  void operator()(const SeedListSetting& field) {
    std::vector<Seed> seeds;
    for (TableReader& item : this->reader.ReadTables(this->key)) {
      Seed seed;
      std::string zone;
      item.ReadText("address", Presence::kRequired, seed.address);
      CheckAddress(seed.address, item.FieldPath("address"), this->faults);
      item.ReadName("zone", zone);
      item.ReportUnknown();
      seed.zone = ZoneName(zone);
      seeds.push_back(seed);
    }
    this->settings.*field.member = seeds;
  }
  void operator()(const LogLevelSetting& field) {
    const std::optional<std::size_t> level = this->reader.ReadChoice(
        this->key, Presence::kOptional, LogLevelNames());
    if (level) {
      this->settings.*field.member = static_cast<LogLevel>(*level);
    }
  }
  void operator()(const IntSetting& field) {
    this->reader.ReadInt(this->key, Presence::kOptional, field.low, field.high,
                         this->settings.*field.member);
  }
  void operator()(const DurationSetting& field) {
    this->reader.ReadDuration(this->key, field.low, field.high,
                              this->settings.*field.member);
  }

 private:
  TableReader& reader;
  std::string key;
  Settings& settings;
  FaultList& faults;
};

// Table readers by table name, created on first use; nullopt if the file has no
// such table.
using TableReaders = std::map<std::string, std::optional<TableReader>>;

TableReader* ReaderFor(const std::string& table,
                       TableReader& root,
                       TableReaders& readers) {
  if (table.empty()) {
    return &root;
  }
  auto found = readers.find(table);
  if (found == readers.end()) {
    found = readers.emplace(table, root.ReadTable(table, Presence::kOptional))
                .first;
  }
  return found->second ? &*found->second : nullptr;
}

}  // namespace

std::set<std::string> ReadSettings(const TomlValue& root,
                                   Settings& settings,
                                   FaultList& faults) {
  std::set<std::string> present;
  TableReader root_reader(root, "", faults);
  TableReaders readers;
  for (const Setting& setting : AllSettings()) {
    const std::size_t dot = setting.name.find('.');
    const std::string table =
        dot == std::string::npos ? "" : setting.name.substr(0, dot);
    const std::string key =
        dot == std::string::npos ? setting.name : setting.name.substr(dot + 1);
    TableReader* reader = ReaderFor(table, root_reader, readers);
    if (reader != nullptr && reader->Has(key)) {
      present.insert(setting.name);
      std::visit(FieldReader(*reader, key, settings, faults), setting.field);
    }
  }
  for (auto& [name, reader] : readers) {
    if (reader) {
      reader->ReportUnknown();
    }
  }
  root_reader.ReportUnknown();
  return present;
}

}  // namespace daisyroad

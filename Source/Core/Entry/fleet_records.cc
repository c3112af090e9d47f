#include "Core/Entry/fleet_records.h"

#include <utility>

#include "Core/Common/hash.h"
#include "Core/Common/json.h"

namespace daisyroad {
namespace {

bool StartsWith(const std::string& key, const std::string& prefix) {
  return key.rfind(prefix, 0) == 0;
}

Error Malformed(const std::string& key, const std::string& detail) {
  return Error{Errc::kInvalidArgument, "fleet.record", key, detail};
}

}  // namespace

FleetRecords::FleetRecords(PoolHandler pool_handler)
    : handler(std::move(pool_handler)) {}

Status FleetRecords::Apply(const StoreEntry& entry) {
  StoreEntry& known = this->entries[entry.key];
  if (entry.version <= known.version) {
    return OkStatus();
  }
  known = entry;
  return this->Parse(entry);
}

Status FleetRecords::Parse(const StoreEntry& entry) {
  const Result<Json::Value> json = ParseJson(entry.value);
  if (!json.ok() || !json.value().isObject()) {
    return Malformed(entry.key, "not a JSON object");
  }
  const std::int64_t version = static_cast<std::int64_t>(entry.version);
  if (StartsWith(entry.key, kInstancePrefix)) {
    const Result<InstanceRecord> record = ParseInstanceRecord(json.value());
    if (!record.ok() || InstanceKey(record.value().worker) != entry.key) {
      return Malformed(entry.key, record.ok() ? "names another instance"
                                              : record.error().detail);
    }
    this->instances.Apply({record.value(), version});
    this->handler(record.value().worker, record.value().pool);
  } else if (StartsWith(entry.key, kBudgetPrefix)) {
    const Result<BudgetRecord> record = ParseBudgetRecord(json.value());
    if (!record.ok() || BudgetKey(record.value().service) != entry.key) {
      return Malformed(entry.key, record.ok() ? "names another service"
                                              : record.error().detail);
    }
    this->budget_table[record.value().service] = {record.value(), version};
  } else if (entry.key == kPauseKey) {
    // A malformed record pauses maintenance, because it may have been a pause.
    this->is_paused =
        !json.value()["paused"].isBool() || json.value()["paused"].asBool();
  }
  return OkStatus();
}

std::uint64_t FleetRecords::VersionOf(const std::string& key) const {
  const auto found = this->entries.find(key);
  return found == this->entries.end() ? 0 : found->second.version;
}

std::string FleetRecords::Digest() const {
  std::string text;
  for (const std::pair<const std::string, StoreEntry>& entry : this->entries) {
    text += entry.first + "@" + std::to_string(entry.second.version) + "\n";
  }
  return std::to_string(StableHash(text));
}

Json::Value FleetRecords::Entries() const {
  Json::Value list(Json::arrayValue);
  for (const std::pair<const std::string, StoreEntry>& entry : this->entries) {
    Json::Value item(Json::objectValue);
    item["key"] = entry.first;
    item["version"] = Json::UInt64(entry.second.version);
    item["value"] = entry.second.value;
    list.append(item);
  }
  return list;
}

Status FleetRecords::ApplyEntries(const Json::Value& list) {
  if (!list.isArray()) {
    return Malformed("", "entries must be a list");
  }
  for (const Json::Value& item : list) {
    if (!item.isObject() || !item["key"].isString() ||
        !item["value"].isString() || !item["version"].isUInt64()) {
      return Malformed("", "an entry needs key, value and version");
    }
    Status applied =
        this->Apply(StoreEntry{item["key"].asString(), item["value"].asString(),
                               item["version"].asUInt64()});
    if (!applied.ok()) {
      return applied;
    }
  }
  return OkStatus();
}

}  // namespace daisyroad

#include "Core/Limits/limit_record.h"

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

Error InvalidRecord(const std::string& detail) {
  return Error{Errc::kInvalidArgument, "limits.parse", "", detail};
}

Result<std::int64_t> ParseCount(const Json::Value& object,
                                const std::string& name) {
  Result<std::int64_t> count = JsonInt(object, name);
  if (count && count.value() < 0) {
    return InvalidRecord("\"" + name + "\" is negative");
  }
  return count;
}

}  // namespace

std::string LimitKey(const TeamName& team) {
  return "limits/" + team.str();
}

std::string FormatLimitRecord(const LimitRecord& record) {
  Json::Value value;
  value["limit"] = Json::Int64(record.limit);
  value["limit_version"] = Json::UInt64(record.limit_version);
  value["allotments"] = Json::Value(Json::objectValue);
  for (const std::pair<const EntryName, Allotment>& item : record.allotments) {
    Json::Value& entry = value["allotments"][item.first.str()];
    entry["count"] = Json::Int64(item.second.count);
    entry["serial"] = Json::UInt64(item.second.serial);
  }
  return WriteJson(value);
}

Result<LimitRecord> ParseLimitRecord(std::string_view text) {
  const Result<Json::Value> parsed = ParseJson(text);
  if (!parsed) {
    return parsed.error();
  }
  const Json::Value& value = parsed.value();
  const Result<std::int64_t> limit = ParseCount(value, "limit");
  if (!limit) {
    return limit.error();
  }
  const Result<std::int64_t> version = ParseCount(value, "limit_version");
  if (!version) {
    return version.error();
  }
  if (!value["allotments"].isObject()) {
    return InvalidRecord("\"allotments\" must be an object");
  }
  LimitRecord record{
      limit.value(), static_cast<std::uint64_t>(version.value()), {}};
  for (const std::string& name : value["allotments"].getMemberNames()) {
    const Result<std::int64_t> count =
        ParseCount(value["allotments"][name], "count");
    if (!count) {
      return count.error();
    }
    const Result<std::int64_t> serial =
        ParseCount(value["allotments"][name], "serial");
    if (!serial) {
      return serial.error();
    }
    record.allotments[EntryName(name)] =
        Allotment{count.value(), static_cast<std::uint64_t>(serial.value())};
  }
  return record;
}

}  // namespace daisyroad

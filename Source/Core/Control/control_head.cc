#include "Core/Control/control_head.h"

#include <utility>

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

Error InvalidHead(const std::string& detail) {
  return Error{Errc::kInvalidArgument, "control.head", "", detail};
}

Result<std::uint64_t> ReadNonNegative(const Json::Value& value,
                                      const char* name) {
  const Result<std::int64_t> number = JsonInt(value, name);
  if (!number) {
    return number.error();
  }
  if (number.value() < 0) {
    return InvalidHead("\"" + std::string(name) + "\" must not be negative");
  }
  return static_cast<std::uint64_t>(number.value());
}

}  // namespace

const char* ControlPartName(ControlPart part) {
  switch (part) {
    case ControlPart::kDeclaration:
      return "declaration";
    case ControlPart::kKeys:
      return "keys";
    case ControlPart::kZonesOut:
      return "zones_out";
    case ControlPart::kRoster:
      return "roster";
  }
  return "unknown";
}

std::string ControlPartKey(const PartDigest& digest) {
  return "control/part/" + digest.str();
}

std::string ControlHistoryKey(std::uint64_t version) {
  return "control/history/" + std::to_string(version);
}

std::string ControlHead::ToJson() const {
  Json::Value value(Json::objectValue);
  value["version"] = Json::UInt64(this->version);
  value["roster_epoch"] = Json::UInt64(this->roster_epoch);
  Json::Value& digests = value["parts"];
  digests = Json::Value(Json::objectValue);
  for (const std::pair<const ControlPart, PartDigest>& entry : this->parts) {
    digests[ControlPartName(entry.first)] = entry.second.str();
  }
  Json::Value& changes = value["recent"];
  changes = Json::Value(Json::arrayValue);
  for (const RecordedChange& change : this->recent) {
    Json::Value item(Json::objectValue);
    item["version"] = Json::UInt64(change.version);
    item["id"] = change.id.str();
    changes.append(item);
  }
  return WriteJson(value);
}

Result<ControlHead> ControlHead::FromJson(const std::string& text) {
  const Result<Json::Value> parsed = ParseJson(text);
  if (!parsed) {
    return parsed.error();
  }
  const Json::Value& value = parsed.value();
  const Result<std::uint64_t> version = ReadNonNegative(value, "version");
  if (!version) {
    return version.error();
  }
  const Result<std::uint64_t> epoch = ReadNonNegative(value, "roster_epoch");
  if (!epoch) {
    return epoch.error();
  }
  ControlHead head;
  head.version = version.value();
  head.roster_epoch = epoch.value();
  for (const ControlPart part : kControlParts) {
    const Result<std::string> digest =
        JsonString(value["parts"], ControlPartName(part));
    if (!digest) {
      return digest.error();
    }
    head.parts[part] = PartDigest(digest.value());
  }
  if (!value["recent"].isArray()) {
    return InvalidHead("\"recent\" must be a list");
  }
  for (const Json::Value& item : value["recent"]) {
    const Result<std::string> id = JsonString(item, "id");
    if (!id) {
      return id.error();
    }
    const Result<std::uint64_t> number = ReadNonNegative(item, "version");
    if (!number) {
      return number.error();
    }
    head.recent.push_back({number.value(), ChangeId(id.value())});
  }
  return head;
}

}  // namespace daisyroad

#include "Core/Keys/key_table.h"

#include <string>
#include <type_traits>
#include <utility>

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

Json::Value RecordToJson(const KeyRecord& record) {
  Json::Value value(Json::objectValue);
  value["id"] = record.id.str();
  value["salt"] = record.hash.salt;
  value["digest"] = record.hash.digest;
  value["withdrawn"] = record.withdrawn;
  std::visit(
      [&value](const auto& holder) {
        if constexpr (std::is_same_v<std::decay_t<decltype(holder)>, TeamKey>) {
          value["team"] = holder.team.str();
        } else {
          value["operator"] = holder.name;
        }
      },
      record.holder);
  return value;
}

Error InvalidRecord(const std::string& detail) {
  return Error{Errc::kInvalidArgument, "keys.decode", "", detail};
}

Result<KeyRecord> RecordFromJson(const Json::Value& value) {
  KeyRecord record;
  std::string id;
  for (const std::pair<const char*, std::string*>& member :
       {std::pair<const char*, std::string*>{"id", &id},
        {"salt", &record.hash.salt},
        {"digest", &record.hash.digest}}) {
    Result<std::string> text = JsonString(value, member.first);
    if (!text) {
      return text.error();
    }
    *member.second = std::move(text).value();
  }
  record.id = KeyId(id);
  if (!value["withdrawn"].isBool()) {
    return InvalidRecord("\"withdrawn\" must be true or false");
  }
  record.withdrawn = value["withdrawn"].asBool();
  if (value["team"].isString()) {
    record.holder = TeamKey{TeamName(value["team"].asString())};
  } else if (value["operator"].isString()) {
    record.holder = OperatorKey{value["operator"].asString()};
  } else {
    return InvalidRecord("\"team\" or \"operator\" must be a string");
  }
  return record;
}

}  // namespace

Status KeyTable::Add(const KeyRecord& record) {
  if (!this->keys.emplace(record.id, record).second) {
    return Error{Errc::kConflict, "keys.add", "",
                 "key id " + record.id.str() + " already exists"};
  }
  return OkStatus();
}

Status KeyTable::Withdraw(const KeyId& id) {
  const auto found = this->keys.find(id);
  if (found == this->keys.end()) {
    return Error{Errc::kNotFound, "keys.withdraw", "",
                 "no key with id " + id.str()};
  }
  found->second.withdrawn = true;
  return OkStatus();
}

Result<KeyHolder> KeyTable::Authenticate(std::string_view text) const {
  const Result<KeyId> id = KeyIdOf(text);
  if (!id) {
    return id.error();
  }
  const auto found = this->keys.find(id.value());
  if (found == this->keys.end() ||
      !KeyHasher::Matches(text, found->second.hash)) {
    return Error{Errc::kUnauthorized, "keys.authenticate", "",
                 "key " + id.value().str() + " is not known"};
  }
  if (found->second.withdrawn) {
    return Error{Errc::kUnauthorized, "keys.authenticate", "",
                 "key " + id.value().str() + " was withdrawn"};
  }
  return found->second.holder;
}

Json::Value KeyTable::ToJson() const {
  Json::Value list(Json::arrayValue);
  for (const std::pair<const KeyId, KeyRecord>& entry : this->keys) {
    list.append(RecordToJson(entry.second));
  }
  return list;
}

Result<KeyTable> KeyTable::FromJson(const Json::Value& value) {
  if (!value.isArray()) {
    return InvalidRecord("the keys must be a JSON array");
  }
  KeyTable table;
  for (const Json::Value& item : value) {
    const Result<KeyRecord> record = RecordFromJson(item);
    if (!record) {
      return record.error();
    }
    const Status added = table.Add(record.value());
    if (!added) {
      return added.error();
    }
  }
  return table;
}

}  // namespace daisyroad

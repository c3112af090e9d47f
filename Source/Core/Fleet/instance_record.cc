#include "Core/Fleet/instance_record.h"

#include <algorithm>
#include <utility>

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

// Copies the member `name` into `field`. On failure returns false and sets
// `error`.
bool ReadMember(const Json::Value& json,
                const char* name,
                std::string& field,
                Error& error) {
  Result<std::string> value = JsonString(json, name);
  if (!value.ok()) {
    error = value.error();
    return false;
  }
  field = std::move(value).value();
  return true;
}

bool ReadMember(const Json::Value& json,
                const char* name,
                std::int64_t& field,
                Error& error) {
  const Result<std::int64_t> value = JsonInt(json, name);
  if (!value.ok()) {
    error = value.error();
    return false;
  }
  field = value.value();
  return true;
}

template <typename Tag>
bool ReadMember(const Json::Value& json,
                const char* name,
                StrongString<Tag>& field,
                Error& error) {
  std::string text;
  if (!ReadMember(json, name, text, error)) {
    return false;
  }
  field = StrongString<Tag>(std::move(text));
  return true;
}

bool ReadChanges(const Json::Value& json,
                 std::vector<std::string>& changes,
                 Error& error) {
  const Json::Value& list = json["changes"];
  bool valid = list.isArray() && list.size() <= InstanceRecord::kMaxChanges;
  for (Json::ArrayIndex i = 0; valid && i < list.size(); ++i) {
    valid = list[i].isString();
    if (valid) {
      changes.push_back(list[i].asString());
    }
  }
  if (!valid) {
    error = Error{Errc::kInvalidArgument, "instance.parse", "",
                  "\"changes\" must be an array of at most " +
                      std::to_string(InstanceRecord::kMaxChanges) + " strings"};
  }
  return valid;
}

}  // namespace

bool InstanceRecord::HasChange(const std::string& change) const {
  return std::find(this->changes.begin(), this->changes.end(), change) !=
         this->changes.end();
}

void InstanceRecord::AddChange(std::string change) {
  if (this->changes.size() >= kMaxChanges) {
    this->changes.erase(this->changes.begin());
  }
  this->changes.push_back(std::move(change));
}

std::string InstanceKey(const WorkerName& worker) {
  return "instances/" + worker.str();
}

Json::Value ToJson(const InstanceRecord& record) {
  Json::Value json(Json::objectValue);
  json["worker"] = record.worker.str();
  json["pool"] = record.pool.str();
  json["zone"] = record.zone.str();
  json["rack"] = record.rack.str();
  json["step"] = ToString(record.step);
  json["operation"] = record.operation;
  json["operation_base"] = Json::Int64(record.operation_base);
  json["target"] = record.target.str();
  json["operation_cycle"] = Json::Int64(record.operation_cycle);
  json["incarnation"] = Json::Int64(record.incarnation);
  json["maintained_cycle"] = Json::Int64(record.maintained_cycle);
  json["changes"] = Json::Value(Json::arrayValue);
  for (const std::string& change : record.changes) {
    json["changes"].append(change);
  }
  return json;
}

Result<InstanceRecord> ParseInstanceRecord(const Json::Value& json) {
  InstanceRecord record;
  Error error;
  std::string step;
  if (!ReadMember(json, "worker", record.worker, error) ||
      !ReadMember(json, "pool", record.pool, error) ||
      !ReadMember(json, "zone", record.zone, error) ||
      !ReadMember(json, "rack", record.rack, error) ||
      !ReadMember(json, "step", step, error) ||
      !ReadMember(json, "operation", record.operation, error) ||
      !ReadMember(json, "operation_base", record.operation_base, error) ||
      !ReadMember(json, "target", record.target, error) ||
      !ReadMember(json, "operation_cycle", record.operation_cycle, error) ||
      !ReadMember(json, "incarnation", record.incarnation, error) ||
      !ReadMember(json, "maintained_cycle", record.maintained_cycle, error) ||
      !ReadChanges(json, record.changes, error)) {
    return error;
  }
  const Result<InstanceStep> parsed = ParseInstanceStep(step);
  if (!parsed.ok()) {
    return parsed.error();
  }
  record.step = parsed.value();
  if (record.Busy() == record.operation.empty()) {
    return Error{
        Errc::kInvalidArgument, "instance.parse", record.worker.str(),
        "\"operation\" must be empty at step \"in_service\" and set at "
        "every other step"};
  }
  return record;
}

}  // namespace daisyroad

#include "Core/Fleet/instance_record.h"

#include <algorithm>
#include <utility>

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

// Copies one typed member into `field`; false and `error` set on failure.
bool Read(const Json::Value& json,
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

bool Read(const Json::Value& json,
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
bool Read(const Json::Value& json,
          const char* name,
          StrongString<Tag>& field,
          Error& error) {
  std::string text;
  if (!Read(json, name, text, error)) {
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
                  "\"changes\" must be a short list of strings"};
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
  if (!Read(json, "worker", record.worker, error) ||
      !Read(json, "pool", record.pool, error) ||
      !Read(json, "zone", record.zone, error) ||
      !Read(json, "rack", record.rack, error) ||
      !Read(json, "step", step, error) ||
      !Read(json, "operation", record.operation, error) ||
      !Read(json, "operation_base", record.operation_base, error) ||
      !Read(json, "target", record.target, error) ||
      !Read(json, "operation_cycle", record.operation_cycle, error) ||
      !Read(json, "incarnation", record.incarnation, error) ||
      !Read(json, "maintained_cycle", record.maintained_cycle, error) ||
      !ReadChanges(json, record.changes, error)) {
    return error;
  }
  const Result<InstanceStep> parsed = ParseInstanceStep(step);
  if (!parsed.ok()) {
    return parsed.error();
  }
  record.step = parsed.value();
  if (record.Busy() == record.operation.empty()) {
    return Error{Errc::kInvalidArgument, "instance.parse", record.worker.str(),
                 "step and operation contradict each other"};
  }
  return record;
}

}  // namespace daisyroad

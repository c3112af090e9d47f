#include "Core/Fleet/budget_record.h"

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

Error InvalidRecord(const char* detail) {
  return Error{Errc::kInvalidArgument, "budget.parse", "", detail};
}

}  // namespace

std::string BudgetKey(const ServiceName& service) {
  return "budgets/" + service.str();
}

Json::Value ToJson(const BudgetRecord& record) {
  Json::Value json(Json::objectValue);
  json["service"] = record.service.str();
  json["allowed"] = Json::Int64(record.allowed);
  json["charges"] = Json::Value(Json::objectValue);
  for (const ChargeTable::value_type& entry : record.charges) {
    Json::Value charge(Json::objectValue);
    charge["worker"] = entry.second.worker.str();
    charge["operation_base"] = Json::Int64(entry.second.operation_base);
    json["charges"][entry.first] = charge;
  }
  return json;
}

Result<BudgetRecord> ParseBudgetRecord(const Json::Value& json) {
  const Result<std::string> service = JsonString(json, "service");
  if (!service.ok()) {
    return service.error();
  }
  const Result<std::int64_t> allowed = JsonInt(json, "allowed");
  if (!allowed.ok()) {
    return allowed.error();
  }
  if (allowed.value() < 0 || !json["charges"].isObject()) {
    return InvalidRecord(
        "\"allowed\" must not be negative and \"charges\" must be an object");
  }
  BudgetRecord record;
  record.service = ServiceName(service.value());
  record.allowed = allowed.value();
  for (const std::string& operation : json["charges"].getMemberNames()) {
    const Json::Value& entry = json["charges"][operation];
    const Result<std::string> worker = JsonString(entry, "worker");
    const Result<std::int64_t> base = JsonInt(entry, "operation_base");
    if (!worker.ok() || !base.ok()) {
      return InvalidRecord(
          "each charge must have a string \"worker\" and an integer "
          "\"operation_base\"");
    }
    record.charges[operation] =
        BudgetCharge{WorkerName(worker.value()), base.value()};
  }
  return record;
}

}  // namespace daisyroad

#ifndef SOURCE_CORE_FLEET_BUDGET_RECORD_H_
#define SOURCE_CORE_FLEET_BUDGET_RECORD_H_

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"

namespace daisyroad {

// One planned disruption that counts against the budget of a service.
struct BudgetCharge {
  WorkerName worker;
  // InstanceRecord::operation_base of the operation that is charged.
  std::int64_t operation_base = 0;

  friend bool operator==(const BudgetCharge&, const BudgetCharge&) = default;
};

// Charges, keyed by the operation that they belong to.
using ChargeTable = std::map<std::string, BudgetCharge>;

// Value of the store key budgets/SERVICE.
struct BudgetRecord {
  ServiceName service;
  // Number of instances of the service that may be down at once.
  std::int64_t allowed = 0;
  // Keyed by operation rather than by worker, so that a delayed write for an
  // older operation on a worker cannot overwrite the charge of the current one.
  ChargeTable charges;

  friend bool operator==(const BudgetRecord&, const BudgetRecord&) = default;
};

std::string BudgetKey(const ServiceName& service);
Json::Value ToJson(const BudgetRecord& record);
Result<BudgetRecord> ParseBudgetRecord(const Json::Value& json);

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_BUDGET_RECORD_H_

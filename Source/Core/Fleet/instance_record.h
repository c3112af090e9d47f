#ifndef SOURCE_CORE_FLEET_INSTANCE_RECORD_H_
#define SOURCE_CORE_FLEET_INSTANCE_RECORD_H_

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Fleet/instance_step.h"

namespace daisyroad {

// Value of the store key instances/NAME. It names the pool of the instance and
// the operation in progress; both are in one key so that they change together.
struct InstanceRecord {
  WorkerName worker;
  PoolName pool;
  ZoneName zone;
  RackName rack;
  InstanceStep step = InstanceStep::kInService;
  // Empty unless an operation is in progress.
  std::string operation;
  // Store version of this key that the operation was requested on.
  std::int64_t operation_base = 0;
  // Pool after the operation; equal to `pool` for maintenance in place.
  PoolName target;
  // Maintenance interval that the operation serves; 0 for a plain move.
  std::int64_t operation_cycle = 0;
  // Incarnation of the worker when the drain began.
  std::int64_t incarnation = 0;
  // Last maintenance interval in which the instance was maintained.
  std::int64_t maintained_cycle = 0;
  // Identifiers of the latest changes, newest last, at most kMaxChanges.
  std::vector<std::string> changes;

  // A lost answer is looked up here after a few further steps, so the list
  // covers all steps of one operation.
  static constexpr std::size_t kMaxChanges = 8;

  bool Busy() const { return this->step != InstanceStep::kInService; }
  bool HasChange(const std::string& change) const;
  void AddChange(std::string change);

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

std::string InstanceKey(const WorkerName& worker);
Json::Value ToJson(const InstanceRecord& record);
Result<InstanceRecord> ParseInstanceRecord(const Json::Value& json);

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_INSTANCE_RECORD_H_

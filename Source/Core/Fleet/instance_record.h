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

// Value of the store key instances/NAME. It holds the pool of the instance and
// the operation in progress, in one key so that both change atomically.
struct InstanceRecord {
  WorkerName worker;
  PoolName pool;
  ZoneName zone;
  RackName rack;
  InstanceStep step = InstanceStep::kInService;
  // Empty unless an operation is in progress.
  std::string operation;
  // Store version of this key on which the operation was requested.
  std::int64_t operation_base = 0;
  // Pool after the operation; equal to `pool` for maintenance in place.
  PoolName target;
  // Maintenance interval that the operation belongs to; 0 for a move or a drain
  // requested by an operator.
  std::int64_t operation_cycle = 0;
  // Incarnation of the worker when the drain began.
  std::int64_t incarnation = 0;
  // Last maintenance interval in which the instance was maintained.
  std::int64_t maintained_cycle = 0;
  // Identifiers of the latest changes, newest last, at most kMaxChanges.
  std::vector<std::string> changes;

  // After a lost response, a writer looks for its change in this list, possibly
  // some steps later. The list therefore covers all steps of one operation.
  static constexpr std::size_t kMaxChanges = 8;

  // True while an operation is in progress.
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

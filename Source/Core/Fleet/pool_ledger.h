#ifndef SOURCE_CORE_FLEET_POOL_LEDGER_H_
#define SOURCE_CORE_FLEET_POOL_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Fleet/fleet_action.h"
#include "Core/Fleet/versioned.h"

namespace daisyroad {

using InstanceTable = std::map<WorkerName, Versioned<InstanceRecord>>;

// Outcome of a write whose response was lost, determined from a later read.
enum class RecordWriteOutcome {
  kApplied,
  kNotApplied,  // the record is unchanged; the same write may be repeated
  kSuperseded,  // another write came first; show its record to the operator
};

// Local copy of the instances/NAME records. Creates the writes that start an
// operation.
class PoolLedger {
 public:
  // Adds a record that was read from the store. It is ignored unless it is
  // newer than the known version.
  void Apply(const Versioned<InstanceRecord>& record);

  const InstanceTable& instances() const { return this->records; }
  const Versioned<InstanceRecord>* Find(const WorkerName& worker) const;
  // Instances of a pool, in order of name. Computed from the records on each
  // call, so it always agrees with them.
  std::vector<WorkerName> Members(const PoolName& pool) const;

  // Returns the write that starts a move. Errors: kNotFound if the instance
  // does not exist; kInvalidArgument if `target` is empty or equal to `source`;
  // kConflict if the instance is not in `source` or has another operation in
  // progress, as the detail says. `change` identifies the operator's request
  // and must be unique.
  Result<WriteInstance> RequestMove(const WorkerName& worker,
                                    const PoolName& source,
                                    const PoolName& target,
                                    const std::string& change) const;
  // Returns the write that starts maintenance in place for the maintenance
  // interval `cycle`; kConflict if the instance was already maintained in it or
  // in a later one.
  Result<WriteInstance> RequestMaintenance(const WorkerName& worker,
                                           std::int64_t cycle,
                                           const std::string& change) const;

  // Returns the write that starts a drain and reboot in place at the request of
  // an operator, independent of the maintenance plan and its windows.
  Result<WriteInstance> RequestDrain(const WorkerName& worker,
                                     const std::string& change) const;

  // Determines from a later read whether `write` was applied.
  static RecordWriteOutcome DetermineOutcome(
      const WriteInstance& write,
      const std::optional<Versioned<InstanceRecord>>& read_back);

 private:
  Result<WriteInstance> Request(const WorkerName& worker,
                                const PoolName& target,
                                std::int64_t cycle,
                                const std::string& change) const;

  InstanceTable records;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_POOL_LEDGER_H_

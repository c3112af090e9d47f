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

// What became of a write whose answer was lost, judged from a later read.
enum class WriteOutcome {
  kApplied,
  kNotApplied,  // the record is unchanged; the same write may be repeated
  kSuperseded,  // another writer won; show its record to the operator
};

// View of the instances/NAME records and the requests that start an operation.
class PoolLedger {
 public:
  // Takes a record as read from the store; an older version than the one known
  // is ignored.
  void Apply(const Versioned<InstanceRecord>& record);

  const InstanceTable& instances() const { return this->records; }
  const Versioned<InstanceRecord>* Find(const WorkerName& worker) const;
  // In order of name. Derived, so never in contradiction to the records.
  std::vector<WorkerName> Members(const PoolName& pool) const;

  // The write that starts a move. kNotFound: no such instance. kConflict: it is
  // not in `source` or another operation is in progress; the detail says which.
  // `change` is unique to the request of the operator.
  Result<WriteInstance> RequestMove(const WorkerName& worker,
                                    const PoolName& source,
                                    const PoolName& target,
                                    const std::string& change) const;
  // The write that starts maintenance in place for the given interval.
  Result<WriteInstance> RequestMaintenance(const WorkerName& worker,
                                           std::int64_t cycle,
                                           const std::string& change) const;

  static WriteOutcome JudgeWrite(
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

#ifndef SOURCE_CORE_ENTRY_FLEET_RECORDS_H_
#define SOURCE_CORE_ENTRY_FLEET_RECORDS_H_

#include <json/value.h>

#include <functional>
#include <map>
#include <string>

#include "Core/Common/result.h"
#include "Core/Fleet/disruption_budget.h"
#include "Core/Fleet/pool_ledger.h"
#include "Core/Platform/store_entry.h"

namespace daisyroad {

inline constexpr char kInstancePrefix[] = "instances/";
inline constexpr char kBudgetPrefix[] = "budgets/";
// Value: {"paused", "author", "change"}.
inline constexpr char kPauseKey[] = "maintenance/pause";

// The fleet records of the store as this instance last learnt them.
class FleetRecords {
 public:
  using PoolHandler =
      std::function<void(const WorkerName& worker, const PoolName& pool)>;

  // `pool_handler` is told the pool of every record that is taken.
  explicit FleetRecords(PoolHandler pool_handler);

  // Takes an entry; one that is not newer than the known one is ignored.
  // kInvalidArgument, once a version, if it cannot be read.
  Status Apply(const StoreEntry& entry);

  const PoolLedger& ledger() const { return this->instances; }
  const BudgetTable& budgets() const { return this->budget_table; }
  bool paused() const { return this->pause; }
  // 0 if the key is not known to exist.
  std::uint64_t VersionOf(const std::string& key) const;

  // Changes with every entry that is taken.
  std::string Digest() const;
  Json::Value Entries() const;
  // Takes what Entries() of another instance gave.
  Status ApplyEntries(const Json::Value& list);

 private:
  Status Parse(const StoreEntry& entry);

  PoolHandler handler;
  std::map<std::string, StoreEntry> entries;
  PoolLedger instances;
  BudgetTable budget_table;
  bool pause = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_RECORDS_H_

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

// Cache of the fleet records in the store, as last read by this instance.
class FleetRecords {
 public:
  using PoolHandler =
      std::function<void(const WorkerName& worker, const PoolName& pool)>;

  // `pool_handler` is called with the pool of every instance record applied.
  explicit FleetRecords(PoolHandler pool_handler);

  // Applies an entry; ignores it unless it is newer than the cached one.
  // Returns kInvalidArgument, once per version, if it cannot be parsed.
  Status Apply(const StoreEntry& entry);

  const PoolLedger& ledger() const { return this->instances; }
  const BudgetTable& budgets() const { return this->budget_table; }
  bool paused() const { return this->is_paused; }
  // Returns 0 if no entry with the key has been applied.
  std::uint64_t VersionOf(const std::string& key) const;

  // Changes with every entry applied.
  std::string Digest() const;
  Json::Value Entries() const;
  // Applies the result of Entries() on another instance.
  Status ApplyEntries(const Json::Value& list);

 private:
  Status Parse(const StoreEntry& entry);

  PoolHandler handler;
  std::map<std::string, StoreEntry> entries;
  PoolLedger instances;
  BudgetTable budget_table;
  bool is_paused = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_RECORDS_H_

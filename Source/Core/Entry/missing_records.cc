#include "Core/Entry/missing_records.h"

#include <map>
#include <utility>

#include "Core/Entry/fleet_plan.h"
#include "Core/Entry/fleet_records.h"
#include "Core/Entry/worker_directory.h"

namespace daisyroad {
namespace {

// Limits the load on the store, which handles several hundred writes per second
// (design 1.5).
constexpr std::size_t kMaxNewRecordsPerCall = 50;

WriteInstance NewRecord(const ListedInstance& listed, std::int64_t cycle) {
  WriteInstance write;
  write.record.worker = listed.name;
  write.record.pool = listed.initial_pool;
  write.record.zone = listed.zone;
  write.record.rack = listed.rack;
  // A new worker counts as maintained in the cycle in which it joins.
  write.record.maintained_cycle = cycle;
  write.change = "new";
  write.record.AddChange(write.change);
  return write;
}

}  // namespace

std::vector<FleetAction> MissingRecords(const FleetRecords& records,
                                        const WorkerDirectory& directory,
                                        const Declaration& declaration,
                                        WallTime now) {
  std::vector<FleetAction> actions;
  const std::int64_t cycle = MaintenanceCycle(declaration.maintenance, now);
  for (const std::pair<const WorkerName, WorkerInfo>& entry :
       directory.workers()) {
    if (entry.second.present && actions.size() < kMaxNewRecordsPerCall &&
        records.VersionOf(InstanceKey(entry.first)) == 0) {
      actions.emplace_back(NewRecord(entry.second.listed, cycle));
    }
  }
  for (const std::pair<const ServiceName, std::int64_t>& entry :
       AllowedOf(declaration, records.ledger())) {
    const auto known = records.budgets().find(entry.first);
    const bool exists = known != records.budgets().end();
    if (exists && known->second.value.allowed == entry.second) {
      continue;
    }
    WriteBudget write;
    if (exists) {
      write.record = known->second.value;
      write.expected_version = known->second.version;
    }
    write.record.service = entry.first;
    write.record.allowed = entry.second;
    actions.emplace_back(std::move(write));
  }
  return actions;
}

}  // namespace daisyroad

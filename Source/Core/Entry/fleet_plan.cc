#include "Core/Entry/fleet_plan.h"

#include <algorithm>
#include <cmath>

namespace daisyroad {
namespace {

constexpr std::int64_t kWorkersPerRack = 4;  // design 1.3
// Failure rates from design 1.4: 11 of 950 instances per day, a rack every six
// weeks, a zone 1.5 times a year. The repair times are assumptions.
constexpr double kWorkerLossesPerYear = 11.0 * 365 / 950;
constexpr LossRate kRackLoss{8.7, std::chrono::hours(4)};
constexpr LossRate kZoneLoss{1.5, std::chrono::hours(4)};

bool IsOpenAt(const MaintenanceWindow& window,
              const std::chrono::sys_days& day,
              WallTime now) {
  const WallTime start = day + window.start;
  return std::chrono::weekday(day) == window.weekday && now >= start &&
         now < start + window.Length();
}

// Adds `count` workers, spread over the zones in one new rack per zone, or
// removes the last ones of the pool if `count` is negative.
void AddOrRemoveWorkers(const PoolName& pool,
                        std::int64_t count,
                        CapacityInput& input) {
  for (std::int64_t i = 0; i < count && !input.zones.empty(); ++i) {
    const ZoneName& zone =
        input.zones[static_cast<std::size_t>(i) % input.zones.size()];
    input.workers.push_back({pool, zone, RackName("new-" + zone.str())});
  }
  for (std::int64_t i = count; i < 0; ++i) {
    const auto last = std::find_if(
        input.workers.rbegin(), input.workers.rend(),
        [&pool](const CapacityWorker& worker) { return worker.pool == pool; });
    if (last == input.workers.rend()) {
      return;
    }
    input.workers.erase(std::next(last).base());
  }
}

}  // namespace

ServiceTopology TopologyOf(const Declaration& declaration) {
  ServiceTopology topology;
  for (const Service& service : declaration.services) {
    topology.Add(service.name, service.pool);
  }
  return topology;
}

std::map<ServiceName, std::int64_t> AllowedOf(const Declaration& declaration,
                                              const PoolLedger& ledger) {
  std::map<ServiceName, std::int64_t> allowed;
  for (const Service& service : declaration.services) {
    const Pool* const pool = declaration.FindPool(service.pool);
    const std::int64_t declared = pool == nullptr ? 0 : pool->TotalWorkers();
    const std::int64_t members =
        static_cast<std::int64_t>(ledger.Members(service.pool).size());
    allowed[service.name] =
        AllowedDown(service.budget, std::min(declared, members));
  }
  return allowed;
}

std::int64_t MaintenanceCycle(const MaintenancePolicy& policy, WallTime now) {
  const std::chrono::hours hours_since_epoch =
      std::chrono::floor<std::chrono::hours>(now.time_since_epoch());
  return hours_since_epoch / std::max(policy.interval, std::chrono::hours(1)) +
         1;
}

bool IsWindowOpen(const MaintenancePolicy& policy, WallTime now) {
  const std::chrono::sys_days today =
      std::chrono::floor<std::chrono::days>(now);
  return policy.windows.empty() ||
         std::any_of(policy.windows.begin(), policy.windows.end(),
                     [&](const MaintenanceWindow& window) {
                       // A window that began yesterday may span midnight.
                       return IsOpenAt(window, today, now) ||
                              IsOpenAt(window, today - std::chrono::days(1),
                                       now);
                     });
}

MaintenanceInput MaintenanceInputOf(const Declaration& declaration,
                                    const PoolLedger& ledger,
                                    WallTime now) {
  MaintenanceInput input;
  input.cycle = MaintenanceCycle(declaration.maintenance, now);
  for (const InstanceTable::value_type& entry : ledger.instances()) {
    input.instances.push_back(entry.second.value);
  }
  input.topology = TopologyOf(declaration);
  input.allowed = AllowedOf(declaration, ledger);
  return input;
}

CapacityInput CapacityInputOf(const Declaration& declaration,
                              const PoolLedger& ledger,
                              const PoolCounts& change) {
  CapacityInput input;
  input.workers_per_rack = kWorkersPerRack;
  for (const Zone& zone : declaration.zones) {
    input.zones.push_back(zone.name);
  }
  for (const InstanceTable::value_type& entry : ledger.instances()) {
    const InstanceRecord& record = entry.second.value;
    const Pool* const pool = declaration.FindPool(record.pool);
    if (pool != nullptr && !pool->spare) {
      input.workers.push_back({record.pool, record.zone, record.rack});
    }
  }
  for (const PoolCounts::value_type& entry : change) {
    AddOrRemoveWorkers(entry.first, entry.second, input);
  }
  for (const Service& service : declaration.services) {
    const Pool* const pool = declaration.FindPool(service.pool);
    const double total =
        pool == nullptr ? 0.0 : static_cast<double>(pool->TotalWorkers());
    std::int64_t& needed = input.needed[service.pool];
    needed = std::max(needed, static_cast<std::int64_t>(
                                  std::ceil(service.service_level * total)));
  }
  input.rates[FailureDomain::kWorker] = {
      kWorkerLossesPerYear * static_cast<double>(input.workers.size()),
      std::chrono::hours(2)};
  input.rates[FailureDomain::kRack] = kRackLoss;
  input.rates[FailureDomain::kZone] = kZoneLoss;
  return input;
}

}  // namespace daisyroad

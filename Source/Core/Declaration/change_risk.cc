#include "Core/Declaration/change_risk.h"

#include <cstdint>

namespace daisyroad {

namespace {

std::string FormatDecrease(const std::string& subject,
                           std::int64_t before,
                           std::int64_t after) {
  return subject + " from " + std::to_string(before) + " to " +
         std::to_string(after);
}

std::int64_t WorkersInZone(const Pool& pool, const ZoneName& zone) {
  const auto found = pool.workers.find(zone);
  return found == pool.workers.end() ? 0 : found->second;
}

std::int64_t AllowedDownForService(const Declaration& declaration,
                                   const Service& service) {
  const Pool* pool = declaration.FindPool(service.pool);
  return AllowedDown(service.budget,
                     pool != nullptr ? pool->TotalWorkers() : 0);
}

}  // namespace

std::string PoolRisk(const Pool& before, const Pool& after) {
  if (after.TotalWorkers() < before.TotalWorkers()) {
    return FormatDecrease("pool shrunk", before.TotalWorkers(),
                          after.TotalWorkers());
  }
  for (const auto& [zone, count] : before.workers) {
    if (WorkersInZone(after, zone) < count) {
      return FormatDecrease("pool shrunk in zone " + zone.str(), count,
                            WorkersInZone(after, zone));
    }
  }
  return "";
}

std::string BudgetRisk(const Declaration& before,
                       const Declaration& after,
                       const Service& old_service,
                       const Service& new_service) {
  const std::int64_t old_allowed = AllowedDownForService(before, old_service);
  const std::int64_t new_allowed = AllowedDownForService(after, new_service);
  return new_allowed < old_allowed
             ? FormatDecrease("budget tightened", old_allowed, new_allowed)
             : "";
}

std::string LimitRisk(const Team& before, const Team& after) {
  return after.upper_limit < before.upper_limit
             ? FormatDecrease("limit lowered", before.upper_limit,
                              after.upper_limit)
             : "";
}

}  // namespace daisyroad

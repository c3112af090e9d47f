#include "Core/Declaration/change_risk.h"

#include <cstdint>

namespace daisyroad {

namespace {

std::string Lowered(const std::string& what,
                    std::int64_t before,
                    std::int64_t after) {
  return what + " from " + std::to_string(before) + " to " +
         std::to_string(after);
}

std::int64_t WorkersIn(const Pool& pool, const ZoneName& zone) {
  const auto found = pool.workers.find(zone);
  return found == pool.workers.end() ? 0 : found->second;
}

std::int64_t AllowedDownOf(const Declaration& declaration,
                           const Service& service) {
  const Pool* pool = declaration.FindPool(service.pool);
  return AllowedDown(service.budget,
                     pool != nullptr ? pool->TotalWorkers() : 0);
}

}  // namespace

std::string PoolRisk(const Pool& before, const Pool& after) {
  if (after.TotalWorkers() < before.TotalWorkers()) {
    return Lowered("pool shrunk", before.TotalWorkers(), after.TotalWorkers());
  }
  for (const auto& [zone, count] : before.workers) {
    if (WorkersIn(after, zone) < count) {
      return Lowered("pool shrunk in zone " + zone.str(), count,
                     WorkersIn(after, zone));
    }
  }
  return "";
}

std::string BudgetRisk(const Declaration& before,
                       const Declaration& after,
                       const Service& old_service,
                       const Service& new_service) {
  const std::int64_t old_allowed = AllowedDownOf(before, old_service);
  const std::int64_t new_allowed = AllowedDownOf(after, new_service);
  return new_allowed < old_allowed
             ? Lowered("budget tightened", old_allowed, new_allowed)
             : "";
}

std::string LimitRisk(const Team& before, const Team& after) {
  return after.upper_limit < before.upper_limit
             ? Lowered("limit lowered", before.upper_limit, after.upper_limit)
             : "";
}

}  // namespace daisyroad

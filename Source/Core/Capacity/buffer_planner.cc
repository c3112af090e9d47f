#include "Core/Capacity/buffer_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace daisyroad {
namespace {

constexpr double kHoursPerYear = 8760.0;

double Hours(Duration duration) {
  return std::chrono::duration<double, std::ratio<3600>>(duration).count();
}

std::int64_t Count(const PoolCounts& counts, const PoolName& pool) {
  const auto found = counts.find(pool);
  return found == counts.end() ? 0 : found->second;
}

std::int64_t TotalSpare(const SpareByZone& spare) {
  std::int64_t total = 0;
  for (const SpareByZone::value_type& entry : spare) {
    total += entry.second;
  }
  return total;
}

}  // namespace

BufferPlanner::BufferPlanner(CapacityInput capacity)
    : input(std::move(capacity)) {
  for (const CapacityWorker& worker : this->input.workers) {
    ++this->members[worker.pool];
  }
  for (const FailureDomain domain :
       {FailureDomain::kWorker, FailureDomain::kRack, FailureDomain::kZone}) {
    for (Loss& loss : this->Losses(domain)) {
      this->losses.push_back(std::move(loss));
    }
  }
}

std::int64_t BufferPlanner::Missing(const PoolCounts& lost) const {
  std::int64_t missing = 0;
  for (const PoolCounts::value_type& entry : this->input.needed) {
    const std::int64_t remaining =
        Count(this->members, entry.first) - Count(lost, entry.first);
    missing += std::max<std::int64_t>(0, entry.second - remaining);
  }
  return missing;
}

std::vector<BufferPlanner::Loss> BufferPlanner::Losses(
    FailureDomain domain) const {
  // Keyed by zone, rack and position of the worker. The parts that do not
  // identify a domain of this kind are left empty.
  using LostWorkers =
      std::map<std::tuple<ZoneName, RackName, std::int64_t>, PoolCounts>;
  using LossCounts = std::map<std::pair<ZoneName, std::int64_t>, std::int64_t>;
  LostWorkers lost;
  std::int64_t index = 0;
  for (const CapacityWorker& worker : this->input.workers) {
    ++index;
    const bool zone = domain == FailureDomain::kZone;
    const bool single = domain == FailureDomain::kWorker;
    ++lost[{worker.zone, zone ? RackName() : worker.rack, single ? index : 0}]
          [worker.pool];
  }
  LossCounts counts;
  for (const LostWorkers::value_type& entry : lost) {
    ++counts[{std::get<0>(entry.first), this->Missing(entry.second)}];
  }
  // The loss of a zone without workers in service counts as well, as the zone
  // may hold spare instances.
  for (const ZoneName& zone : this->input.zones) {
    if (!lost.contains({zone, RackName(), 0}) &&
        domain == FailureDomain::kZone) {
      ++counts[{zone, this->Missing({})}];
    }
  }
  std::vector<Loss> result;
  result.reserve(counts.size());
  for (const LossCounts::value_type& entry : counts) {
    result.push_back(
        Loss{domain, entry.first.first, entry.first.second, entry.second});
  }
  return result;
}

std::int64_t BufferPlanner::Shortfall(const Loss& loss,
                                      const SpareByZone& spare) const {
  std::int64_t usable = TotalSpare(spare);
  // Spare instances are in racks of their own, so the loss of a worker or a
  // rack in service affects none of them. The loss of a zone includes its spare
  // instances.
  if (loss.domain == FailureDomain::kZone) {
    const auto in_zone = spare.find(loss.zone);
    usable -= in_zone == spare.end() ? 0 : in_zone->second;
  }
  return std::max<std::int64_t>(0, loss.missing - usable);
}

bool BufferPlanner::MustCover(FailureDomain domain) const {
  return std::find(this->input.survive.begin(), this->input.survive.end(),
                   domain) != this->input.survive.end();
}

std::int64_t BufferPlanner::WorstShortfall(const SpareByZone& spare) const {
  std::int64_t worst = 0;
  for (const Loss& loss : this->losses) {
    if (this->MustCover(loss.domain)) {
      worst = std::max(worst, this->Shortfall(loss, spare));
    }
  }
  // A rack of spare instances may be lost too. The others must then cover what
  // the pools lack even without a loss.
  const std::int64_t lost_rack =
      std::min(this->input.workers_per_rack, TotalSpare(spare));
  const std::int64_t lost_spare = this->MustCover(FailureDomain::kRack)
                                      ? lost_rack
                                  : this->MustCover(FailureDomain::kWorker)
                                      ? std::min<std::int64_t>(1, lost_rack)
                                      : 0;
  return std::max(worst, this->Missing({}) - (TotalSpare(spare) - lost_spare));
}

double BufferPlanner::ExpectedShortfallHours(const SpareByZone& spare) const {
  double hours = 0.0;
  for (const LossRates::value_type& rate : this->input.rates) {
    double sum = 0.0;
    double count = 0.0;
    for (const Loss& loss : this->losses) {
      if (loss.domain == rate.first) {
        sum += static_cast<double>(loss.count * this->Shortfall(loss, spare));
        count += static_cast<double>(loss.count);
      }
    }
    if (count > 0.0) {
      hours += sum / count * rate.second.per_year * Hours(rate.second.repair);
    }
  }
  return hours;
}

void BufferPlanner::AddSpare(SpareByZone& spare) const {
  // The shortfall after the loss of a zone is the number of instances missing
  // because of it, in service and spare, minus all spare instances. Adding to
  // the zone where this number is smallest minimizes the largest shortfall.
  const ZoneName* best = nullptr;
  std::int64_t least_lost = 0;
  for (const ZoneName& zone : this->input.zones) {
    std::int64_t lost_with_zone = spare[zone];
    for (const Loss& loss : this->losses) {
      if (loss.domain == FailureDomain::kZone && loss.zone == zone) {
        lost_with_zone += loss.missing;
      }
    }
    if (best == nullptr || lost_with_zone < least_lost) {
      best = &zone;
      least_lost = lost_with_zone;
    }
  }
  if (best != nullptr) {
    ++spare[*best];
  }
}

std::int64_t BufferPlanner::SeparateSpare(const PoolName& pool) const {
  CapacityInput single_pool = this->input;
  single_pool.needed = {{pool, this->input.needed.at(pool)}};
  const BufferPlanner planner(std::move(single_pool));
  SpareByZone spare;
  const std::int64_t max_spare =
      2 * (this->input.needed.at(pool) + this->input.workers_per_rack);
  while (planner.WorstShortfall(spare) > 0 && TotalSpare(spare) < max_spare) {
    planner.AddSpare(spare);
  }
  return TotalSpare(spare);
}

BufferPlan BufferPlanner::Plan() const {
  BufferPlan plan;
  std::int64_t max_spare = 2 * this->input.workers_per_rack;
  for (const PoolCounts::value_type& entry : this->input.needed) {
    max_spare += 2 * entry.second;
  }
  while (this->WorstShortfall(plan.spare) > 0 &&
         TotalSpare(plan.spare) < max_spare) {
    this->AddSpare(plan.spare);
  }
  plan.feasible = this->WorstShortfall(plan.spare) <= 0;
  plan.total = TotalSpare(plan.spare);
  for (const PoolCounts::value_type& entry : this->input.needed) {
    plan.separate[entry.first] = this->SeparateSpare(entry.first);
    plan.separate_total += plan.separate[entry.first];
  }
  return plan;
}

std::vector<WhatIfRow> BufferPlanner::WhatIf(std::int64_t max_spare) const {
  std::vector<WhatIfRow> rows;
  SpareByZone spare;
  for (std::int64_t count = 0; count <= max_spare; ++count) {
    WhatIfRow row;
    row.spare = count;
    row.worst_shortfall =
        std::max<std::int64_t>(0, this->WorstShortfall(spare));
    row.shortfall_hours_per_year = this->ExpectedShortfallHours(spare);
    row.cost_hours_per_year = static_cast<double>(count) * kHoursPerYear;
    rows.push_back(row);
    this->AddSpare(spare);
  }
  return rows;
}

double BufferPlanner::CostHours(std::int64_t spare, Duration interval) {
  return static_cast<double>(spare) * Hours(interval);
}

}  // namespace daisyroad

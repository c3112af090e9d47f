#include "Core/Site/team_allotments.h"

#include <algorithm>
#include <cstdint>

#include "Core/Common/json.h"
#include "Core/Jobs/team_demand.h"

namespace daisyroad {
namespace {

// Prefix of the entries that list the pools that wait for a part of the limit.
// Earlier versions take these for teams with empty allotments.
constexpr char kWaitingPrefix[] = "waiting:";
// A pool acquires more than it is missing, so that a burst does not cause one
// write per task: this multiple of it, and at least this fraction of the limit.
constexpr double kGrantFactor = 1.5;
constexpr double kMinGrantFraction = 0.05;
// While no other pool waits, an allotment above this multiple of what is needed
// is released if less than this fraction of the limit is free.
constexpr double kRetainFactor = 1.3;
constexpr double kScarceFraction = 0.25;

std::int64_t Scale(std::int64_t value, double factor) {
  return static_cast<std::int64_t>(static_cast<double>(value) * factor);
}

// What the adjustment of an allotment depends on.
struct Adjustment {
  Resources limit;
  Resources free;  // part of the limit that no pool holds
  Resources needed;
  int others_waiting = 0;
};

std::int64_t GrowComponent(std::int64_t held,
                           std::int64_t limit,
                           std::int64_t free,
                           std::int64_t needed,
                           int others_waiting) {
  const std::int64_t missing = needed - held;
  if (missing <= 0 || free <= 0) {
    return held;
  }
  if (others_waiting > 0) {
    return held + std::min(missing, free / (others_waiting + 1));
  }
  return held + std::min(free, std::max(Scale(missing, kGrantFactor),
                                        Scale(limit, kMinGrantFraction)));
}

std::int64_t ReleaseComponent(std::int64_t held,
                              std::int64_t limit,
                              std::int64_t free,
                              std::int64_t needed,
                              int others_waiting) {
  if (others_waiting > 0) {
    return std::min(held, needed);
  }
  return free < Scale(limit, kScarceFraction)
             ? std::min(held, Scale(needed, kRetainFactor))
             : held;
}

// Raises the allotment towards what is needed.
Resources Grow(const Resources& held, const Adjustment& adjustment) {
  const Resources& limit = adjustment.limit;
  const Resources& free = adjustment.free;
  const Resources& needed = adjustment.needed;
  const int others = adjustment.others_waiting;
  return Resources{
      GrowComponent(held.cpu_millicores, limit.cpu_millicores,
                    free.cpu_millicores, needed.cpu_millicores, others),
      GrowComponent(held.memory_mb, limit.memory_mb, free.memory_mb,
                    needed.memory_mb, others),
      GrowComponent(held.accelerators, limit.accelerators, free.accelerators,
                    needed.accelerators, others)};
}

// Lowers the allotment towards what is needed.
Resources Release(const Resources& held, const Adjustment& adjustment) {
  const Resources& limit = adjustment.limit;
  const Resources& free = adjustment.free;
  const Resources& needed = adjustment.needed;
  const int others = adjustment.others_waiting;
  return Resources{
      ReleaseComponent(held.cpu_millicores, limit.cpu_millicores,
                       free.cpu_millicores, needed.cpu_millicores, others),
      ReleaseComponent(held.memory_mb, limit.memory_mb, free.memory_mb,
                       needed.memory_mb, others),
      ReleaseComponent(held.accelerators, limit.accelerators, free.accelerators,
                       needed.accelerators, others)};
}

Resources Max(const Resources& left, const Resources& right) {
  return Resources{std::max(left.cpu_millicores, right.cpu_millicores),
                   std::max(left.memory_mb, right.memory_mb),
                   std::max(left.accelerators, right.accelerators)};
}

// Nothing of a resource is usable while the pools hold more than the limit:
// what they use may exceed it already.
std::int64_t UsableComponent(std::int64_t held,
                             std::int64_t sum,
                             std::int64_t limit) {
  return sum <= limit ? held : 0;
}

std::int64_t WithoutExcess(std::int64_t held,
                           std::int64_t sum,
                           std::int64_t limit,
                           std::int64_t used) {
  return sum <= limit ? held : used;
}

Json::Value ToJson(const Resources& resources) {
  Json::Value cell(Json::arrayValue);
  cell.append(Json::Int64(resources.cpu_millicores));
  cell.append(Json::Int64(resources.memory_mb));
  cell.append(Json::Int64(resources.accelerators));
  return cell;
}

}  // namespace

Result<AllotmentTable> AllotmentTable::Parse(const std::string& text) {
  const Result<Json::Value> json = ParseJson(text);
  const Error malformed{
      Errc::kProtocol, "limits.parse", "",
      "the record is not a JSON object of allotments by team and pool"};
  if (!json.ok() || !json.value().isObject()) {
    return malformed;
  }
  AllotmentTable table;
  for (const std::string& team : json.value().getMemberNames()) {
    const Json::Value& row = json.value()[team];
    if (!row.isObject()) {
      return malformed;
    }
    if (team.starts_with(kWaitingPrefix)) {
      for (const std::string& pool : row.getMemberNames()) {
        table.waiting[TeamName(team.substr(sizeof(kWaitingPrefix) - 1))].insert(
            PoolName(pool));
      }
      continue;
    }
    for (const std::string& pool : row.getMemberNames()) {
      const Json::Value& cell = row[pool];
      if (!cell.isArray() || cell.size() != 3 || !cell[0].isInt64() ||
          !cell[1].isInt64() || !cell[2].isInt64()) {
        return malformed;
      }
      table.rows[TeamName(team)][PoolName(pool)] =
          Resources{cell[0].asInt64(), cell[1].asInt64(), cell[2].asInt64()};
    }
  }
  return table;
}

std::string AllotmentTable::Serialize() const {
  Json::Value json(Json::objectValue);
  for (const std::pair<const TeamName, Row>& row : this->rows) {
    for (const std::pair<const PoolName, Resources>& cell : row.second) {
      json[row.first.str()][cell.first.str()] = ToJson(cell.second);
    }
  }
  for (const std::pair<const TeamName, std::set<PoolName>>& entry :
       this->waiting) {
    for (const PoolName& pool : entry.second) {
      json[kWaitingPrefix + entry.first.str()][pool.str()] =
          ToJson(Resources());
    }
  }
  return WriteJson(json);
}

Resources AllotmentTable::Sum(const TeamName& team) const {
  Resources sum;
  const std::map<TeamName, Row>::const_iterator row = this->rows.find(team);
  if (row != this->rows.end()) {
    for (const std::pair<const PoolName, Resources>& cell : row->second) {
      sum += cell.second;
    }
  }
  return sum;
}

bool AllotmentTable::IsCounted(const TeamName& team,
                               const PoolName& pool) const {
  const std::map<TeamName, Row>::const_iterator row = this->rows.find(team);
  return row != this->rows.end() && row->second.contains(pool);
}

bool AllotmentTable::AreCounted(const TeamName& team,
                                const std::set<PoolName>& pools) const {
  return std::all_of(pools.begin(), pools.end(),
                     [this, &team](const PoolName& pool) {
                       return this->IsCounted(team, pool);
                     });
}

std::vector<TeamName> AllotmentTable::TeamsOf(const PoolName& pool) const {
  std::vector<TeamName> teams;
  for (const std::pair<const TeamName, Row>& row : this->rows) {
    if (row.second.contains(pool)) {
      teams.push_back(row.first);
    }
  }
  return teams;
}

bool AllotmentTable::Withdraw(const TeamName& team, const PoolName& pool) {
  this->SetWaiting(team, pool, false);
  const std::map<TeamName, Row>::iterator row = this->rows.find(team);
  return row != this->rows.end() && row->second.erase(pool) > 0;
}

Resources AllotmentTable::Allotted(const TeamName& team,
                                   const PoolName& pool) const {
  const std::map<TeamName, Row>::const_iterator row = this->rows.find(team);
  return row == this->rows.end() || !row->second.contains(pool)
             ? Resources()
             : row->second.at(pool);
}

Resources AllotmentTable::Usable(const TeamName& team,
                                 const PoolName& pool,
                                 const Resources& limit) const {
  const Resources held = this->Allotted(team, pool);
  const Resources sum = this->Sum(team);
  return Resources{
      UsableComponent(held.cpu_millicores, sum.cpu_millicores,
                      limit.cpu_millicores),
      UsableComponent(held.memory_mb, sum.memory_mb, limit.memory_mb),
      UsableComponent(held.accelerators, sum.accelerators, limit.accelerators)};
}

bool AllotmentTable::IsWaiting(const TeamName& team,
                               const PoolName& pool) const {
  const std::map<TeamName, std::set<PoolName>>::const_iterator found =
      this->waiting.find(team);
  return found != this->waiting.end() && found->second.contains(pool);
}

int AllotmentTable::CountOthersWaiting(const TeamName& team,
                                       const PoolName& pool) const {
  const std::map<TeamName, std::set<PoolName>>::const_iterator found =
      this->waiting.find(team);
  return found == this->waiting.end()
             ? 0
             : static_cast<int>(found->second.size() -
                                found->second.count(pool));
}

bool AllotmentTable::Adjust(const TeamName& team,
                            const PoolName& pool,
                            const Resources& limit,
                            const Resources& used,
                            const TeamDemand& demand,
                            bool may_release) {
  const bool is_new = !this->IsCounted(team, pool);
  Resources& held = this->rows[team][pool];
  const Resources before = held;
  // What runs counts even where the limit has no room for it, so that others
  // start nothing beside it.
  held = Max(held, used);
  const Resources sum = this->Sum(team);
  const Resources free = Max(limit - sum, Resources());
  if (may_release) {
    held = Resources{WithoutExcess(held.cpu_millicores, sum.cpu_millicores,
                                   limit.cpu_millicores, used.cpu_millicores),
                     WithoutExcess(held.memory_mb, sum.memory_mb,
                                   limit.memory_mb, used.memory_mb),
                     WithoutExcess(held.accelerators, sum.accelerators,
                                   limit.accelerators, used.accelerators)};
  }
  const Adjustment adjustment{limit, free, used + demand.total,
                              this->CountOthersWaiting(team, pool)};
  const Resources grown = Grow(held, adjustment);
  if (demand.requests.empty() || demand.requests.AnyWithin(held - used)) {
    held = may_release ? Release(grown, adjustment) : grown;
  } else if (demand.requests.AnyWithin(grown - used)) {
    held = grown;
  } else if (const std::optional<Resources> request =
                 demand.requests.FindWithin(held + free - used)) {
    held = Max(held, used + *request);
  } else if (may_release) {
    held = used;
  }
  const bool is_waiting = demand.requests.AnyWithin(limit) &&
                          !demand.requests.AnyWithin(held - used);
  const bool is_changed = is_new || held != before;
  return this->SetWaiting(team, pool, is_waiting) || is_changed;
}

bool AllotmentTable::SetWaiting(const TeamName& team,
                                const PoolName& pool,
                                bool is_waiting) {
  if (is_waiting == this->IsWaiting(team, pool)) {
    return false;
  }
  if (is_waiting) {
    this->waiting[team].insert(pool);
  } else {
    this->waiting[team].erase(pool);
  }
  return true;
}

}  // namespace daisyroad

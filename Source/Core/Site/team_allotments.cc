#include "Core/Site/team_allotments.h"

#include <algorithm>
#include <cstdint>

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

// A pool acquires more than it is missing, so that a burst does not cause one
// write per task: this multiple of it, and at least this fraction of the limit.
constexpr double kGrantFactor = 1.5;
constexpr double kMinGrantFraction = 0.05;
// An allotment above this multiple of what is needed is released while less
// than this fraction of the limit is free for other pools.
constexpr double kRetainFactor = 1.3;
constexpr double kScarceFraction = 0.25;

std::int64_t Scale(std::int64_t value, double factor) {
  return static_cast<std::int64_t>(static_cast<double>(value) * factor);
}

// Adjusts one resource component; see AllotmentTable::Adjust.
std::int64_t AdjustComponent(std::int64_t held,
                             std::int64_t sum,
                             std::int64_t limit,
                             std::int64_t used,
                             std::int64_t wanted,
                             bool may_release) {
  const std::int64_t needed = used + wanted;
  if (needed > held) {
    const std::int64_t free = std::max<std::int64_t>(0, limit - sum);
    const std::int64_t missing = needed - held;
    return held + std::min(free, std::max(Scale(missing, kGrantFactor),
                                          Scale(limit, kMinGrantFraction)));
  }
  const bool is_scarce = limit - sum < Scale(limit, kScarceFraction);
  if (sum > limit ||
      (may_release && is_scarce && Scale(needed, kRetainFactor) < held)) {
    return std::max(used, std::min(held, Scale(needed, kRetainFactor)));
  }
  return held;
}

std::int64_t UsableComponent(std::int64_t held,
                             std::int64_t sum,
                             std::int64_t limit) {
  return sum <= limit || sum == 0 ? held
                                  : Scale(held, static_cast<double>(limit) /
                                                    static_cast<double>(sum));
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
      Json::Value& target = json[row.first.str()][cell.first.str()];
      target.append(Json::Int64(cell.second.cpu_millicores));
      target.append(Json::Int64(cell.second.memory_mb));
      target.append(Json::Int64(cell.second.accelerators));
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

Resources AllotmentTable::Usable(const TeamName& team,
                                 const PoolName& pool,
                                 const Resources& limit) const {
  const std::map<TeamName, Row>::const_iterator row = this->rows.find(team);
  if (row == this->rows.end() || !row->second.contains(pool)) {
    return Resources();
  }
  const Resources& held = row->second.at(pool);
  const Resources sum = this->Sum(team);
  return Resources{
      UsableComponent(held.cpu_millicores, sum.cpu_millicores,
                      limit.cpu_millicores),
      UsableComponent(held.memory_mb, sum.memory_mb, limit.memory_mb),
      UsableComponent(held.accelerators, sum.accelerators, limit.accelerators)};
}

bool AllotmentTable::Adjust(const TeamName& team,
                            const PoolName& pool,
                            const Resources& limit,
                            const Resources& used,
                            const Resources& wanted,
                            bool may_release) {
  const Resources sum = this->Sum(team);
  Resources& held = this->rows[team][pool];
  const Resources adjusted{
      AdjustComponent(held.cpu_millicores, sum.cpu_millicores,
                      limit.cpu_millicores, used.cpu_millicores,
                      wanted.cpu_millicores, may_release),
      AdjustComponent(held.memory_mb, sum.memory_mb, limit.memory_mb,
                      used.memory_mb, wanted.memory_mb, may_release),
      AdjustComponent(held.accelerators, sum.accelerators, limit.accelerators,
                      used.accelerators, wanted.accelerators, may_release)};
  if (adjusted == held) {
    return false;
  }
  held = adjusted;
  return true;
}

}  // namespace daisyroad

#include "Core/Site/standing_gauges.h"

#include <cmath>
#include <string>
#include <utility>

#include "Core/Common/metrics_registry.h"

namespace daisyroad {
namespace {

constexpr std::chrono::seconds kInterval{1};

}  // namespace

void StandingGauges::Publish(const std::vector<TeamStanding>& standings,
                             MonotonicTime now) {
  this->next_update = now + kInterval;
  std::set<TeamName> present;
  const auto set = [this](const TeamStanding& team) {
    const std::string labels =
        "pool=\"" + this->pool.str() + "\",team=\"" + team.team.str() + "\"";
    this->metrics->Gauge("daisyroad_team_use_permille", labels) =
        std::llround(team.use * 1000.0);
    this->metrics->Gauge("daisyroad_team_entitlement_permille", labels) =
        std::llround(team.entitlement * 1000.0);
    this->metrics->Gauge("daisyroad_team_deficit_ms", labels) =
        team.deficit.count();
  };
  for (const TeamStanding& team : standings) {
    present.insert(team.team);
    set(team);
  }
  for (const TeamName& team : this->shown) {
    if (!present.contains(team)) {
      TeamStanding gone;
      gone.team = team;
      set(gone);
    }
  }
  this->shown = std::move(present);
}

}  // namespace daisyroad

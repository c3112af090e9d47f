#ifndef SOURCE_CORE_SITE_STANDING_GAUGES_H_
#define SOURCE_CORE_SITE_STANDING_GAUGES_H_

#include <set>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/team_standing.h"

namespace daisyroad {

class MetricsRegistry;

// Shows in the metrics what the teams have of a pool against their shares.
class StandingGauges {
 public:
  StandingGauges(MetricsRegistry* metrics, const PoolName& pool)
      : metrics(metrics), pool(pool) {}

  // Whether a second has passed since the gauges were set.
  bool IsDue(MonotonicTime now) const { return now >= this->next_update; }
  // The gauges of teams that are left out become zero.
  void Publish(const std::vector<TeamStanding>& standings, MonotonicTime now);

 private:
  MetricsRegistry* metrics;
  PoolName pool;
  std::set<TeamName> shown;
  MonotonicTime next_update;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_STANDING_GAUGES_H_

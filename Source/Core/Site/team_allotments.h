#ifndef SOURCE_CORE_SITE_TEAM_ALLOTMENTS_H_
#define SOURCE_CORE_SITE_TEAM_ALLOTMENTS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Jobs/resources.h"

namespace daisyroad {

struct TeamDemand;

// Divides the upper limits of the teams among the pools. The scheduler of a
// pool starts tasks of a team only within the allotment of the pool, so that no
// limit is exceeded even though schedulers do not communicate with each other.
// Allotments belong to pools: a new scheduler takes over those of its
// predecessor.
//
// A pool that lacks the allotment for each of its tasks is recorded as waiting;
// the other pools then keep no more than they need.
//
// A pool that has no allotment on record, not even an empty one, is not
// counted: its runs of the team are not limited. While there is a limit, tasks
// start only once all pools are counted.
class AllotmentTable {
 public:
  using Row = std::map<PoolName, Resources>;

  static Result<AllotmentTable> Parse(const std::string& text);
  std::string Serialize() const;

  // Whether the pool uses no more than it holds.
  bool IsCounted(const TeamName& team, const PoolName& pool) const;
  bool AreCounted(const TeamName& team, const std::set<PoolName>& pools) const;
  // The teams for which the pool is counted.
  std::vector<TeamName> TeamsOf(const PoolName& pool) const;
  // From now on the pool is not counted. Returns whether the table changed.
  bool Withdraw(const TeamName& team, const PoolName& pool);

  // What the pool holds.
  Resources Allotted(const TeamName& team, const PoolName& pool) const;
  // What the pool may use for new runs: its allotment, or nothing of a resource
  // of which the pools hold more than a lowered limit.
  Resources Usable(const TeamName& team,
                   const PoolName& pool,
                   const Resources& limit) const;

  // Counts the pool, and adjusts its allotment so that it covers `used`, also
  // beyond the limit, and as far as the limit allows `demand` in addition. An
  // allotment that lets the pool start none of its tasks is not kept, since
  // other pools may be able to use it. Unused allotments are released only if
  // `may_release` is set. Returns whether the table changed.
  bool Adjust(const TeamName& team,
              const PoolName& pool,
              const Resources& limit,
              const Resources& used,
              const TeamDemand& demand,
              bool may_release);

  // Whether the pool has tasks of the team, but lacks the allotment for any.
  bool IsWaiting(const TeamName& team, const PoolName& pool) const;

 private:
  Resources Sum(const TeamName& team) const;
  int CountOthersWaiting(const TeamName& team, const PoolName& pool) const;
  // Returns whether the table changed.
  bool SetWaiting(const TeamName& team, const PoolName& pool, bool is_waiting);

  std::map<TeamName, Row> rows;
  std::map<TeamName, std::set<PoolName>> waiting;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_TEAM_ALLOTMENTS_H_

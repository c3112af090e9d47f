#ifndef SOURCE_CORE_SITE_TEAM_ALLOTMENTS_H_
#define SOURCE_CORE_SITE_TEAM_ALLOTMENTS_H_

#include <map>
#include <optional>
#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Jobs/resources.h"

namespace daisyroad {

// Divides the upper limits of the teams among the pools. The scheduler of a
// pool starts tasks of a team only within the allotment of the pool, so that no
// limit is exceeded even though schedulers do not communicate with each other.
// Allotments belong to pools: a new scheduler takes over those of its
// predecessor.
class AllotmentTable {
 public:
  using Row = std::map<PoolName, Resources>;

  static Result<AllotmentTable> Parse(const std::string& text);
  std::string Serialize() const;

  // What the pool may use. Less than its allotment if the limit has been
  // lowered since it was granted.
  Resources Usable(const TeamName& team,
                   const PoolName& pool,
                   const Resources& limit) const;

  // Adjusts the allotment of the pool so that it covers `used` and, as far as
  // the limit allows, `wanted` in addition. Unused allotments are released only
  // if `may_release` is set or the sum exceeds the limit. Returns whether the
  // allotment changed.
  bool Adjust(const TeamName& team,
              const PoolName& pool,
              const Resources& limit,
              const Resources& used,
              const Resources& wanted,
              bool may_release);

 private:
  Resources Sum(const TeamName& team) const;

  std::map<TeamName, Row> rows;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_TEAM_ALLOTMENTS_H_

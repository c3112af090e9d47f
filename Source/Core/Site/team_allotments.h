#ifndef SOURCE_CORE_SITE_TEAM_ALLOTMENTS_H_
#define SOURCE_CORE_SITE_TEAM_ALLOTMENTS_H_

#include <map>
#include <optional>
#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Jobs/resources.h"

namespace daisyroad {

// Upper limits of the teams, divided among the pools. The scheduler of a pool
// starts a team's tasks only within the pool's allotment, so that no limit is
// exceeded while schedulers do not hear of each other. Allotments belong to
// pools: a new scheduler takes over those of the one before.
class AllotmentTable {
 public:
  using Row = std::map<PoolName, Resources>;

  static Result<AllotmentTable> Parse(const std::string& text);
  std::string Write() const;

  // What the pool may use; less than was granted if the limit was lowered
  // since.
  Resources Usable(const TeamName& team,
                   const PoolName& pool,
                   const Resources& limit) const;

  // Changes what the pool holds so that it covers `used` and, as far as the
  // limit allows, `wanted` more. Nothing if that is the case already; holdings
  // that are not used are given back only if `gives_back`.
  bool Adjust(const TeamName& team,
              const PoolName& pool,
              const Resources& limit,
              const Resources& used,
              const Resources& wanted,
              bool gives_back);

 private:
  Resources Sum(const TeamName& team) const;

  std::map<TeamName, Row> rows;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_TEAM_ALLOTMENTS_H_

#ifndef SOURCE_CORE_JOBS_TEAM_STANDING_H_
#define SOURCE_CORE_JOBS_TEAM_STANDING_H_

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// What a team has of a pool against its share. Shares are dominant shares of
// what the jobs of the pool may use, from 0 to 1.
struct TeamStanding {
  TeamName team;
  double weight = 1.0;
  double use = 0.0;
  double entitlement = 0.0;
  // Time for which the team would need its whole entitlement to make up for
  // what it did not get; negative if it got more.
  Milliseconds deficit{0};
  // The same, with what the team uses now counted as well. The team with the
  // most goes first.
  Milliseconds standing{0};
  bool is_waiting = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_TEAM_STANDING_H_

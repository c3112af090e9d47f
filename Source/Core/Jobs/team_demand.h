#ifndef SOURCE_CORE_JOBS_TEAM_DEMAND_H_
#define SOURCE_CORE_JOBS_TEAM_DEMAND_H_

#include "Core/Jobs/minimal_requests.h"
#include "Core/Jobs/resources.h"

namespace daisyroad {

// Tasks of a team that have a worker, but no part of the team's limit.
struct TeamDemand {
  Resources total;
  // Requests of single tasks; a gang counts as one task.
  MinimalRequests requests;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_TEAM_DEMAND_H_

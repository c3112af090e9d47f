#ifndef SOURCE_LOAD_SHARE_METER_H_
#define SOURCE_LOAD_SHARE_METER_H_

#include <vector>

#include "Core/Common/identifiers.h"
#include "Load/load_run.h"
#include "Load/start_record.h"

namespace daisyroad {

struct Declaration;

// Use of one pool by one team while the pool was full and the team, together
// with others, had work waiting.
struct ShareUse {
  PoolName pool;
  TeamName team;
  double busy_seconds = 0.0;  // time over which the figures were taken
  double slot_seconds = 0.0;  // used
  double due_seconds = 0.0;   // declared share of what the waiting teams used
};

std::vector<ShareUse> MeasureShares(const Declaration& declaration,
                                    const LoadRunResult& run,
                                    const std::vector<StartRecord>& starts);

}  // namespace daisyroad

#endif  // SOURCE_LOAD_SHARE_METER_H_

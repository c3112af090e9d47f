#ifndef SOURCE_LOAD_SHARE_METER_H_
#define SOURCE_LOAD_SHARE_METER_H_

#include <vector>

#include "Core/Common/identifiers.h"
#include "Load/load_run.h"
#include "Load/start_record.h"

namespace daisyroad {

struct Declaration;

// Use of a pool by a team, summed over the times at which the pool was full and
// at least two teams, this one included, had work waiting.
struct ShareUse {
  PoolName pool;
  TeamName team;
  double busy_seconds = 0.0;  // total time measured
  double slot_seconds = 0.0;  // used
  // Declared share of what the waiting teams used.
  double due_slot_seconds = 0.0;
};

std::vector<ShareUse> MeasureShares(const Declaration& declaration,
                                    const LoadRunResult& run,
                                    const std::vector<StartRecord>& starts);

}  // namespace daisyroad

#endif  // SOURCE_LOAD_SHARE_METER_H_

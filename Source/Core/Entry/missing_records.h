#ifndef SOURCE_CORE_ENTRY_MISSING_RECORDS_H_
#define SOURCE_CORE_ENTRY_MISSING_RECORDS_H_

#include <vector>

#include "Core/Common/time.h"
#include "Core/Declaration/declaration.h"
#include "Core/Fleet/fleet_action.h"

namespace daisyroad {

class FleetRecords;
class WorkerDirectory;

// Returns the writes of missing worker records, limited in number per call, and
// of budgets that are new or differ from the declaration.
std::vector<FleetAction> MissingRecords(const FleetRecords& records,
                                        const WorkerDirectory& directory,
                                        const Declaration& declaration,
                                        WallTime now);

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_MISSING_RECORDS_H_

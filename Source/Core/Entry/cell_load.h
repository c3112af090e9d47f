#ifndef SOURCE_CORE_ENTRY_CELL_LOAD_H_
#define SOURCE_CORE_ENTRY_CELL_LOAD_H_

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// Load of a cell, as its dispatcher reports it to the instances that send it
// tasks.
struct CellLoad {
  PoolName pool;
  ZoneName zone;
  // Estimated waits, averaged over the waiting tasks.
  Duration urgent_wait = Duration::zero();
  Duration long_wait = Duration::zero();
  int free_slots = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_CELL_LOAD_H_

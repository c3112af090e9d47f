#ifndef SOURCE_CORE_ENTRY_CELL_LOAD_H_
#define SOURCE_CORE_ENTRY_CELL_LOAD_H_

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// What the dispatcher of a cell tells the instances that send it tasks.
struct CellLoad {
  PoolName pool;
  ZoneName zone;
  Duration urgent_wait = Duration::zero();  // mean over the waiting tasks
  Duration long_wait = Duration::zero();
  int free_slots = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_CELL_LOAD_H_

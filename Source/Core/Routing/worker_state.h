#ifndef SOURCE_CORE_ROUTING_WORKER_STATE_H_
#define SOURCE_CORE_ROUTING_WORKER_STATE_H_

#include <cstddef>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// State of a worker according to its last reply and the instance list.
struct WorkerState {
  std::size_t slots = 0;
  std::size_t running = 0;  // tasks sent and not yet known to have ended
  bool leaving = false;     // according to the instance list or the worker
  bool ejected = false;
  bool reachable = true;  // the last request to it succeeded
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ROUTING_WORKER_STATE_H_

#ifndef SOURCE_CORE_ROUTING_WORKER_STATE_H_
#define SOURCE_CORE_ROUTING_WORKER_STATE_H_

#include <cstddef>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// What is known of a worker from its last reply and the instance list.
struct WorkerState {
  std::size_t slots = 0;
  std::size_t running = 0;  // tasks sent and not yet known to have ended
  bool leaving = false;     // according to the instance list or itself
  bool ejected = false;
  bool reachable = true;  // the last exchange succeeded
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ROUTING_WORKER_STATE_H_

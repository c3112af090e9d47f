#ifndef SOURCE_CORE_JOBS_PLACEMENT_TICKET_H_
#define SOURCE_CORE_JOBS_PLACEMENT_TICKET_H_

#include <string>

#include "Core/Common/identifiers.h"

namespace daisyroad {

// Permission from the placement advisor of a queue to run a step on a worker.
struct PlacementTicket {
  WorkerName worker;
  std::string ticket;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_PLACEMENT_TICKET_H_

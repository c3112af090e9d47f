#ifndef SOURCE_CORE_FLEET_FLEET_OBSERVATION_H_
#define SOURCE_CORE_FLEET_FLEET_OBSERVATION_H_

#include <cstdint>
#include <map>
#include <set>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// State of one worker as observed by an entry instance.
struct WorkerObservation {
  bool listed = false;   // in the instance list, which may lag behind
  bool healthy = false;  // responds to direct probes, can run tasks
  bool drained = false;  // is draining and runs no task
  std::int64_t incarnation = 0;
  // Expected time until the last running task ends.
  Duration remaining = Duration::zero();
};

using ObservationTable = std::map<WorkerName, WorkerObservation>;

// State of the fleet as observed by an entry instance. A worker without an
// entry in `workers` counts as down.
struct FleetObservation {
  // Time at which the oldest of the probes, and of the record reads used with
  // them, was sent.
  MonotonicTime observed_at;
  ObservationTable workers;
  std::set<ZoneName> zones_out;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_FLEET_OBSERVATION_H_

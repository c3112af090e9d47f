#ifndef SOURCE_CORE_FLEET_FLEET_OBSERVATION_H_
#define SOURCE_CORE_FLEET_FLEET_OBSERVATION_H_

#include <cstdint>
#include <map>
#include <set>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"

namespace daisyroad {

// What an entry instance sees of one worker.
struct WorkerObservation {
  bool listed = false;   // live in the instance list, which lags
  bool healthy = false;  // answers by itself and is able to run work
  bool drained = false;  // drains and runs no task
  std::int64_t incarnation = 0;
  // Expected time until the last running task ends.
  Duration remaining = Duration::zero();
};

using ObservationTable = std::map<WorkerName, WorkerObservation>;

// A worker that is absent counts as down.
struct FleetObservation {
  // Time at which the oldest probe, or the oldest read of the records used
  // with it, was sent.
  MonotonicTime observed_at;
  ObservationTable workers;
  std::set<ZoneName> zones_out;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_FLEET_FLEET_OBSERVATION_H_

#ifndef SOURCE_UNITTESTS_FLEET_FAKE_WORKER_H_
#define SOURCE_UNITTESTS_FLEET_FAKE_WORKER_H_

#include <cstdint>

#include "Core/Fleet/fleet_observation.h"

namespace daisyroad {

// Simulates a worker in virtual time with one tick per second.
class FakeWorker {
 public:
  // Advances by one tick. The instance list shows a change `list_lag` ticks
  // late.
  void Tick(int list_lag);
  // Takes the worker down for at least `down_ticks`.
  void Fail(int down_ticks);
  // Requests for another incarnation have no effect.
  void Drain(std::int64_t for_incarnation);
  void Checkpoint(std::int64_t for_incarnation);
  // Returns true if the reboot began.
  bool Reboot(std::int64_t for_incarnation, int down_ticks);
  WorkerObservation Observe() const;

  std::int64_t incarnation = 1;
  bool up = true;
  bool draining = false;
  bool listed = true;
  int task_ticks_left = 0;  // until the last running task ends

 private:
  int down_ticks_left = 0;
  int ticks_since_change = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_FLEET_FAKE_WORKER_H_

#ifndef SOURCE_UNITTESTS_FLEET_FAKE_WORKER_H_
#define SOURCE_UNITTESTS_FLEET_FAKE_WORKER_H_

#include <cstdint>

#include "Core/Fleet/fleet_observation.h"

namespace daisyroad {

// A worker in virtual time of one second a tick.
class FakeWorker {
 public:
  void Tick(int list_lag);
  void Fail(int down_ticks);
  void Drain(std::int64_t for_incarnation);
  void Checkpoint(std::int64_t for_incarnation);
  // True if a reboot began.
  bool Reboot(std::int64_t for_incarnation, int down_ticks);
  WorkerObservation Observe() const;

  std::int64_t incarnation = 1;
  bool up = true;
  bool draining = false;
  bool listed = true;
  int running = 0;  // ticks until the last task ends

 private:
  int down_left = 0;
  int since_change = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_FLEET_FAKE_WORKER_H_

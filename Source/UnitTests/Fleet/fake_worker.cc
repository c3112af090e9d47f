#include "UnitTests/Fleet/fake_worker.h"

#include <algorithm>

namespace daisyroad {

void FakeWorker::Tick(int list_lag) {
  this->running = std::max(0, this->running - 1);
  if (!this->up && --this->down_left <= 0) {
    this->up = true;
    this->draining = false;
    this->running = 0;
    ++this->incarnation;
    this->since_change = 0;
  }
  if (++this->since_change > list_lag) {
    this->listed = this->up;
  }
}

void FakeWorker::Fail(int down_ticks) {
  if (this->up) {
    this->up = false;
    this->since_change = 0;
  }
  this->down_left = std::max(this->down_left, down_ticks);
}

void FakeWorker::Drain(std::int64_t for_incarnation) {
  this->draining |= this->up && for_incarnation == this->incarnation;
}

void FakeWorker::Checkpoint(std::int64_t for_incarnation) {
  if (this->up && for_incarnation == this->incarnation) {
    this->running = std::min(this->running, 2);
  }
}

bool FakeWorker::Reboot(std::int64_t for_incarnation, int down_ticks) {
  if (!this->up || for_incarnation != this->incarnation) {
    return false;
  }
  this->Fail(down_ticks);
  return true;
}

WorkerObservation FakeWorker::Observe() const {
  return WorkerObservation{
      this->listed, this->up, this->up && this->draining && this->running == 0,
      this->incarnation, std::chrono::seconds(this->running)};
}

}  // namespace daisyroad

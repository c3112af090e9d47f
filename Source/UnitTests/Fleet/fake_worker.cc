#include "UnitTests/Fleet/fake_worker.h"

#include <algorithm>

namespace daisyroad {

void FakeWorker::Tick(int list_lag) {
  this->task_ticks_left = std::max(0, this->task_ticks_left - 1);
  if (!this->up && --this->down_ticks_left <= 0) {
    this->up = true;
    this->draining = false;
    this->task_ticks_left = 0;
    ++this->incarnation;
    this->ticks_since_change = 0;
  }
  if (++this->ticks_since_change > list_lag) {
    this->listed = this->up;
  }
}

void FakeWorker::Fail(int down_ticks) {
  if (this->up) {
    this->up = false;
    this->ticks_since_change = 0;
  }
  this->down_ticks_left = std::max(this->down_ticks_left, down_ticks);
}

void FakeWorker::Drain(std::int64_t for_incarnation) {
  this->draining |= this->up && for_incarnation == this->incarnation;
}

void FakeWorker::Checkpoint(std::int64_t for_incarnation) {
  if (this->up && for_incarnation == this->incarnation) {
    this->task_ticks_left = std::min(this->task_ticks_left, 2);
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
      this->listed, this->up,
      this->up && this->draining && this->task_ticks_left == 0,
      this->incarnation, std::chrono::seconds(this->task_ticks_left)};
}

}  // namespace daisyroad

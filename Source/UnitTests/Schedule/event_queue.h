#ifndef SOURCE_UNITTESTS_SCHEDULE_EVENT_QUEUE_H_
#define SOURCE_UNITTESTS_SCHEDULE_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "Core/Common/time.h"

namespace daisyroad {

// Event queue in virtual time. Actions with equal times run in the order in
// which they were scheduled.
class EventQueue {
 public:
  Duration now() const { return this->current_time; }

  void After(Duration delay, std::function<void()> action) {
    this->last_sequence += 1;
    this->events.emplace(
        std::make_pair(this->current_time + delay, this->last_sequence),
        std::move(action));
  }

  void RunUntil(Duration end) {
    while (!this->events.empty() && this->events.begin()->first.first <= end) {
      this->current_time = this->events.begin()->first.first;
      const std::function<void()> action =
          std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      action();
    }
    this->current_time = end;
  }

 private:
  Duration current_time = Duration::zero();
  std::uint64_t last_sequence = 0;
  std::map<std::pair<Duration, std::uint64_t>, std::function<void()>> events;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_SCHEDULE_EVENT_QUEUE_H_

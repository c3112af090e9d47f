#ifndef SOURCE_UNITTESTS_CONTROL_EVENT_QUEUE_H_
#define SOURCE_UNITTESTS_CONTROL_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// Event queue in virtual time. Actions with equal times run in the order in
// which they were scheduled.
class EventQueue {
 public:
  MonotonicTime now() const { return this->current_time; }

  void At(MonotonicTime time, std::function<void()> action) {
    this->events.push({time, this->next_sequence++, std::move(action)});
  }
  void After(Duration delay, std::function<void()> action) {
    this->At(this->current_time + delay, std::move(action));
  }

  void RunUntil(MonotonicTime end) {
    while (!this->events.empty() && this->events.top().time <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->current_time = event.time;
      event.action();
    }
    this->current_time = end;
  }

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t sequence;
    std::function<void()> action;

    bool operator<(const Event& other) const {
      return this->time != other.time ? this->time > other.time
                                      : this->sequence > other.sequence;
    }
  };

  MonotonicTime current_time{std::chrono::hours(1)};
  std::uint64_t next_sequence = 0;
  std::priority_queue<Event> events;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_CONTROL_EVENT_QUEUE_H_

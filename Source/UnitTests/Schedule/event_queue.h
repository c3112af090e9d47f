#ifndef SOURCE_UNITTESTS_SCHEDULE_EVENT_QUEUE_H_
#define SOURCE_UNITTESTS_SCHEDULE_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "Core/Common/time.h"

namespace daisyroad {

// Virtual time: runs functions in order of time, then of insertion.
class EventQueue {
 public:
  Duration now() const { return this->time; }

  void After(Duration delay, std::function<void()> run) {
    this->order += 1;
    this->events.emplace(std::make_pair(this->time + delay, this->order),
                         std::move(run));
  }

  void RunUntil(Duration end) {
    while (!this->events.empty() && this->events.begin()->first.first <= end) {
      this->time = this->events.begin()->first.first;
      const std::function<void()> run = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      run();
    }
    this->time = end;
  }

 private:
  Duration time = Duration::zero();
  std::uint64_t order = 0;
  std::map<std::pair<Duration, std::uint64_t>, std::function<void()>> events;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_SCHEDULE_EVENT_QUEUE_H_

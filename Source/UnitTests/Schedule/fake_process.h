#ifndef SOURCE_UNITTESTS_SCHEDULE_FAKE_PROCESS_H_
#define SOURCE_UNITTESTS_SCHEDULE_FAKE_PROCESS_H_

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Common/time.h"
#include "UnitTests/Schedule/event_queue.h"

namespace daisyroad {

// A simulated process with its own clock that can end, pause or be disconnected
// from the network. Actions delivered during a pause run when it resumes.
class FakeProcess : public std::enable_shared_from_this<FakeProcess> {
 public:
  FakeProcess(EventQueue* queue, Random* random)
      : queue(queue),
        random(random),
        clock_offset(random->DurationBelow(std::chrono::hours(1))),
        clock_rate(0.995 + 0.01 * random->Fraction()) {}

  // The local clock, which has an arbitrary start and a rate error of up to
  // 0.5%.
  MonotonicTime Clock() const {
    return MonotonicTime(this->clock_offset +
                         Duration(static_cast<Duration::rep>(
                             static_cast<double>(this->queue->now().count()) *
                             this->clock_rate)));
  }

  void Deliver(std::function<void()> action) {
    if (!this->alive) {
      return;
    }
    if (this->paused) {
      this->backlog.push_back(std::move(action));
      return;
    }
    action();
  }

  void Resume() {
    this->paused = false;
    std::vector<std::function<void()>> pending_actions;
    pending_actions.swap(this->backlog);
    for (const std::function<void()>& action : pending_actions) {
      this->Deliver(action);
    }
  }

  // Ends the process. The backlog is dropped, because its actions may hold
  // references that would keep the owner of this object alive.
  void End() {
    this->alive = false;
    this->backlog.clear();
  }

  // Sends a request to a server. `serve` runs at the server; `done` receives
  // its answer, or nothing after the timeout. Messages can be lost or delayed
  // in both directions, so a request may take effect long after it has timed
  // out.
  template <typename Answer>
  void Call(std::function<std::optional<Answer>()> serve,
            std::function<void(std::optional<Answer>)> done) {
    const std::shared_ptr<FakeProcess> self = this->shared_from_this();
    const std::shared_ptr<bool> is_completed = std::make_shared<bool>(false);
    this->queue->After(kTimeout, [self, is_completed, done]() {
      if (!*is_completed) {
        *is_completed = true;
        self->Deliver([done]() { done(std::nullopt); });
      }
    });
    if (this->cut || this->random->Chance(0.03)) {
      return;
    }
    this->queue->After(this->Delay(), [self, is_completed, done, serve]() {
      const std::optional<Answer> answer = serve();
      if (!answer || self->cut || self->random->Chance(0.05)) {
        return;
      }
      self->queue->After(self->Delay(), [self, is_completed, done, answer]() {
        if (!*is_completed) {
          *is_completed = true;
          self->Deliver([done, answer]() { done(answer); });
        }
      });
    });
  }

  bool alive = true;
  bool paused = false;
  bool cut = false;

 private:
  static constexpr Duration kTimeout = Milliseconds(500);

  Duration Delay() {
    return this->random->Chance(0.05)
               ? this->random->DurationBelow(std::chrono::seconds(2))
               : this->random->DurationBelow(Milliseconds(5));
  }

  EventQueue* queue;
  Random* random;
  Duration clock_offset;
  double clock_rate;
  std::vector<std::function<void()>> backlog;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_SCHEDULE_FAKE_PROCESS_H_

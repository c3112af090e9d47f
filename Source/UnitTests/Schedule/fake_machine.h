#ifndef SOURCE_UNITTESTS_SCHEDULE_FAKE_MACHINE_H_
#define SOURCE_UNITTESTS_SCHEDULE_FAKE_MACHINE_H_

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Common/time.h"
#include "UnitTests/Schedule/event_queue.h"

namespace daisyroad {

// One process of a schedule: its clock, and whether it is alive, paused or cut
// off. What arrives while it is paused runs when it resumes.
class FakeMachine : public std::enable_shared_from_this<FakeMachine> {
 public:
  FakeMachine(EventQueue* queue, Random* random)
      : queue(queue),
        random(random),
        offset(random->DurationBelow(std::chrono::hours(1))),
        rate(0.995 + 0.01 * random->Fraction()) {}

  // Own clock: an arbitrary start and a rate that is off by up to 0.5%.
  MonotonicTime Clock() const {
    return MonotonicTime(
        this->offset +
        Duration(static_cast<Duration::rep>(
            static_cast<double>(this->queue->now().count()) * this->rate)));
  }

  void Deliver(std::function<void()> run) {
    if (!this->alive) {
      return;
    }
    if (this->paused) {
      this->backlog.push_back(std::move(run));
      return;
    }
    run();
  }

  void Resume() {
    this->paused = false;
    std::vector<std::function<void()>> waiting;
    waiting.swap(this->backlog);
    for (const std::function<void()>& run : waiting) {
      this->Deliver(run);
    }
  }

  // Ends the process. What it has not handled is dropped, and with it the
  // references by which the backlog would keep its owner alive.
  void End() {
    this->alive = false;
    this->backlog.clear();
  }

  // A request to a server: `serve` runs there; `done` gets its answer, or
  // nothing after the timeout. Both directions can lose or delay the message,
  // so a request may take effect long after it was given up.
  template <typename Answer>
  void Call(std::function<std::optional<Answer>()> serve,
            std::function<void(std::optional<Answer>)> done) {
    const std::shared_ptr<FakeMachine> self = this->shared_from_this();
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    this->queue->After(kTimeout, [self, answered, done]() {
      if (!*answered) {
        *answered = true;
        self->Deliver([done]() { done(std::nullopt); });
      }
    });
    if (this->cut || this->random->Chance(0.03)) {
      return;
    }
    this->queue->After(this->Delay(), [self, answered, done, serve]() {
      const std::optional<Answer> answer = serve();
      if (!answer || self->cut || self->random->Chance(0.05)) {
        return;
      }
      self->queue->After(self->Delay(), [self, answered, done, answer]() {
        if (!*answered) {
          *answered = true;
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
  Duration offset;
  double rate;
  std::vector<std::function<void()>> backlog;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_SCHEDULE_FAKE_MACHINE_H_

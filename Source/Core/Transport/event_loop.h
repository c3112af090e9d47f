#ifndef SOURCE_CORE_TRANSPORT_EVENT_LOOP_H_
#define SOURCE_CORE_TRANSPORT_EVENT_LOOP_H_

#include <functional>
#include <memory>
#include <vector>

#include "Core/Common/time.h"

namespace daisyroad {

// Single-threaded event loop of a program: runs posted functions, timers and
// signal handlers one at a time on the thread that calls Run() or RunFor(). If
// one of them throws, the exception is logged and the others still run.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Returns after Stop().
  void Run();
  // Runs the functions that become ready within `duration`, then returns.
  void RunFor(Duration duration);
  // Thread-safe.
  void Stop();
  // Thread-safe.
  void Post(std::function<void()> function);
  // Runs `function` once after `delay`.
  void After(Duration delay, std::function<void()> function);
  // Runs `function` every `period` until the loop stops.
  void Every(Duration period, std::function<void()> function);
  // Runs `function` with the signal number each time one of `signals` arrives.
  void OnSignals(const std::vector<int>& signals,
                 std::function<void(int)> function);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_TRANSPORT_EVENT_LOOP_H_

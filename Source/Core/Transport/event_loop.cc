#include "Core/Transport/event_loop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

#include "Core/Common/guarded_run.h"

namespace daisyroad {
class EventLoop::Impl {
 public:
  Impl() : work_guard(asio::make_work_guard(this->context)) {}

  void WaitForSignal() {
    this->signals->async_wait([this](const std::error_code& error, int signal) {
      if (error) {
        return;
      }
      this->signal_handler(signal);
      this->WaitForSignal();
    });
  }

  void ScheduleRepeating(
      const std::shared_ptr<asio::steady_timer>& timer,
      Duration period,
      const std::shared_ptr<std::function<void()>>& function) {
    timer->expires_after(period);
    timer->async_wait(
        [this, timer, period, function](const std::error_code& error) {
          if (error) {
            return;
          }
          RunGuarded(*function);
          this->ScheduleRepeating(timer, period, function);
        });
  }

  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_guard;
  std::unique_ptr<asio::signal_set> signals;
  std::function<void(int)> signal_handler;
};

EventLoop::EventLoop() : impl(std::make_unique<Impl>()) {}
EventLoop::~EventLoop() = default;

void EventLoop::Run() {
  while (!RunGuarded([this]() { this->impl->context.run(); })) {
  }
}

void EventLoop::RunFor(Duration duration) {
  this->impl->context.restart();
  const MonotonicTime end = std::chrono::steady_clock::now() + duration;
  while (!RunGuarded([this, end]() { this->impl->context.run_until(end); })) {
  }
}

void EventLoop::Stop() {
  this->impl->context.stop();
}

void EventLoop::Post(std::function<void()> function) {
  asio::post(this->impl->context, std::move(function));
}

void EventLoop::After(Duration delay, std::function<void()> function) {
  const std::shared_ptr<asio::steady_timer> timer =
      std::make_shared<asio::steady_timer>(this->impl->context, delay);
  timer->async_wait(
      [timer, function = std::move(function)](const std::error_code& error) {
        if (!error) {
          function();
        }
      });
}

void EventLoop::Every(Duration period, std::function<void()> function) {
  this->impl->ScheduleRepeating(
      std::make_shared<asio::steady_timer>(this->impl->context), period,
      std::make_shared<std::function<void()>>(std::move(function)));
}

void EventLoop::OnSignals(const std::vector<int>& signals,
                          std::function<void(int)> function) {
  this->impl->signals = std::make_unique<asio::signal_set>(this->impl->context);
  for (const int signal : signals) {
    this->impl->signals->add(signal);
  }
  this->impl->signal_handler = std::move(function);
  this->impl->WaitForSignal();
}

}  // namespace daisyroad

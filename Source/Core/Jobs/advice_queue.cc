#include "Core/Jobs/advice_queue.h"

#include <algorithm>

namespace daisyroad {
namespace {

// Added to the time that the advisor should take, for the network and for a
// slow advisor.
constexpr Milliseconds kGrace{2000};
// The advisor may take this many times the declared time.
constexpr int kSlowness = 2;
constexpr int kMaxPatience = 16;
// Minimum delay before a call is made again that was refused.
constexpr Milliseconds kMinRefusalPause{50};

}  // namespace

void AdviceQueue::Add(RequestId request, Milliseconds duration) {
  this->waiting.push_back(Request{request, duration});
}

std::vector<AdviceQueue::Call> AdviceQueue::TakeCalls(MonotonicTime now) {
  std::vector<Call> calls;
  while (
      !this->waiting.empty() && now >= this->no_calls_before &&
      (this->is_cautious ? this->window.size() == 0 : this->window.HasRoom())) {
    const Request request = this->waiting.front();
    this->waiting.pop_front();
    this->window.Add(request.duration);
    this->in_progress[request.id] = request.duration;
    calls.push_back(
        Call{request.id,
             this->patience * (kGrace + kSlowness * this->window.Work())});
  }
  return calls;
}

std::optional<MonotonicTime> AdviceQueue::NextCallAt() const {
  if (this->waiting.empty() || this->no_calls_before == MonotonicTime()) {
    return std::nullopt;
  }
  return this->no_calls_before;
}

Milliseconds AdviceQueue::EndCall(RequestId request) {
  const std::map<RequestId, Milliseconds>::iterator call =
      this->in_progress.find(request);
  const Milliseconds duration = call->second;
  this->window.Remove(duration);
  this->in_progress.erase(call);
  return duration;
}

void AdviceQueue::OnAnswered(RequestId request) {
  this->EndCall(request);
  this->patience = 1;
  this->is_cautious = false;
  this->no_calls_before = MonotonicTime();
}

void AdviceQueue::OnRefused(RequestId request, MonotonicTime now) {
  const Milliseconds duration = this->EndCall(request);
  this->waiting.push_front(Request{request, duration});
  this->is_cautious = true;
  // By then the advisor has answered one of those in line.
  this->no_calls_before = now + std::max(duration, kMinRefusalPause);
}

void AdviceQueue::OnLost(RequestId request, bool is_received) {
  this->EndCall(request);
  if (is_received) {
    this->patience = std::min(2 * this->patience, kMaxPatience);
    this->is_cautious = true;
  }
}

}  // namespace daisyroad

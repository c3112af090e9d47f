#include "Core/Site/advice_dispatcher.h"

#include <utility>

#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Platform/advice_client.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

const char* OutcomeOf(const Result<std::vector<PlacementTicket>>& answer) {
  if (answer.ok()) {
    return "outcome=\"answered\"";
  }
  return answer.error().code == Errc::kResourceExhausted ? "outcome=\"refused\""
                                                         : "outcome=\"lost\"";
}

}  // namespace

AdviceDispatcher::AdviceDispatcher(AdviceClient* client,
                                   EventLoop* loop,
                                   MetricsRegistry* metrics)
    : client(client), loop(loop), metrics(metrics) {}

void AdviceDispatcher::Ask(const AskAdvice& question, Callback callback) {
  const AdviceQueue::RequestId request = this->next_request++;
  this->questions[request] = Question{question, std::move(callback)};
  this->queue.Add(request, question.duration);
  this->SendCalls();
}

void AdviceDispatcher::SendCalls() {
  const MonotonicTime now = Now();
  const std::weak_ptr<bool> alive = this->is_alive;
  for (const AdviceQueue::Call& call : this->queue.TakeCalls(now)) {
    this->client->Ask(this->questions.at(call.request).question, call.timeout,
                      [this, alive, request = call.request](
                          const Result<std::vector<PlacementTicket>>& answer) {
                        if (!alive.expired()) {
                          this->OnAnswer(request, answer);
                        }
                      });
  }
  const std::optional<MonotonicTime> next = this->queue.NextCallAt();
  if (!next || *next <= now || this->is_timer_set) {
    return;
  }
  this->is_timer_set = true;
  this->loop->After(*next - now, [this, alive]() {
    if (!alive.expired()) {
      this->is_timer_set = false;
      this->SendCalls();
    }
  });
}

void AdviceDispatcher::OnAnswer(
    AdviceQueue::RequestId request,
    const Result<std::vector<PlacementTicket>>& answer) {
  ++this->metrics->Counter("daisyroad_advice_calls_total", OutcomeOf(answer));
  if (!answer.ok() && answer.error().code == Errc::kResourceExhausted) {
    this->queue.OnRefused(request, Now());
    this->SendCalls();
    return;
  }
  if (answer.ok()) {
    this->queue.OnAnswered(request);
  } else {
    CLOG(WARNING, kTasksLog)
        << "event=no_advice step="
        << this->questions.at(request).question.step.ToString() << " error=\""
        << answer.error().ToString() << "\"";
    this->queue.OnLost(request, answer.error().code != Errc::kUnavailable);
  }
  const Callback callback = std::move(this->questions.at(request).callback);
  this->questions.erase(request);
  this->SendCalls();
  callback(answer);
}

}  // namespace daisyroad

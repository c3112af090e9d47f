#ifndef SOURCE_CORE_SITE_ADVICE_DISPATCHER_H_
#define SOURCE_CORE_SITE_ADVICE_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Jobs/advice_queue.h"
#include "Core/Jobs/order.h"
#include "Core/Jobs/placement_ticket.h"

namespace daisyroad {

class AdviceClient;
class EventLoop;
class MetricsRegistry;

// Sends the requests of all schedulers of this instance to the placement
// advisor as an AdviceQueue decides.
class AdviceDispatcher {
 public:
  using Callback = std::function<void(Result<std::vector<PlacementTicket>>)>;

  // All arguments must outlive this object.
  AdviceDispatcher(AdviceClient* client,
                   EventLoop* loop,
                   MetricsRegistry* metrics);

  // `callback` is called once, with an error if the answer is lost.
  void Ask(const AskAdvice& question, Callback callback);

 private:
  struct Question {
    AskAdvice question;
    Callback callback;
  };

  void SendCalls();
  void OnAnswer(AdviceQueue::RequestId request,
                const Result<std::vector<PlacementTicket>>& answer);

  AdviceClient* client;
  EventLoop* loop;
  MetricsRegistry* metrics;
  AdviceQueue queue;
  std::map<AdviceQueue::RequestId, Question> questions;
  AdviceQueue::RequestId next_request = 1;
  bool is_timer_set = false;
  std::shared_ptr<bool> is_alive = std::make_shared<bool>(true);
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_ADVICE_DISPATCHER_H_

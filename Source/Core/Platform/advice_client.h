#ifndef SOURCE_CORE_PLATFORM_ADVICE_CLIENT_H_
#define SOURCE_CORE_PLATFORM_ADVICE_CLIENT_H_

#include <functional>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Jobs/order.h"
#include "Core/Jobs/placement_ticket.h"

namespace daisyroad {

// Asks the placement advisor on which workers the policy of a queue allows a
// step to run.
class AdviceClient {
 public:
  virtual ~AdviceClient() = default;

  // `timeout` must cover the requests that the advisor answers first.
  virtual void Ask(
      const AskAdvice& question,
      Milliseconds timeout,
      std::function<void(Result<std::vector<PlacementTicket>>)> callback) = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_ADVICE_CLIENT_H_

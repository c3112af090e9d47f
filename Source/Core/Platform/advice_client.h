#ifndef SOURCE_CORE_PLATFORM_ADVICE_CLIENT_H_
#define SOURCE_CORE_PLATFORM_ADVICE_CLIENT_H_

#include <functional>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Jobs/order.h"
#include "Core/Jobs/placement_ticket.h"

namespace daisyroad {

// Asks which workers a queue's policy allows for a step.
class AdviceClient {
 public:
  virtual ~AdviceClient() = default;

  virtual void Ask(
      const AskAdvice& question,
      std::function<void(Result<std::vector<PlacementTicket>>)> callback) = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_ADVICE_CLIENT_H_

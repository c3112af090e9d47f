#ifndef SOURCE_CORE_JOBS_ADVICE_QUEUE_H_
#define SOURCE_CORE_JOBS_ADVICE_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Jobs/advice_window.h"

namespace daisyroad {

// Decides when the requests of all schedulers of an entry instance are sent to
// the placement advisor, which answers them one after the other, and how long
// each is waited for. The class does no I/O.
//
// The advisor also answers requests that are no longer waited for, so giving up
// one that is still in line and sending it again makes the line longer.
class AdviceQueue {
 public:
  using RequestId = std::int64_t;

  struct Call {
    RequestId request = 0;
    // Time after which the answer must be lost.
    Milliseconds timeout{0};
  };

  // Adds a request that the advisor takes `duration` to answer.
  void Add(RequestId request, Milliseconds duration);

  // Returns the calls to make now.
  std::vector<Call> TakeCalls(MonotonicTime now);
  // When TakeCalls() is to be called again, apart from after each of the
  // functions below; empty if nothing waits for a point in time.
  std::optional<MonotonicTime> NextCallAt() const;

  void OnAnswered(RequestId request);
  // The advisor did not accept the call, as too many are in line. The request
  // keeps its place.
  void OnRefused(RequestId request, MonotonicTime now);
  // The call got no answer, and is not made again. It may still be in line
  // unless the advisor never received it.
  void OnLost(RequestId request, bool is_received);

 private:
  struct Request {
    RequestId id = 0;
    Milliseconds duration{0};
  };

  // Removes the call from the window and returns its duration.
  Milliseconds EndCall(RequestId request);

  std::deque<Request> waiting;
  std::map<RequestId, Milliseconds> in_progress;
  AdviceWindow window;
  // Doubled when an answer is lost, since the line may be longer than known.
  int patience = 1;
  // One call at a time until the advisor answers again.
  bool is_cautious = false;
  MonotonicTime no_calls_before;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_ADVICE_QUEUE_H_

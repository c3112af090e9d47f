#ifndef SOURCE_CORE_JOBS_ADVICE_WINDOW_H_
#define SOURCE_CORE_JOBS_ADVICE_WINDOW_H_

#include "Core/Common/time.h"

namespace daisyroad {

// Limits the unanswered requests to a peer that answers one after the other.
// A request that is sent later than necessary costs nothing, but one that is
// sent earlier can no longer give way to a more urgent one.
class AdviceWindow {
 public:
  // `duration` is the time that the peer takes to answer the request.
  void Add(Milliseconds duration) {
    ++this->requests;
    this->work += duration;
  }
  void Remove(Milliseconds duration) {
    --this->requests;
    this->work -= duration;
  }

  // Whether another request is needed to keep the peer busy.
  bool HasRoom() const {
    return this->requests < kMinRequests ||
           (this->requests < kMaxRequests && this->work < kMaxWork);
  }
  int size() const { return this->requests; }
  // Time until all requests are answered if the peer begins now.
  Milliseconds Work() const { return this->work; }

 private:
  // While one request is answered, the next one is there already.
  static constexpr int kMinRequests = 2;
  // Half of what the advisor lets an entry instance queue, since an earlier
  // process of the instance may have left some.
  static constexpr int kMaxRequests = 16;
  static constexpr Milliseconds kMaxWork{100};

  int requests = 0;
  Milliseconds work{0};
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_ADVICE_WINDOW_H_

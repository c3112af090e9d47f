#ifndef SOURCE_CORE_PLATFORM_STORE_PACER_H_
#define SOURCE_CORE_PLATFORM_STORE_PACER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Core/Common/error.h"
#include "Core/Common/random.h"
#include "Core/Platform/store_call_policy.h"

namespace daisyroad {

class EventLoop;
class MetricsRegistry;

// Sends the calls of one instance to the store when its policy says so, and
// counts them. Shared by all callers of the store.
class StorePacer : public std::enable_shared_from_this<StorePacer> {
 public:
  struct Call {
    StoreCallClass call_class = StoreCallClass::kRead;
    std::string kind;  // of the request, for example "list"
    std::string key;   // with the kind it identifies repetitions
    Milliseconds longest_hold{0};
  };
  // `held` is the time for which the call was held back.
  using Sender = std::function<void(Milliseconds held)>;

  // `loop` and `metrics` must outlive this object.
  StorePacer(EventLoop* loop,
             MetricsRegistry* metrics,
             const StoreCallSettings& settings,
             std::uint64_t seed);
  StorePacer(const StorePacer&) = delete;
  StorePacer& operator=(const StorePacer&) = delete;

  // Drops the calls that are held back and sends no more.
  void Stop();
  // Calls `send` now or later.
  void Start(const Call& call, Sender send);
  // Records the answer of a call that was sent; `error` is null if it
  // succeeded.
  void Record(const Call& call, const Error* error);

 private:
  struct HeldCall {
    MonotonicTime since;
    Sender send;
  };
  // What happened since the store last answered as it should.
  struct Trouble {
    MonotonicTime since;
    std::map<std::string, std::int64_t> failed;  // by kind
    std::int64_t held = 0;
    bool is_logged = false;
  };

  void Hold(const Call& call, MonotonicTime until, Sender send);
  void Send(const std::pair<StoreCallClass, std::int64_t>& id);
  void ReleaseHeldCalls();
  void LogTrouble(const Error& error, MonotonicTime now);
  void LogTroubleOver(MonotonicTime now);
  void Count(const std::string& name, const std::string& labels);

  EventLoop* loop;
  MetricsRegistry* metrics;
  const bool is_paced;
  bool is_stopped = false;
  StoreCallPolicy policy;
  Random random;
  // By class, the most urgent first, then by age.
  std::map<std::pair<StoreCallClass, std::int64_t>, HeldCall> held_calls;
  std::int64_t last_id = 0;
  Trouble trouble;
  MonotonicTime next_line;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_STORE_PACER_H_

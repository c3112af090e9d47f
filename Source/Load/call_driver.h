#ifndef SOURCE_LOAD_CALL_DRIVER_H_
#define SOURCE_LOAD_CALL_DRIVER_H_

#include <json/value.h>

#include <cstddef>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Common/result.h"
#include "Core/Transport/http_client.h"
#include "Load/call_record.h"
#include "Load/call_settings.h"

namespace daisyroad {

class EventLoop;

// Sends planned calls, retries them through other entry instances if the
// `outcome` of the response allows it, and checks every answer against its
// request. Runs on the thread of the event loop.
class CallDriver {
 public:
  CallDriver(EventLoop* loop,
             CallSettings settings,
             const std::vector<PlannedCall>& calls);

  // Schedules each call at its offset from `start`.
  void Start(MonotonicTime start);
  bool finished() const { return this->unfinished == 0; }
  const std::vector<CallRecord>& records() const { return this->calls; }

 private:
  struct Progress {
    MonotonicTime give_up_time;
    int retries = 0;
  };

  void SendDue();
  void Submit(std::size_t index);
  void Poll(std::size_t index);
  void Cancel(std::size_t index);
  void OnReply(std::size_t index,
               const Result<HttpResponse>& reply,
               bool is_poll);
  void OnTaskResponse(std::size_t index, const HttpResponse& response);
  void OnErrorResponse(std::size_t index,
                       const HttpResponse& response,
                       bool is_poll);
  void OnDone(CallRecord* record, const Json::Value& task);
  void Retry(std::size_t index, bool is_poll);
  void End(CallRecord* record, CallState state);
  HttpClientRequest NewRequest(const CallRecord& record);

  EventLoop* loop;
  CallSettings settings;
  std::vector<CallRecord> calls;
  std::vector<Progress> progress;
  std::size_t unfinished;
  std::size_t next_due = 0;
  std::size_t next_entry = 0;
  MonotonicTime start;
  Random random;
  HttpClient http;
};

}  // namespace daisyroad

#endif  // SOURCE_LOAD_CALL_DRIVER_H_

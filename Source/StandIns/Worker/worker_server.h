#ifndef SOURCE_STANDINS_WORKER_WORKER_SERVER_H_
#define SOURCE_STANDINS_WORKER_WORKER_SERVER_H_

#include <cstdint>
#include <functional>
#include <list>
#include <set>
#include <string>
#include <vector>

#include "Core/Transport/http_message.h"
#include "Core/Transport/http_server.h"
#include "StandIns/Common/fault_settings.h"
#include "StandIns/Worker/worker_state.h"

namespace daisyroad {

class EventLoop;

// HTTP server of one stand-in worker. Implements docs/worker-protocol.md on top
// of a WorkerState, and injects faults.
class WorkerServer {
 public:
  struct Options {
    std::string name;
    std::uint16_t port = 0;
    int slots = 8;
    Milliseconds reboot_time{1000};
    // Called when the worker starts leaving and when it returns.
    std::function<void(bool leaving)> on_leaving_change;
  };

  WorkerServer(EventLoop* loop, Options options);

  daisyroad::Status Start();
  void Stop();
  // Ends due tasks and answers polls that have results or have timed out.
  void Tick(MonotonicTime now);

 private:
  struct Poll {
    std::string holder;
    MonotonicTime deadline;
    HttpResponder respond;
  };

  void Handle(const HttpRequest& request, const HttpResponder& respond);
  void HandleStandIn(const HttpRequest& request, const HttpResponder& respond);
  void Serve(const HttpRequest& request, const HttpResponder& respond);
  void ServeStart(const HttpRequest& request,
                  const TaskId& id,
                  const HttpResponder& respond);
  void ServeTask(const HttpRequest& request,
                 const std::string& rest,
                 const HttpResponder& respond);
  void ServeLeases(const Json::Value& body, const HttpResponder& respond);
  void ServeFinished(const Json::Value& body, const HttpResponder& respond);
  void ServeStatus(const HttpResponder& respond);
  void Reboot();
  // Returns false if a command names an incarnation other than the current one.
  bool MatchesIncarnation(const Json::Value& body) const;
  Json::Value MakeReplyBase() const;
  Json::Value TaskToJson(const WorkerState::Task& task) const;
  Json::Value FinishedBody(const std::string& holder) const;
  Json::Value StartRecords() const;
  std::string NextIncarnation();

  EventLoop* loop;
  Options options;
  int boot_count = 0;
  WorkerState state;
  FaultSettings faults;
  bool is_rebooting = false;
  // Peers seen so far, and those whose connections no longer get answers. New
  // connections have new peer addresses and work.
  std::set<std::string> seen_peers;
  std::set<std::string> silent_peers;
  std::list<Poll> polls;
  HttpServer server;
};

}  // namespace daisyroad

#endif  // SOURCE_STANDINS_WORKER_WORKER_SERVER_H_

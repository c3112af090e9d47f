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

// One stand-in worker: the protocol of docs/worker-protocol.md over a
// WorkerState, and its faults.
class WorkerServer {
 public:
  struct Options {
    std::string name;
    std::uint16_t port = 0;
    int slots = 8;
    Milliseconds reboot_time{1000};
    // Runs when the worker becomes leaving or returns.
    std::function<void(bool leaving)> on_state;
  };

  WorkerServer(EventLoop* loop, Options options);

  daisyroad::Status Start();
  void Stop();
  // Ends due tasks and answers waiting polls.
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
  // False if a command names another incarnation than the one that runs.
  bool IsMeant(const Json::Value& body) const;
  Json::Value Envelope() const;
  Json::Value Describe(const WorkerState::Task& task) const;
  Json::Value FinishedBody(const std::string& holder) const;
  Json::Value StartRecords() const;
  std::string NextIncarnation();

  EventLoop* loop;
  Options options;
  int boots = 0;
  WorkerState state;
  FaultSettings faults;
  bool rebooting = false;
  // Clients whose open connections are silent; new connections work.
  std::set<std::string> connected;
  std::set<std::string> silenced;
  std::list<Poll> polls;
  HttpServer server;
};

}  // namespace daisyroad

#endif  // SOURCE_STANDINS_WORKER_WORKER_SERVER_H_

#ifndef SOURCE_CORE_ENTRY_MONITORED_WORKER_CLIENT_H_
#define SOURCE_CORE_ENTRY_MONITORED_WORKER_CLIENT_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Platform/worker_client.h"
#include "Core/Routing/connection_monitor.h"

namespace daisyroad {

struct EntryContext;

// Passes requests on to another client and watches for connections that stay
// open but carry nothing. A request without an answer within the request
// timeout triggers a probe on a new connection. If only that one answers, the
// kept connections of the worker are given up.
//
// An HTTP/1.1 connection carries one request at a time, so a request stands for
// its connection in ConnectionMonitor.
class MonitoredWorkerClient : public WorkerClient {
 public:
  // `status` is the answer to the probe.
  using SilentHandler = std::function<void(const std::string& address,
                                           const WorkerStatus& status)>;

  // `next` must outlive this object.
  MonitoredWorkerClient(EntryContext* context, WorkerClient* next);

  void Watch(SilentHandler handler);

  void Start(const std::string& address,
             const StartTask& task,
             Milliseconds timeout,
             StartCallback callback) override;
  void Report(const std::string& address,
              const TaskId& task,
              bool fresh_connection,
              ReportCallback callback) override;
  void WaitFinished(const std::string& address,
                    const std::string& holder,
                    const std::vector<TaskId>& acknowledged,
                    Milliseconds wait,
                    FinishedCallback callback) override;
  void RenewLeases(const std::string& address,
                   const std::string& holder,
                   const std::vector<TaskId>& tasks,
                   Milliseconds lease,
                   WorkerClock renew_before,
                   LeaseCallback callback) override;
  void Status(const std::string& address,
              bool fresh_connection,
              StatusCallback callback) override;
  void Command(const std::string& address,
               WorkerCommand command,
               const TaskId& task,
               const std::string& incarnation,
               CommandCallback callback) override;
  void RetireConnections(const std::string& address) override;
  void ExpectFinished(const std::string& address) override;

 private:
  struct Exchange {
    std::string address;
    bool poll = false;
    bool ended = false;  // without an answer
  };

  RequestId Begin(const std::string& address, bool poll);
  void End(RequestId id, const std::error_code& error);
  void Tick();
  void Probe(const std::string& address);
  void OnProbe(const std::string& address, const Result<WorkerStatus>& status);
  void GiveUp(const std::string& address, const WorkerStatus& status);
  void Forget(RequestId id);

  EntryContext* context;
  WorkerClient* next;
  SilentHandler handler;
  ConnectionMonitor monitor;
  std::map<RequestId, Exchange> exchanges;
  // Requests that wait for the probe of their worker.
  std::map<std::string, std::set<RequestId>> probing;
  RequestId next_id = 1;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_MONITORED_WORKER_CLIENT_H_

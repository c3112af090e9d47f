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

// Forwards requests to another client and detects connections that stay open
// but carry no data ("silent" connections). A request without a reply within
// the request timeout triggers a probe on a new connection. If only the probe
// is answered, the existing connections to the worker are retired.
//
// An HTTP/1.1 connection carries one request at a time, so ConnectionMonitor
// identifies a connection by its request.
class MonitoredWorkerClient : public WorkerClient {
 public:
  // `status` is the reply to the probe.
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
    bool is_poll = false;
    bool has_timed_out = false;
  };

  RequestId BeginExchange(const std::string& address, bool is_poll);
  void EndExchange(RequestId id, const std::error_code& error);
  void Tick();
  void Probe(const std::string& address);
  void OnProbe(const std::string& address, const Result<WorkerStatus>& status);
  void RetireSilent(const std::string& address, const WorkerStatus& status);
  void RemoveExchange(RequestId id);

  EntryContext* context;
  WorkerClient* next;
  SilentHandler handler;
  ConnectionMonitor monitor;
  std::map<RequestId, Exchange> exchanges;
  // Requests that wait for the result of a probe, by address of the worker.
  std::map<std::string, std::set<RequestId>> awaiting_probe;
  RequestId next_id = 1;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_MONITORED_WORKER_CLIENT_H_

#ifndef SOURCE_CORE_PLATFORM_HTTP_WORKER_CLIENT_H_
#define SOURCE_CORE_PLATFORM_HTTP_WORKER_CLIENT_H_

#include <string>
#include <vector>

#include <json/value.h>

#include "Core/Platform/worker_client.h"

namespace daisyroad {

class HttpClient;

// Client of the HTTP/JSON worker protocol in docs/worker-protocol.md.
class HttpWorkerClient : public WorkerClient {
 public:
  // `http` must outlive this object; `zone` is sent as X-Zone.
  HttpWorkerClient(HttpClient* http, std::string zone, Milliseconds timeout);

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

 private:
  using JsonCallback = std::function<void(Result<Json::Value>, int status)>;

  // Parses the response as a JSON object, whatever its status. A response
  // without the worker's clock or incarnation is an error.
  void SendRequest(const std::string& method,
                   const std::string& address,
                   const std::string& path,
                   const std::string& body,
                   Milliseconds timeout,
                   bool fresh_connection,
                   const std::string& step,
                   JsonCallback callback);

  HttpClient* http;
  std::string zone;
  Milliseconds timeout;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_HTTP_WORKER_CLIENT_H_

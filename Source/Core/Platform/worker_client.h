#ifndef SOURCE_CORE_PLATFORM_WORKER_CLIENT_H_
#define SOURCE_CORE_PLATFORM_WORKER_CLIENT_H_

#include <functional>
#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Platform/worker_messages.h"

namespace daisyroad {

enum class WorkerCommand { kStop, kCheckpoint, kThrottle, kDrain, kReboot };

// Client of backend server instances, which are addressed by host:port. All
// calls are asynchronous.
//
// Errors: kUnavailable means that the request was certainly not received; after
// any other error it may have been.
class WorkerClient {
 public:
  using StartCallback = std::function<void(Result<StartReply>)>;
  using ReportCallback = std::function<void(Result<TaskReport>)>;
  using FinishedCallback = std::function<void(Result<std::vector<TaskReport>>)>;
  using LeaseCallback = std::function<void(Result<LeaseReply>)>;
  using StatusCallback = std::function<void(Result<WorkerStatus>)>;
  using CommandCallback = std::function<void(Status)>;

  virtual ~WorkerClient() = default;

  virtual void Start(const std::string& address,
                     const StartTask& task,
                     Milliseconds timeout,
                     StartCallback callback) = 0;
  // Gets the state and the answer of a task. Uses a new connection if
  // `fresh_connection`.
  virtual void Report(const std::string& address,
                      const TaskId& task,
                      bool fresh_connection,
                      ReportCallback callback) = 0;
  // Gets the tasks of `holder` that have ended; waits up to `wait` for one.
  // Each is reported until it is acknowledged.
  virtual void WaitFinished(const std::string& address,
                            const std::string& holder,
                            const std::vector<TaskId>& acknowledged,
                            Milliseconds wait,
                            FinishedCallback callback) = 0;
  virtual void RenewLeases(const std::string& address,
                           const std::string& holder,
                           const std::vector<TaskId>& tasks,
                           Milliseconds lease,
                           WorkerClock renew_before,
                           LeaseCallback callback) = 0;
  virtual void Status(const std::string& address,
                      bool fresh_connection,
                      StatusCallback callback) = 0;
  // `task` is empty for kDrain and kReboot. A worker whose incarnation is not
  // `incarnation` rejects the command with kConflict; an empty `incarnation`
  // matches any.
  virtual void Command(const std::string& address,
                       WorkerCommand command,
                       const TaskId& task,
                       const std::string& incarnation,
                       CommandCallback callback) = 0;
  // Fails the requests to the worker that are in progress with kTimeout and
  // does not reuse the existing connections to it. Only for clients that keep
  // connections open.
  virtual void RetireConnections(const std::string& /*address*/) {}
  // Called when a task of this holder has ended at the worker and was not
  // reported, so a WaitFinished in progress should complete now. Only for
  // clients that monitor their connections.
  virtual void ExpectFinished(const std::string& /*address*/) {}
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_WORKER_CLIENT_H_

#ifndef SOURCE_CORE_PLATFORM_WORKER_CLIENT_H_
#define SOURCE_CORE_PLATFORM_WORKER_CLIENT_H_

#include <functional>
#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Platform/worker_messages.h"

namespace daisyroad {

enum class WorkerCommand { kStop, kCheckpoint, kThrottle, kDrain, kReboot };

// A backend server instance, by its address (host:port). All calls are
// asynchronous.
//
// Errors: kUnavailable if the request was certainly not received; after any
// other error it may have been.
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
  // State and answer; asks on a new connection if `fresh_connection`.
  virtual void Report(const std::string& address,
                      const TaskId& task,
                      bool fresh_connection,
                      ReportCallback callback) = 0;
  // Tasks of `holder` that ended; waits up to `wait` for one. Each is reported
  // until it is acknowledged.
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
  // `task` is empty for kDrain and kReboot. A worker of another incarnation
  // than `incarnation` refuses the command (kConflict); empty: any incarnation.
  virtual void Command(const std::string& address,
                       WorkerCommand command,
                       const TaskId& task,
                       const std::string& incarnation,
                       CommandCallback callback) = 0;
  // Ends the requests to the worker that are in progress, with kTimeout, and
  // uses none of the connections made so far again. For clients that keep
  // connections.
  virtual void RetireConnections(const std::string& /*address*/) {}
  // A task of this holder has ended at the worker and was not reported, so a
  // WaitFinished in progress should be answered now. For clients that watch
  // their connections.
  virtual void ExpectFinished(const std::string& /*address*/) {}
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_WORKER_CLIENT_H_

#ifndef SOURCE_UNITTESTS_DISPATCH_FAKE_WORKERS_H_
#define SOURCE_UNITTESTS_DISPATCH_FAKE_WORKERS_H_

#include <map>
#include <string>
#include <vector>

#include "Core/Platform/worker_client.h"

namespace daisyroad {

// In-memory worker client. Records every call, so that the test can answer it.
class FakeWorkers : public WorkerClient {
 public:
  struct StartCall {
    std::string address;
    StartTask task;
    StartCallback answer;
  };
  struct ReportCall {
    std::string address;
    TaskId task;
    bool fresh_connection;
    ReportCallback answer;
  };
  struct LeaseCall {
    std::string address;
    LeaseCallback answer;
  };
  struct StatusCall {
    std::string address;
    bool fresh_connection;
    StatusCallback answer;
  };
  struct PollCall {
    std::string address;
    FinishedCallback answer;
  };
  struct CommandCall {
    WorkerCommand command;
    TaskId task;
    CommandCallback answer;
  };

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
  void RetireConnections(const std::string& address) override {
    this->retired.push_back(address);
  }

  std::vector<StartCall> starts;
  std::vector<ReportCall> reports;
  std::vector<LeaseCall> leases;
  std::vector<StatusCall> statuses;
  std::vector<PollCall> polls;
  std::vector<CommandCall> commands;
  std::vector<std::string> retired;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_DISPATCH_FAKE_WORKERS_H_

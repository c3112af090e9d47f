#include "UnitTests/Dispatch/fake_workers.h"

#include <utility>

namespace daisyroad {

void FakeWorkers::Start(const std::string& address,
                        const StartTask& task,
                        Milliseconds,
                        StartCallback callback) {
  this->starts.push_back({address, task, std::move(callback)});
}

void FakeWorkers::Report(const std::string& address,
                         const TaskId& task,
                         bool fresh_connection,
                         ReportCallback callback) {
  this->reports.push_back(
      {address, task, fresh_connection, std::move(callback)});
}

void FakeWorkers::WaitFinished(const std::string& address,
                               const std::string&,
                               const std::vector<TaskId>&,
                               Milliseconds,
                               FinishedCallback callback) {
  this->polls.push_back({address, std::move(callback)});
}

void FakeWorkers::RenewLeases(const std::string& address,
                              const std::string&,
                              const std::vector<TaskId>&,
                              Milliseconds,
                              WorkerClock,
                              LeaseCallback callback) {
  this->leases.push_back({address, std::move(callback)});
}

void FakeWorkers::Status(const std::string& address,
                         bool fresh_connection,
                         StatusCallback callback) {
  this->statuses.push_back({address, fresh_connection, std::move(callback)});
}

void FakeWorkers::Command(const std::string&,
                          WorkerCommand command,
                          const TaskId& task,
                          const std::string&,
                          CommandCallback callback) {
  this->commands.push_back({command, task, std::move(callback)});
}

}  // namespace daisyroad

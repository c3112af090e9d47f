#ifndef SOURCE_UNITTESTS_ENTRY_FLEET_FAKE_WORKERS_H_
#define SOURCE_UNITTESTS_ENTRY_FLEET_FAKE_WORKERS_H_

#include <map>
#include <string>
#include <vector>

#include "Core/Platform/worker_client.h"

namespace daisyroad {

// Workers that answer synchronously. A reboot completes when Boot() is called.
class FleetFakeWorkers : public WorkerClient {
 public:
  struct Worker {
    WorkerStatus status;
    bool is_unreachable = false;
    bool reboots_after_status = false;  // reboots unprompted after each answer
    int drains = 0;
    int reboots = 0;
    int refused = 0;  // refused commands for another incarnation
  };
  std::map<std::string, Worker> workers;  // by address

  void Boot(const std::string& address) {
    Worker& worker = this->workers[address];
    worker.status.incarnation =
        address + "-" + std::to_string(++this->incarnations);
    worker.status.leaving = false;
    worker.status.slots = 8;
  }

  void Status(const std::string& address,
              bool,
              StatusCallback callback) override {
    Worker& worker = this->workers[address];
    if (worker.is_unreachable) {
      callback(Error{Errc::kTimeout, "worker.status", address, "broken"});
      return;
    }
    const WorkerStatus status = worker.status;
    if (worker.reboots_after_status) {
      this->Boot(address);
    }
    callback(status);
  }

  void Command(const std::string& address,
               WorkerCommand command,
               const TaskId&,
               const std::string& incarnation,
               CommandCallback callback) override {
    Worker& worker = this->workers[address];
    if (incarnation != worker.status.incarnation) {
      ++worker.refused;
      callback(Error{Errc::kConflict, "worker.command", address, "409"});
      return;
    }
    worker.drains += command == WorkerCommand::kDrain ? 1 : 0;
    worker.reboots += command == WorkerCommand::kReboot ? 1 : 0;
    worker.status.leaving = true;
    callback(OkStatus());
  }

  void Start(const std::string&,
             const StartTask&,
             Milliseconds,
             StartCallback) override {}
  void Report(const std::string&,
              const TaskId&,
              bool,
              ReportCallback) override {}
  void WaitFinished(const std::string&,
                    const std::string&,
                    const std::vector<TaskId>&,
                    Milliseconds,
                    FinishedCallback) override {}
  void RenewLeases(const std::string&,
                   const std::string&,
                   const std::vector<TaskId>&,
                   Milliseconds,
                   WorkerClock,
                   LeaseCallback) override {}

 private:
  int incarnations = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_ENTRY_FLEET_FAKE_WORKERS_H_

#ifndef SOURCE_UNITTESTS_SITE_FAKE_WORKER_CLIENT_H_
#define SOURCE_UNITTESTS_SITE_FAKE_WORKER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Platform/run_client.h"
#include "Core/Transport/event_loop.h"
#include "UnitTests/Jobs/fake_worker.h"

namespace daisyroad {

// Delivers orders to fake workers within a millisecond. A worker that is down
// refuses connections.
class FakeWorkerClient : public RunClient {
 public:
  explicit FakeWorkerClient(EventLoop* loop) : loop(loop) {}

  // Starts a new process of the worker.
  void Boot(const WorkerName& worker) {
    this->processes[worker] = std::make_unique<FakeWorker>(Now());
  }
  void Crash(const WorkerName& worker) { this->processes.erase(worker); }
  // Cuts the worker off or connects it again; its runs go on.
  void SetReachable(const WorkerName& worker, bool is_reachable) {
    if (is_reachable) {
      this->unreachable.erase(worker);
    } else {
      this->unreachable.insert(worker);
    }
  }
  // The start time of the worker's process, as its reports tell it.
  std::int64_t IncarnationOf(const WorkerName& worker) {
    return this->processes.at(worker)
        ->Report(AskReport(), 0, Now())
        ->incarnation;
  }
  // The workers on which the task runs.
  std::vector<WorkerName> WorkersOf(const TaskRef& task) {
    std::vector<WorkerName> workers;
    for (const std::pair<const WorkerName, std::unique_ptr<FakeWorker>>& entry :
         this->processes) {
      entry.second->Advance(Now());
      if (entry.second->runs().contains(task)) {
        workers.push_back(entry.first);
      }
    }
    return workers;
  }

  void Start(const WorkerListing& worker,
             const StartRun& order,
             std::int64_t fence,
             std::function<void(StartAnswer)> callback) override {
    FakeWorker* const process = this->Find(worker.name);
    StartAnswer answer;
    if (process == nullptr) {
      answer.outcome = StartOutcome::kNotReceived;
    } else {
      answer.outcome =
          process->Start(order, fence, FakeWorker::RunPlan(), Now());
      answer.worker_clock = process->Clock(Now());
    }
    this->Respond([callback, answer]() { callback(answer); });
  }
  void Stop(const WorkerListing& worker,
            const StopRun& order,
            std::int64_t fence,
            std::function<void(Status)> callback) override {
    FakeWorker* const process = this->Find(worker.name);
    const Status status = process == nullptr ? Status(Unreachable())
                          : process->Stop(order, fence, Now())
                              ? OkStatus()
                              : Status(Error{Errc::kConflict, "stop", "", ""});
    this->Respond([callback, status]() { callback(status); });
  }
  void Pace(const WorkerListing&,
            const PaceRun&,
            std::int64_t,
            std::function<void(Status)>) override {}
  void Report(const WorkerListing& worker,
              const AskReport& order,
              std::int64_t fence,
              std::function<void(Result<RunReport>)> callback) override {
    FakeWorker* const process = this->Find(worker.name);
    if (process != nullptr) {
      // The lease counts from the arrival of the request.
      process->Report(order, fence, Now());
    }
    this->HoldReport(worker.name, process, order, fence, Now() + order.wait,
                     std::move(callback));
  }

 private:
  static constexpr Milliseconds kHoldInterval{2};

  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }
  static Error Unreachable() {
    return Error{Errc::kUnavailable, "worker", "", "no connection"};
  }

  // Answers at `until`, or when the process has ended.
  void HoldReport(const WorkerName& worker,
                  const FakeWorker* process,
                  const AskReport& order,
                  std::int64_t fence,
                  MonotonicTime until,
                  std::function<void(Result<RunReport>)> callback) {
    this->loop->After(kHoldInterval, [this, worker, process, order, fence,
                                      until, callback]() {
      FakeWorker* const current = this->Find(worker);
      if (current == nullptr || current != process) {
        callback(Unreachable());
      } else if (Now() < until) {
        this->HoldReport(worker, process, order, fence, until, callback);
      } else if (const std::optional<RunReport> report =
                     current->Report(order, fence, Now())) {
        callback(*report);
      } else {
        callback(Error{Errc::kConflict, "report", "", "fenced"});
      }
    });
  }

  // Null if the worker is down or cut off.
  FakeWorker* Find(const WorkerName& worker) {
    if (this->unreachable.contains(worker)) {
      return nullptr;
    }
    const std::map<WorkerName, std::unique_ptr<FakeWorker>>::iterator found =
        this->processes.find(worker);
    return found == this->processes.end() ? nullptr : found->second.get();
  }
  void Respond(std::function<void()> callback) {
    this->loop->After(Milliseconds(1), std::move(callback));
  }

  EventLoop* loop;
  std::map<WorkerName, std::unique_ptr<FakeWorker>> processes;
  std::set<WorkerName> unreachable;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_SITE_FAKE_WORKER_CLIENT_H_

// Measures how many task starts per second one core thread can decide in one
// cell. The workers are in-process fakes that answer at once.

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "Bench/bench_registry.h"
#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Common/random.h"
#include "Core/Entry/cell_dispatcher.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/peer_service.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Platform/instance_list_client.h"
#include "Core/Platform/worker_client.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr char kPool[] = "pool";
constexpr char kZone[] = "zone";
constexpr char kIncarnation[] = "boot";

class FakeWorkerClient : public WorkerClient {
 public:
  struct Started {
    std::string address;
    TaskId task;
    StartCallback answer;
  };

  void Start(const std::string& address,
             const StartTask& task,
             Milliseconds,
             StartCallback callback) override {
    this->started.push_back({address, task.task, std::move(callback)});
  }
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
  void Status(const std::string&, bool, StatusCallback) override {}
  void Command(const std::string&,
               WorkerCommand,
               const TaskId&,
               const std::string&,
               CommandCallback) override {}

  std::vector<Started> started;
};

class FakeInstanceListClient : public InstanceListClient {
 public:
  explicit FakeInstanceListClient(int count) : count(count) {}

  void Fetch(Callback callback) override {
    std::vector<ListedInstance> listed;
    for (int i = 0; i < this->count; ++i) {
      ListedInstance instance;
      instance.name = WorkerName("w" + std::to_string(i));
      instance.address = instance.name.str();
      instance.zone = ZoneName(kZone);
      instance.initial_pool = PoolName(kPool);
      listed.push_back(instance);
    }
    callback(listed);
  }

 private:
  int count;
};

class DispatchSimulation {
 public:
  DispatchSimulation(int workers, std::uint64_t seed)
      : list(workers), random(seed) {
    this->context.self = EntryName("entry.1");
    this->context.zone = ZoneName(kZone);
    this->context.loop = &this->loop;
    this->context.instance_list = &this->list;
    this->context.workers = &this->workers;
    this->context.metrics = &this->metrics;
    this->context.decisions = &this->decisions;
    this->context.random = &this->random;
  }

  double MeasureStartsPerSecond(int tasks) {
    CellDispatcher cell(&this->context, &this->directory, PoolName(kPool),
                        ZoneName(kZone), MakeHooks());
    Pool pool;
    pool.worker = WorkerResources{64, 128, 0, 8, 64};
    cell.SetPool(pool);
    this->directory.AddListener(
        [&cell](const WorkerName& name) { cell.OnWorkerChanged(name); });
    this->directory.Start();
    for (const std::pair<const WorkerName, WorkerInfo>& entry :
         this->directory.workers()) {
      this->directory.OnReply(entry.first, WorkerClock(1), kIncarnation, false);
    }
    const MonotonicTime begin = Now();
    for (int i = 0; i < tasks; ++i) {
      static_cast<void>(cell.Enqueue(MakeRequest(i)));
    }
    int ended = 0;
    while (!this->workers.started.empty()) {
      ended += this->FinishStartedTasks(&cell);
    }
    return ended / std::chrono::duration<double>(Now() - begin).count();
  }

 private:
  static CellDispatcher::Hooks MakeHooks() {
    CellDispatcher::Hooks hooks;
    hooks.start_deadline = [](const QueueName&, const ZoneName&) {
      return std::optional<MonotonicTime>(Now() + std::chrono::seconds(3));
    };
    hooks.take_limit = [](const TeamName&) { return true; };
    hooks.return_limit = [](const TeamName&) {};
    hooks.update = [](const EntryName&, const DispatchUpdate&) {};
    return hooks;
  }

  static DispatchRequest MakeRequest(int number) {
    DispatchRequest request;
    request.task = TaskId("task-" + std::to_string(number));
    request.registrar = EntryName("entry.2");
    request.team = TeamName("team" + std::to_string(number % 6));
    request.queue = QueueName("queue");
    request.pool = PoolName(kPool);
    request.zone = ZoneName(kZone);
    request.idempotent = true;
    request.size = Resources{1.0, 1.0, 0.0, 1.0};
    request.start_within = std::chrono::hours(1);
    request.valid_until = PeerService::Clock() + std::chrono::hours(1);
    return request;
  }

  int FinishStartedTasks(CellDispatcher* cell) {
    const std::vector<FakeWorkerClient::Started> batch =
        std::exchange(this->workers.started, {});
    for (const FakeWorkerClient::Started& start : batch) {
      StartReply reply;
      reply.now = WorkerClock(1);
      reply.incarnation = kIncarnation;
      start.answer(reply);
      TaskReport report;
      report.task = start.task;
      // A failed task needs no result digest.
      report.state = WorkerTaskState::kFailed;
      report.run_time = Milliseconds(100);
      report.now = WorkerClock(1);
      report.incarnation = kIncarnation;
      cell->OnReport(WorkerName(start.address), report);
    }
    return static_cast<int>(batch.size());
  }

  FakeWorkerClient workers;
  FakeInstanceListClient list;
  EventLoop loop;
  MetricsRegistry metrics;
  Random random;
  DecisionLog decisions{&this->metrics, 0};
  EntryContext context;
  WorkerDirectory directory{&this->context};
};

std::vector<BenchResult> RunDispatchBench(std::uint64_t seed) {
  InitializeLogging(LogLevel::kError);
  std::vector<BenchResult> results;
  for (const int tasks : {1000, 8000}) {
    BenchResult result;
    result.name = "dispatch.starts." + std::to_string(tasks);
    result.seed = seed;
    result.measured =
        DispatchSimulation(10, seed).MeasureStartsPerSecond(tasks);
    result.ok = result.measured > 2000.0;
    result.unit = "1/s";
    result.detail = "10 workers of 8 slots";
    results.push_back(result);
  }
  return results;
}

const BenchRegistration kRegistration("dispatch", RunDispatchBench);

}  // namespace
}  // namespace daisyroad

// Measures the cost of FairQueue calls in a full cell: 10,000 waiting tasks of
// 68 teams, half of them urgent, on 72 slots.

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "Bench/bench_registry.h"
#include "Core/Common/random.h"
#include "Core/Shares/fair_queue.h"

namespace daisyroad {
namespace {

constexpr int kTasks = 10000;
constexpr int kTeams = 68;
constexpr double kTargetMicroseconds = 10.0;
constexpr Resources kCellCapacity{576.0, 1152.0, 18.0, 72.0};
constexpr Resources kWorkerCapacity{64.0, 128.0, 2.0, 8.0};

template <typename Call>
double MeanMicroseconds(int count, Call call) {
  const std::chrono::steady_clock::time_point before =
      std::chrono::steady_clock::now();
  for (int i = 0; i < count; ++i) {
    call(i);
  }
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - before)
             .count() /
         count;
}

std::vector<FairTask> MakeTasks() {
  std::vector<FairTask> tasks;
  for (int i = 0; i < kTasks; ++i) {
    FairTask task;
    task.id = TaskId("task" + std::to_string(i));
    task.team = TeamName("team" + std::to_string(i % kTeams));
    task.queue = QueueName("queue" + std::to_string(i % 3));
    task.task_class =
        (i / kTeams) % 2 == 0 ? TaskClass::kUrgent : TaskClass::kLong;
    task.declared = {1.0, 1.0, 0.0, 1.0};
    task.checkpointable = true;
    tasks.push_back(task);
  }
  return tasks;
}

BenchResult MakeCostResult(const std::string& name,
                           std::uint64_t seed,
                           double microseconds) {
  BenchResult result;
  result.name = "shares.cost." + name;
  result.seed = seed;
  result.measured = microseconds;
  result.ok = microseconds < kTargetMicroseconds;
  result.unit = "us";
  result.detail = "target 10 us; no simple rule is compared";
  return result;
}

std::vector<BenchResult> RunSharesCostBench(std::uint64_t seed) {
  Random random(seed);
  FairQueue queue{FairQueueSettings{}};
  MonotonicTime now{std::chrono::seconds(1)};
  queue.SetCapacity(kCellCapacity, kWorkerCapacity, now);
  std::vector<FairTask> tasks = MakeTasks();
  std::vector<BenchResult> results;
  const auto enqueue = [&](int i) {
    now += std::chrono::microseconds(10);
    queue.Enqueue(tasks[static_cast<std::size_t>(i)], now);
  };
  results.push_back(
      MakeCostResult("enqueue", seed, MeanMicroseconds(kTasks, enqueue)));
  std::vector<TaskId> running;
  const auto finish_and_start = [&](int) {
    now += std::chrono::milliseconds(10);
    if (running.size() == 72) {
      const std::size_t ended = random.Below(running.size());
      queue.Finished(running[ended], TaskEnd::kFinished, kWorkerCapacity,
                     std::chrono::seconds(1), now);
      running[ended] = running.back();
      running.pop_back();
    }
    if (const std::optional<FairTask> task = queue.Next(now, kWorkerCapacity)) {
      running.push_back(task->id);
    }
  };
  results.push_back(MakeCostResult("finish_and_next", seed,
                                   MeanMicroseconds(2000, finish_and_start)));
  const auto reclaim = [&](int) {
    now += std::chrono::milliseconds(50);
    queue.Reclaim(now, Resources{});
  };
  results.push_back(
      MakeCostResult("reclaim", seed, MeanMicroseconds(200, reclaim)));
  const auto cancel = [&](int i) {
    queue.Cancel(tasks[static_cast<std::size_t>(i)].id, now);
  };
  results.push_back(
      MakeCostResult("cancel", seed, MeanMicroseconds(kTasks, cancel)));
  return results;
}

const BenchRegistration kRegistration("shares_cost", RunSharesCostBench);

}  // namespace
}  // namespace daisyroad

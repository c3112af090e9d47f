// Measures the fraction of tasks lost to one worker that fails every task at
// once, compared with choosing a random worker and the least busy worker.

#include <chrono>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "Bench/bench_registry.h"
#include "Core/Common/random.h"
#include "Core/Routing/outlier_detector.h"
#include "Core/Routing/worker_selector.h"

namespace daisyroad {
namespace {

constexpr std::size_t kSlots = 8;
constexpr int kTasks = 20000;

MonotonicTime At(double seconds) {
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds)));
}

struct TaskCompletion {
  double time;
  std::size_t worker;
  double run;
  bool failed;
  bool operator>(const TaskCompletion& other) const {
    return this->time > other.time;
  }
};

enum class SelectionRule { kRandom, kLeastBusy, kSelector };

struct Outcome {
  double failed = 0.0;     // fraction of all tasks
  double no_worker = 0.0;  // fraction for which no worker was available
  double choose_microseconds = 0.0;
};

class RoutingSimulation {
 public:
  RoutingSimulation(std::size_t count,
                    SelectionRule choice_rule,
                    std::uint64_t seed)
      : workers(count), rule(choice_rule), random(seed), busy_slots(count, 0) {
    for (std::size_t i = 0; i < count; ++i) {
      this->selector.Update(this->NameOf(i), {kSlots, 0, false, false});
      this->detector.Add(this->NameOf(i));
    }
  }

  // Worker 0 fails each task after 2 ms. The load is 60% of the capacity of the
  // cell.
  Outcome RunTasks() {
    const double mean_interarrival =
        0.8 / (0.6 * static_cast<double>(kSlots * this->workers));
    double next_evaluation = 0.0;
    int failed_tasks = 0;
    int without_worker = 0;
    std::chrono::nanoseconds choose_time{0};
    for (int task = 0; task < kTasks; ++task) {
      this->now += this->DrawExponential(mean_interarrival);
      this->FinishDueTasks();
      if (this->now >= next_evaluation) {
        this->detector.Evaluate(At(this->now));
        next_evaluation = this->now + 1.0;
      }
      const std::chrono::steady_clock::time_point before =
          std::chrono::steady_clock::now();
      const std::optional<std::size_t> worker = this->ChooseWorker();
      choose_time += std::chrono::steady_clock::now() - before;
      if (worker.has_value()) {
        failed_tasks += this->StartTask(*worker) ? 1 : 0;
      } else {
        ++without_worker;
      }
    }
    return {failed_tasks / static_cast<double>(kTasks),
            without_worker / static_cast<double>(kTasks),
            static_cast<double>(choose_time.count()) / 1000.0 / kTasks};
  }

 private:
  WorkerName NameOf(std::size_t i) const {
    return WorkerName("w" + std::to_string(i));
  }
  double DrawExponential(double mean) {
    return mean * std::chrono::duration<double>(
                      this->random.Exponential(std::chrono::seconds(1)))
                      .count();
  }
  bool StartTask(std::size_t worker) {
    const bool failed = worker == 0;
    const double run = failed ? 0.002 : this->DrawExponential(0.8);
    ++this->busy_slots[worker];
    this->selector.OnStart(this->NameOf(worker));
    this->completions.push({this->now + run, worker, run, failed});
    return failed;
  }
  void FinishDueTasks() {
    while (!this->completions.empty() &&
           this->completions.top().time <= this->now) {
      const TaskCompletion completion = this->completions.top();
      this->completions.pop();
      --this->busy_slots[completion.worker];
      this->detector.Observe(this->NameOf(completion.worker), completion.failed,
                             At(completion.time));
      this->selector.OnEnd(this->NameOf(completion.worker), completion.failed,
                           At(completion.run) - At(0), At(completion.time));
    }
  }
  std::optional<std::size_t> ChooseWorker() {
    if (this->rule == SelectionRule::kSelector) {
      for (std::size_t i = 0; i < this->workers; ++i) {
        const WorkerName name = this->NameOf(i);
        this->selector.Update(
            name, {kSlots, this->busy_slots[i], false,
                   !this->detector.MayStart(name, this->busy_slots[i])});
      }
      const WorkerChoice choice =
          this->selector.Choose(At(this->now), this->random);
      return choice.worker.has_value() ? std::optional<std::size_t>(std::stoul(
                                             choice.worker->str().substr(1)))
                                       : std::nullopt;
    }
    std::size_t best = this->random.Below(this->workers);
    for (std::size_t i = 0;
         this->rule == SelectionRule::kLeastBusy && i < this->workers; ++i) {
      best = this->busy_slots[i] < this->busy_slots[best] ? i : best;
    }
    return this->busy_slots[best] < kSlots ? std::optional<std::size_t>(best)
                                           : std::nullopt;
  }

  std::size_t workers;
  SelectionRule rule;
  Random random;
  std::vector<std::size_t> busy_slots;
  WorkerSelector selector;
  OutlierDetector detector;
  std::priority_queue<TaskCompletion,
                      std::vector<TaskCompletion>,
                      std::greater<>>
      completions;
  double now = 0.0;
};

std::vector<BenchResult> RunRoutingBench(std::uint64_t seed) {
  std::vector<BenchResult> results;
  for (const std::size_t workers : {std::size_t{3}, std::size_t{10}}) {
    const Outcome random =
        RoutingSimulation(workers, SelectionRule::kRandom, seed).RunTasks();
    const Outcome least_busy =
        RoutingSimulation(workers, SelectionRule::kLeastBusy, seed).RunTasks();
    const Outcome selector_outcome =
        RoutingSimulation(workers, SelectionRule::kSelector, seed).RunTasks();
    BenchResult result;
    result.name = "routing.lost_to_bad_worker." + std::to_string(workers);
    result.seed = seed;
    result.baseline = std::min(random.failed, least_busy.failed);
    result.measured = selector_outcome.failed;
    result.ok = selector_outcome.failed < 0.02;
    result.unit = "fraction";
    result.detail =
        "random=" + std::to_string(random.failed) +
        " least_busy=" + std::to_string(least_busy.failed) +
        "; waits: random=" + std::to_string(random.no_worker) +
        " least_busy=" + std::to_string(least_busy.no_worker) +
        " ours=" + std::to_string(selector_outcome.no_worker) +
        "; choose_us=" + std::to_string(selector_outcome.choose_microseconds);
    results.push_back(result);
  }
  return results;
}

const BenchRegistration kRegistration("routing", RunRoutingBench);

}  // namespace
}  // namespace daisyroad

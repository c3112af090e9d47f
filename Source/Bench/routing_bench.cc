// Tasks lost to one worker that fails everything at once, against random choice
// and the least busy worker.

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

struct End {
  double time;
  std::size_t worker;
  double run;
  bool failed;
  bool operator>(const End& other) const { return this->time > other.time; }
};

enum class Rule { kRandom, kLeastBusy, kSelector };

struct Outcome {
  double failed = 0.0;     // fraction of the tasks
  double no_worker = 0.0;  // fraction that found no worker and would wait
  double choose_microseconds = 0.0;
};

class Run {
 public:
  Run(std::size_t count, Rule choice_rule, std::uint64_t seed)
      : workers(count), rule(choice_rule), random(seed), busy(count, 0) {
    for (std::size_t i = 0; i < count; ++i) {
      this->selector.Update(this->Name(i), {kSlots, 0, false, false});
      this->detector.Add(this->Name(i));
    }
  }

  // Worker 0 fails each task after 2 ms; the load is 60% of the cell.
  Outcome Execute() {
    const double gap =
        0.8 / (0.6 * static_cast<double>(kSlots * this->workers));
    double next_evaluation = 0.0;
    int failures = 0;
    int without = 0;
    std::chrono::nanoseconds spent{0};
    for (int task = 0; task < kTasks; ++task) {
      this->now += this->Draw(gap);
      this->Finish();
      if (this->now >= next_evaluation) {
        this->detector.Evaluate(At(this->now));
        next_evaluation = this->now + 1.0;
      }
      const std::chrono::steady_clock::time_point before =
          std::chrono::steady_clock::now();
      const std::optional<std::size_t> worker = this->Choose();
      spent += std::chrono::steady_clock::now() - before;
      if (worker.has_value()) {
        failures += this->Start(*worker) ? 1 : 0;
      } else {
        ++without;
      }
    }
    return {failures / static_cast<double>(kTasks),
            without / static_cast<double>(kTasks),
            static_cast<double>(spent.count()) / 1000.0 / kTasks};
  }

 private:
  WorkerName Name(std::size_t i) const {
    return WorkerName("w" + std::to_string(i));
  }
  double Draw(double mean) {
    return mean * std::chrono::duration<double>(
                      this->random.Exponential(std::chrono::seconds(1)))
                      .count();
  }
  bool Start(std::size_t worker) {
    const bool failed = worker == 0;
    const double run = failed ? 0.002 : this->Draw(0.8);
    ++this->busy[worker];
    this->selector.OnStart(this->Name(worker));
    this->ends.push({this->now + run, worker, run, failed});
    return failed;
  }
  void Finish() {
    while (!this->ends.empty() && this->ends.top().time <= this->now) {
      const End end = this->ends.top();
      this->ends.pop();
      --this->busy[end.worker];
      this->detector.Observe(this->Name(end.worker), end.failed, At(end.time));
      this->selector.OnEnd(this->Name(end.worker), end.failed,
                           At(end.run) - At(0), At(end.time));
    }
  }
  std::optional<std::size_t> Choose() {
    if (this->rule == Rule::kSelector) {
      for (std::size_t i = 0; i < this->workers; ++i) {
        const WorkerName name = this->Name(i);
        this->selector.Update(name,
                              {kSlots, this->busy[i], false,
                               !this->detector.MayStart(name, this->busy[i])});
      }
      const WorkerChoice choice =
          this->selector.Choose(At(this->now), this->random);
      return choice.worker.has_value() ? std::optional<std::size_t>(std::stoul(
                                             choice.worker->str().substr(1)))
                                       : std::nullopt;
    }
    std::size_t best = this->random.Below(this->workers);
    for (std::size_t i = 0; this->rule == Rule::kLeastBusy && i < this->workers;
         ++i) {
      best = this->busy[i] < this->busy[best] ? i : best;
    }
    return this->busy[best] < kSlots ? std::optional<std::size_t>(best)
                                     : std::nullopt;
  }

  std::size_t workers;
  Rule rule;
  Random random;
  std::vector<std::size_t> busy;
  WorkerSelector selector;
  OutlierDetector detector;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  double now = 0.0;
};

std::vector<BenchResult> RunRoutingBench(std::uint64_t seed) {
  std::vector<BenchResult> results;
  for (const std::size_t workers : {std::size_t{3}, std::size_t{10}}) {
    const Outcome random = Run(workers, Rule::kRandom, seed).Execute();
    const Outcome least = Run(workers, Rule::kLeastBusy, seed).Execute();
    const Outcome ours = Run(workers, Rule::kSelector, seed).Execute();
    BenchResult result;
    result.name = "routing.lost_to_bad_worker." + std::to_string(workers);
    result.seed = seed;
    result.baseline = std::min(random.failed, least.failed);
    result.measured = ours.failed;
    result.ok = ours.failed < 0.02;
    result.unit = "fraction";
    result.detail = "random=" + std::to_string(random.failed) +
                    " least_busy=" + std::to_string(least.failed) +
                    "; waits: random=" + std::to_string(random.no_worker) +
                    " least_busy=" + std::to_string(least.no_worker) +
                    " ours=" + std::to_string(ours.no_worker) +
                    "; choose_us=" + std::to_string(ours.choose_microseconds);
    results.push_back(result);
  }
  return results;
}

const BenchRegistration kRegistration("routing", RunRoutingBench);

}  // namespace
}  // namespace daisyroad

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Shares/fair_queue.h"

namespace daisyroad {
namespace {

using std::chrono::milliseconds;

const Resources kWorker{64.0, 128.0, 2.0, 8.0};

FairTask RandomTask(Random& random, int number) {
  FairTask task;
  task.id = TaskId(std::to_string(number));
  task.team = TeamName(std::to_string(random.Below(5)));
  task.queue = QueueName(std::to_string(random.Below(3)));
  task.task_class = random.Chance(0.5) ? TaskClass::kUrgent : TaskClass::kLong;
  task.declared = {static_cast<double>(random.Below(16)),
                   static_cast<double>(random.Below(32)),
                   static_cast<double>(random.Below(2)),
                   static_cast<double>(1 + random.Below(3))};
  task.checkpointable = random.Chance(0.7);
  return task;
}

// Reference model of the queue: the tasks that wait and the tasks that run.
struct Model {
  FairQueue queue{FairQueueSettings{}};
  MonotonicTime now{std::chrono::seconds(10)};
  std::map<std::string, FairTask> waiting;
  std::map<std::string, FairTask> running;

  std::string PickRandom(Random& random,
                         const std::map<std::string, FairTask>& tasks) {
    std::map<std::string, FairTask>::const_iterator it = tasks.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random.Below(tasks.size())));
    return it->first;
  }
  void Step(Random& random, int number);
  void StartNext(Random& random);
  void EndRandom(Random& random);
};

void Model::StartNext(Random& random) {
  Resources free = kWorker;
  free.slots = static_cast<double>(random.Below(9));
  const std::optional<FairTask> task = this->queue.Next(this->now, free);
  if (task.has_value()) {
    RC_ASSERT(this->waiting.erase(task->id.str()) == 1U);
    RC_ASSERT(task->declared.slots <= free.slots);
    this->running[task->id.str()] = *task;
  }
}

void Model::EndRandom(Random& random) {
  if (this->running.empty()) {
    return;
  }
  const std::string id = this->PickRandom(random, this->running);
  const FairTask task = this->running[id];
  this->running.erase(id);
  const Resources usage{static_cast<double>(random.Below(100)), 1.0, 0.0, 1.0};
  if (random.Chance(0.2)) {
    this->queue.NotStarted(TaskId(id), this->now);
    this->waiting[id] = task;
  } else if (random.Chance(0.3)) {
    this->queue.Finished(TaskId(id), TaskEnd::kCheckpointed, usage,
                         milliseconds(1), this->now);
    this->waiting[id] = task;
  } else {
    this->queue.Finished(TaskId(id), TaskEnd::kFinished, usage,
                         milliseconds(900), this->now);
  }
}

void Model::Step(Random& random, int number) {
  this->now += milliseconds(random.Below(400));
  switch (random.Below(6)) {
    case 0:
    case 1: {
      const FairTask task = RandomTask(random, number);
      if (this->queue.Enqueue(task, this->now)) {
        this->waiting[task.id.str()] = task;
      }
      break;
    }
    case 2:
      if (!this->waiting.empty()) {
        const std::string id = this->PickRandom(random, this->waiting);
        RC_ASSERT(this->queue.Cancel(TaskId(id), this->now));
        this->waiting.erase(id);
      }
      break;
    case 3:
      this->StartNext(random);
      break;
    case 4:
      this->EndRandom(random);
      break;
    default:
      this->queue.SetCapacity(random.Chance(0.5) ? kWorker : kWorker + kWorker,
                              kWorker, this->now);
      for (const ReclaimDecision& decision :
           this->queue.Reclaim(this->now, kWorker)) {
        const FairTask& task = this->running.at(decision.task.str());
        RC_ASSERT(task.task_class == TaskClass::kLong);
        RC_ASSERT(task.checkpointable ==
                  (decision.action == ReclaimAction::kCheckpoint));
      }
      if (!this->running.empty()) {
        this->queue.ReportUsage(TaskId(this->PickRandom(random, this->running)),
                                {1.0, 2.0, 0.0, 1.0}, this->now);
      }
  }
}

// Guards against lost or duplicated tasks, tasks that do not fit in the free
// resources, urgent tasks that are reclaimed, and usage accounts that drift
// from the running tasks.
TEST_CASE("The queue agrees with a model after any sequence of events") {
  rc::prop("agrees with the model", [](std::uint64_t seed) {
    Random random(seed);
    Model model;
    model.queue.SetCapacity(kWorker + kWorker, kWorker, model.now);
    for (int i = 0; i < 400; ++i) {
      model.Step(random, i);
      RC_ASSERT(model.queue.waiting_count() == model.waiting.size());
    }
    while (!model.running.empty()) {
      const std::string id = model.running.begin()->first;
      model.running.erase(id);
      model.queue.Finished(TaskId(id), TaskEnd::kFinished, {}, milliseconds(1),
                           model.now);
    }
    for (int team = 0; team < 5; ++team) {
      const TeamName name(std::to_string(team));
      RC_ASSERT(model.queue.Running(name) == 0U);
      RC_ASSERT(model.queue.Usage(name) < 1e-6);
    }
  });
}

// Guards against shares that deviate from the weights while all teams always
// have short tasks waiting.
TEST_CASE("Backlogged teams get their weights' shares") {
  rc::prop("shares follow weights", [](std::uint64_t seed) {
    Random random(seed);
    FairQueue queue{FairQueueSettings{}};
    MonotonicTime now{std::chrono::seconds(1)};
    queue.SetCapacity(kWorker, kWorker, now);
    const double weights[] = {1.0, 2.0, 5.0};
    double received[] = {0.0, 0.0, 0.0};
    for (int team = 0; team < 3; ++team) {
      queue.SetWeight(TeamName(std::to_string(team)), weights[team], now);
    }
    std::multimap<MonotonicTime, FairTask> ends;
    int number = 0;
    double slots = 8.0;
    const MonotonicTime stop = now + std::chrono::seconds(60);
    const auto add = [&queue, &number, &now](const TeamName& team) {
      FairTask task;
      task.id = TaskId(std::to_string(number++));
      task.team = team;
      task.declared = {1.0, 1.0, 0.0, 1.0};
      RC_ASSERT(queue.Enqueue(task, now).ok());
    };
    for (int i = 0; i < 60; ++i) {
      add(TeamName(std::to_string(i % 3)));
    }
    while (now < stop) {
      Resources free = kWorker;
      free.slots = slots;
      while (const std::optional<FairTask> task = queue.Next(now, free)) {
        const milliseconds run(50 + random.Below(400));
        ends.emplace(now + run, *task);
        add(task->team);
        received[std::stoi(task->team.str())] +=
            static_cast<double>(run.count());
        free.slots -= 1.0;
      }
      slots = free.slots;
      now = ends.begin()->first;
      queue.Finished(ends.begin()->second.id, TaskEnd::kFinished,
                     {1.0, 1.0, 0.0, 1.0}, milliseconds(1), now);
      ends.erase(ends.begin());
      slots += 1.0;
    }
    const double sum = received[0] + received[1] + received[2];
    for (int team = 0; team < 3; ++team) {
      const double share = weights[team] / 8.0;
      RC_ASSERT(std::abs(received[team] / sum - share) < 0.02 * share + 0.002);
    }
  });
}

}  // namespace
}  // namespace daisyroad

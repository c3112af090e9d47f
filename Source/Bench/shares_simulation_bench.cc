// Discrete-event simulation of one cell in virtual time: arrivals, starts, ends
// and checkpoints. It generates the load of the shares benchmark and does not
// model a whole cluster.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <utility>
#include <variant>

#include "Bench/shares_arrivals.h"
#include "Bench/shares_meter.h"
#include "Bench/shares_simulation.h"
#include "Core/Shares/fair_queue.h"

namespace daisyroad {
namespace {

constexpr double kSimulatedSeconds = 600.0;
// Time for which a task holds its slot without progress while its checkpoint is
// written and when it restarts from the checkpoint.
constexpr double kCheckpointSeconds = 0.3;
constexpr double kResumeSeconds = 0.2;
constexpr double kStartDelaySeconds = 0.004;  // round trip to the worker

MonotonicTime At(double seconds) {
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds + 1.0)));
}

struct Job {
  FairTask task;
  std::size_t team = 0;
  double arrival = 0.0;
  double remaining_seconds = 0.0;  // useful run time left
  double started = 0.0;
  std::size_t worker = 0;
  std::uint64_t generation = 0;  // odd while running; detects outdated events
  bool resumed = false;
  bool had_no_free_slot = false;
};

// Scheduler of the baseline policies, with one queue per team.
struct BaselineScheduler {
  SharesPolicy policy = SharesPolicy::kFirstComeFirstServed;
  std::vector<std::deque<std::size_t>> queues;
  std::vector<std::size_t> running;
  std::vector<double> quota;  // slots per team, used by kStaticSplit only
  std::size_t next_team = 0;

  std::optional<std::size_t> Next() {
    const std::size_t count = this->queues.size();
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t team = (this->next_team + i) % count;
      const bool allowed =
          this->policy != SharesPolicy::kStaticSplit ||
          static_cast<double>(this->running[team]) + 0.5 < this->quota[team];
      if (this->queues[team].empty() || !allowed) {
        continue;
      }
      // Jobs are indexed in order of arrival.
      if (!best.has_value() ||
          (this->policy == SharesPolicy::kFirstComeFirstServed &&
           this->queues[team].front() < this->queues[*best].front())) {
        best = team;
      }
    }
    if (!best.has_value()) {
      return std::nullopt;
    }
    this->next_team = (*best + 1) % count;
    const std::size_t job = this->queues[*best].front();
    this->queues[*best].pop_front();
    ++this->running[*best];
    return job;
  }
};

enum class EventKind { kArrival, kEnd, kCheckpointed, kTick };

struct Event {
  double time = 0.0;
  std::uint64_t order = 0;
  EventKind kind = EventKind::kTick;
  std::size_t job = 0;
  std::uint64_t generation = 0;
  bool operator>(const Event& other) const {
    return std::pair(this->time, this->order) >
           std::pair(other.time, other.order);
  }
};

class Simulation {
 public:
  Simulation(const SharesScenario& cell, SharesPolicy rule, std::uint64_t seed);
  SharesOutcome Run();

 private:
  using FairQueuePointer = std::unique_ptr<FairQueue>;

  void Push(double time,
            EventKind kind,
            std::size_t job,
            std::uint64_t generation);
  void MakeArrivals(std::uint64_t seed);
  void OnArrival(std::size_t index);
  void OnFinished(const Event& event);
  void OnCheckpointed(const Event& event);
  void Dispatch();
  std::optional<std::size_t> NextJob(const Resources& free);
  void Start(std::size_t index, std::size_t worker);
  void Reclaim();
  void ReleaseSlot(Job& job);
  std::size_t MostFreeWorker() const;
  std::size_t FreeSlots() const;

  SharesScenario scenario;
  SharesPolicy policy;
  std::variant<BaselineScheduler, FairQueuePointer> scheduler;
  std::vector<Job> jobs;
  std::map<TaskId, std::size_t> job_indices;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t order = 0;
  double now = 0.0;
  std::vector<double> free_slots;    // per worker
  std::vector<std::size_t> waiting;  // per team
  std::vector<std::size_t> long_waiting;
  std::vector<double> running;  // slots, per team
  double slots = 0.0;
  double urgent_running = 0.0;
  SharesOutcome outcome;
  double long_useful_seconds = 0.0;
  std::size_t urgent_arrived_count = 0;
  std::size_t urgent_started_count = 0;
  SharesMeter meter;
  std::chrono::nanoseconds decision_time{0};
  std::size_t decision_count = 0;
};

Simulation::Simulation(const SharesScenario& cell,
                       SharesPolicy rule,
                       std::uint64_t seed)
    : scenario(cell), policy(rule), meter(cell) {
  const std::size_t teams = this->scenario.weights.size();
  this->slots = this->scenario.worker_capacity.slots *
                static_cast<double>(this->scenario.workers);
  this->free_slots.assign(this->scenario.workers,
                          this->scenario.worker_capacity.slots);
  this->waiting.assign(teams, 0);
  this->long_waiting.assign(teams, 0);
  this->running.assign(teams, 0.0);
  double weight_sum = 0.0;
  for (const double weight : this->scenario.weights) {
    weight_sum += weight;
  }
  if (rule == SharesPolicy::kFair) {
    FairQueuePointer queue = std::make_unique<FairQueue>(FairQueueSettings{});
    Resources total;
    for (std::size_t i = 0; i < this->scenario.workers; ++i) {
      total = total + this->scenario.worker_capacity;
    }
    queue->SetCapacity(total, this->scenario.worker_capacity, At(0));
    for (std::size_t i = 0; i < teams; ++i) {
      queue->SetWeight(TeamName("team" + std::to_string(i)),
                       this->scenario.weights[i], At(0));
    }
    this->scheduler = std::move(queue);
  } else {
    BaselineScheduler queues;
    queues.policy = rule;
    queues.queues.resize(teams);
    queues.running.assign(teams, 0);
    for (const double weight : this->scenario.weights) {
      queues.quota.push_back(std::max(1.0, this->slots * weight / weight_sum));
    }
    this->scheduler = std::move(queues);
  }
  this->MakeArrivals(seed);
}

void Simulation::Push(double time,
                      EventKind kind,
                      std::size_t job,
                      std::uint64_t generation) {
  this->events.push(Event{time, this->order++, kind, job, generation});
}

void Simulation::MakeArrivals(std::uint64_t seed) {
  for (SharesArrival& arrival :
       MakeSharesArrivals(this->scenario, kSimulatedSeconds, seed)) {
    const std::size_t index = this->jobs.size();
    this->job_indices.emplace(arrival.task.id, index);
    this->Push(arrival.time, EventKind::kArrival, index, 0);
    Job job;
    job.task = std::move(arrival.task);
    job.team = arrival.team;
    job.arrival = arrival.time;
    job.remaining_seconds = arrival.run_seconds;
    this->jobs.push_back(std::move(job));
  }
  for (double time = kSharesSampleInterval; time < kSimulatedSeconds;
       time += kSharesSampleInterval) {
    this->Push(time, EventKind::kTick, 0, 0);
  }
}

std::size_t Simulation::FreeSlots() const {
  double sum = 0.0;
  for (const double free : this->free_slots) {
    sum += free;
  }
  return static_cast<std::size_t>(std::lround(sum));
}

std::size_t Simulation::MostFreeWorker() const {
  return static_cast<std::size_t>(
      std::max_element(this->free_slots.begin(), this->free_slots.end()) -
      this->free_slots.begin());
}

void Simulation::OnArrival(std::size_t index) {
  Job& job = this->jobs[index];
  const bool urgent = job.task.task_class == TaskClass::kUrgent;
  job.had_no_free_slot = this->FreeSlots() == 0;
  if (urgent && this->now > kSharesWarmUp) {
    ++this->urgent_arrived_count;
  }
  if (BaselineScheduler* baseline =
          std::get_if<BaselineScheduler>(&this->scheduler)) {
    baseline->queues[job.team].push_back(index);
  } else if (!std::get<FairQueuePointer>(this->scheduler)
                  ->Enqueue(job.task, At(this->now))
                  .ok()) {
    return;  // counts as arrived but never started
  }
  ++this->waiting[job.team];
  this->long_waiting[job.team] += urgent ? 0 : 1;
}

std::optional<std::size_t> Simulation::NextJob(const Resources& free) {
  if (BaselineScheduler* baseline =
          std::get_if<BaselineScheduler>(&this->scheduler)) {
    return baseline->Next();
  }
  const std::chrono::steady_clock::time_point before =
      std::chrono::steady_clock::now();
  const std::optional<FairTask> task =
      std::get<FairQueuePointer>(this->scheduler)->Next(At(this->now), free);
  this->decision_time += std::chrono::steady_clock::now() - before;
  ++this->decision_count;
  if (!task.has_value()) {
    return std::nullopt;
  }
  return this->job_indices.at(task->id);
}

void Simulation::Dispatch() {
  while (true) {
    const std::size_t worker = this->MostFreeWorker();
    if (this->free_slots[worker] < 1.0) {
      return;
    }
    Resources free = this->scenario.worker_capacity;
    free.slots = this->free_slots[worker];
    const std::optional<std::size_t> job = this->NextJob(free);
    if (!job.has_value()) {
      return;
    }
    this->Start(*job, worker);
  }
}

void Simulation::Start(std::size_t index, std::size_t worker) {
  Job& job = this->jobs[index];
  const bool urgent = job.task.task_class == TaskClass::kUrgent;
  job.worker = worker;
  job.started = this->now;
  ++job.generation;
  this->free_slots[worker] -= 1.0;
  this->running[job.team] += 1.0;
  --this->waiting[job.team];
  this->long_waiting[job.team] -= urgent ? 0 : 1;
  this->urgent_running += urgent ? 1.0 : 0.0;
  if (urgent && job.arrival > kSharesWarmUp) {
    ++this->urgent_started_count;
    const double wait = this->now - job.arrival + kStartDelaySeconds;
    (job.had_no_free_slot ? this->outcome.waits_without_free_slot
                          : this->outcome.waits_with_free_slot)
        .push_back(wait);
  }
  const double resume = job.resumed ? kResumeSeconds : 0.0;
  this->Push(this->now + resume + job.remaining_seconds, EventKind::kEnd, index,
             job.generation);
}

void Simulation::ReleaseSlot(Job& job) {
  const bool urgent = job.task.task_class == TaskClass::kUrgent;
  this->free_slots[job.worker] += 1.0;
  this->running[job.team] -= 1.0;
  this->urgent_running -= urgent ? 1.0 : 0.0;
  ++job.generation;  // invalidates pending events of this start
}

void Simulation::OnFinished(const Event& event) {
  Job& job = this->jobs[event.job];
  if (job.generation != event.generation) {
    return;
  }
  this->ReleaseSlot(job);
  if (job.task.task_class == TaskClass::kLong && job.started > kSharesWarmUp) {
    this->long_useful_seconds += job.remaining_seconds;
  } else if (job.task.task_class == TaskClass::kLong) {
    this->long_useful_seconds += std::max(0.0, this->now - kSharesWarmUp);
  }
  if (BaselineScheduler* baseline =
          std::get_if<BaselineScheduler>(&this->scheduler)) {
    --baseline->running[job.team];
    return;
  }
  std::get<FairQueuePointer>(this->scheduler)
      ->Finished(job.task.id, TaskEnd::kFinished, job.task.declared,
                 At(this->now) - At(job.started), At(this->now));
}

void Simulation::OnCheckpointed(const Event& event) {
  Job& job = this->jobs[event.job];
  if (job.generation != event.generation) {
    return;
  }
  this->ReleaseSlot(job);
  const double resume = job.resumed ? kResumeSeconds : 0.0;
  const double done =
      std::clamp(this->now - kCheckpointSeconds - job.started - resume, 0.0,
                 job.remaining_seconds);
  job.remaining_seconds -= done;
  job.resumed = true;
  if (this->now > kSharesWarmUp) {
    ++this->outcome.checkpoints;
    this->long_useful_seconds += std::min(done, this->now - kSharesWarmUp);
  }
  ++this->waiting[job.team];
  ++this->long_waiting[job.team];
  std::get<FairQueuePointer>(this->scheduler)
      ->Finished(job.task.id, TaskEnd::kCheckpointed, job.task.declared,
                 Duration::zero(), At(this->now));
}

void Simulation::Reclaim() {
  if (FairQueuePointer* queue =
          std::get_if<FairQueuePointer>(&this->scheduler)) {
    const std::vector<ReclaimDecision> decisions =
        (*queue)->Reclaim(At(this->now), Resources{});
    for (const ReclaimDecision& decision : decisions) {
      const std::size_t index = this->job_indices.at(decision.task);
      // The task makes no progress while the checkpoint is written, but it may
      // still finish before the checkpoint is complete.
      this->Push(this->now + kCheckpointSeconds, EventKind::kCheckpointed,
                 index, this->jobs[index].generation);
    }
  }
}

SharesOutcome Simulation::Run() {
  while (!this->events.empty() && this->events.top().time < kSimulatedSeconds) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.time;
    switch (event.kind) {
      case EventKind::kArrival:
        this->OnArrival(event.job);
        break;
      case EventKind::kEnd:
        this->OnFinished(event);
        break;
      case EventKind::kCheckpointed:
        this->OnCheckpointed(event);
        break;
      case EventKind::kTick:
        this->meter.Sample(this->now, this->waiting, this->long_waiting,
                           this->running, this->urgent_running);
        this->Reclaim();
        break;
    }
    this->Dispatch();
  }
  this->outcome.deviations = this->meter.Deviations();
  for (const Job& job : this->jobs) {
    // A job with an odd generation is running: each start and each end adds
    // one.
    if (job.generation % 2 == 1 && job.task.task_class == TaskClass::kLong) {
      this->long_useful_seconds +=
          std::min(job.remaining_seconds,
                   this->now - std::max(kSharesWarmUp, job.started));
    }
  }
  const double available = this->meter.long_available_slot_seconds();
  this->outcome.long_throughput =
      available > 0.0 ? this->long_useful_seconds / available : 1.0;
  this->outcome.urgent_started_fraction =
      this->urgent_arrived_count == 0
          ? 1.0
          : static_cast<double>(this->urgent_started_count) /
                static_cast<double>(this->urgent_arrived_count);
  this->outcome.mean_decision_microseconds =
      this->decision_count == 0
          ? 0.0
          : static_cast<double>(this->decision_time.count()) / 1000.0 /
                static_cast<double>(this->decision_count);
  return std::move(this->outcome);
}

}  // namespace

SharesOutcome SimulateShares(const SharesScenario& scenario,
                             SharesPolicy policy,
                             std::uint64_t seed) {
  return Simulation(scenario, policy, seed).Run();
}

double SharesQuantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1))];
}

}  // namespace daisyroad

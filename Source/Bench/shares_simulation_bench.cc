// A discrete-event loop in virtual time over one cell: arrivals, starts, ends
// and checkpoints. It is the load of the shares bench, not a model of a
// cluster.

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

constexpr double kRunLength = 600.0;   // seconds simulated
constexpr double kCheckpoint = 0.3;    // seconds of a slot without progress
constexpr double kResume = 0.2;        // likewise, when it starts again
constexpr double kStartDelay = 0.004;  // round trip to the worker

MonotonicTime At(double seconds) {
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds + 1.0)));
}

struct Job {
  FairTask task;
  std::size_t team = 0;
  double arrival = 0.0;
  double work = 0.0;  // seconds of useful work left
  double started = 0.0;
  std::size_t worker = 0;
  std::uint64_t run = 0;  // distinguishes the end events of different starts
  bool resumed = false;
  bool was_full = false;
};

// Queues of the simple rules, one a team.
struct SimpleQueues {
  SharesPolicy policy = SharesPolicy::kFirstCome;
  std::vector<std::deque<std::size_t>> queues;
  std::vector<std::size_t> running;
  std::vector<double> quota;  // slots, for the static split
  std::size_t turn = 0;

  std::optional<std::size_t> Next() {
    const std::size_t count = this->queues.size();
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t team = (this->turn + i) % count;
      const bool allowed =
          this->policy != SharesPolicy::kStaticSplit ||
          static_cast<double>(this->running[team]) + 0.5 < this->quota[team];
      if (this->queues[team].empty() || !allowed) {
        continue;
      }
      // Job numbers grow with the time of arrival.
      if (!best.has_value() ||
          (this->policy == SharesPolicy::kFirstCome &&
           this->queues[team].front() < this->queues[*best].front())) {
        best = team;
      }
    }
    if (!best.has_value()) {
      return std::nullopt;
    }
    this->turn = (*best + 1) % count;
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
  std::uint64_t run = 0;
  bool operator>(const Event& other) const {
    return std::pair(this->time, this->order) >
           std::pair(other.time, other.order);
  }
};

class Simulation {
 public:
  Simulation(const SharesSite& cell, SharesPolicy rule, std::uint64_t seed);
  SharesOutcome Run();

 private:
  using Fair = std::unique_ptr<FairQueue>;

  void Push(double time, EventKind kind, std::size_t job, std::uint64_t run);
  void MakeArrivals(std::uint64_t seed);
  void Arrive(std::size_t index);
  void Finish(const Event& event);
  void Checkpointed(const Event& event);
  void Dispatch();
  std::optional<std::size_t> NextJob(const Resources& free);
  void Start(std::size_t index, std::size_t worker);
  void Reclaim();
  void Vacate(Job& job);
  std::size_t MostFreeWorker() const;
  std::size_t FreeSlots() const;

  SharesSite site;
  SharesPolicy policy;
  std::variant<SimpleQueues, Fair> scheduler;
  std::vector<Job> jobs;
  std::map<TaskId, std::size_t> by_id;
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
  double long_useful = 0.0;
  std::size_t urgent_arrived = 0;
  std::size_t urgent_started = 0;
  SharesMeter meter;
  std::chrono::nanoseconds next_time{0};
  std::size_t next_calls = 0;
};

Simulation::Simulation(const SharesSite& cell,
                       SharesPolicy rule,
                       std::uint64_t seed)
    : site(cell), policy(rule), meter(cell) {
  const std::size_t teams = this->site.weights.size();
  this->slots =
      this->site.worker.slots * static_cast<double>(this->site.workers);
  this->free_slots.assign(this->site.workers, this->site.worker.slots);
  this->waiting.assign(teams, 0);
  this->long_waiting.assign(teams, 0);
  this->running.assign(teams, 0.0);
  double weight_sum = 0.0;
  for (const double weight : this->site.weights) {
    weight_sum += weight;
  }
  if (rule == SharesPolicy::kFair) {
    Fair queue = std::make_unique<FairQueue>(FairQueueSettings{});
    Resources total;
    for (std::size_t i = 0; i < this->site.workers; ++i) {
      total = total + this->site.worker;
    }
    queue->SetCapacity(total, this->site.worker, At(0));
    for (std::size_t i = 0; i < teams; ++i) {
      queue->SetWeight(TeamName("team" + std::to_string(i)),
                       this->site.weights[i], At(0));
    }
    this->scheduler = std::move(queue);
  } else {
    SimpleQueues queues;
    queues.policy = rule;
    queues.queues.resize(teams);
    queues.running.assign(teams, 0);
    for (const double weight : this->site.weights) {
      queues.quota.push_back(std::max(1.0, this->slots * weight / weight_sum));
    }
    this->scheduler = std::move(queues);
  }
  this->MakeArrivals(seed);
}

void Simulation::Push(double time,
                      EventKind kind,
                      std::size_t job,
                      std::uint64_t run) {
  this->events.push(Event{time, this->order++, kind, job, run});
}

void Simulation::MakeArrivals(std::uint64_t seed) {
  for (SharesArrival& arrival :
       MakeSharesArrivals(this->site, kRunLength, seed)) {
    const std::size_t index = this->jobs.size();
    this->by_id.emplace(arrival.task.id, index);
    this->Push(arrival.time, EventKind::kArrival, index, 0);
    Job job;
    job.task = std::move(arrival.task);
    job.team = arrival.team;
    job.arrival = arrival.time;
    job.work = arrival.work;
    this->jobs.push_back(std::move(job));
  }
  for (double time = kSharesTick; time < kRunLength; time += kSharesTick) {
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

void Simulation::Arrive(std::size_t index) {
  Job& job = this->jobs[index];
  const bool urgent = job.task.task_class == TaskClass::kUrgent;
  job.was_full = this->FreeSlots() == 0;
  if (urgent && this->now > kSharesWarmUp) {
    ++this->urgent_arrived;
  }
  if (SimpleQueues* simple = std::get_if<SimpleQueues>(&this->scheduler)) {
    simple->queues[job.team].push_back(index);
  } else if (!std::get<Fair>(this->scheduler)
                  ->Enqueue(job.task, At(this->now))
                  .ok()) {
    return;  // counted as never started
  }
  ++this->waiting[job.team];
  this->long_waiting[job.team] += urgent ? 0 : 1;
}

std::optional<std::size_t> Simulation::NextJob(const Resources& free) {
  if (SimpleQueues* simple = std::get_if<SimpleQueues>(&this->scheduler)) {
    return simple->Next();
  }
  const std::chrono::steady_clock::time_point before =
      std::chrono::steady_clock::now();
  const std::optional<FairTask> task =
      std::get<Fair>(this->scheduler)->Next(At(this->now), free);
  this->next_time += std::chrono::steady_clock::now() - before;
  ++this->next_calls;
  if (!task.has_value()) {
    return std::nullopt;
  }
  return this->by_id.at(task->id);
}

void Simulation::Dispatch() {
  while (true) {
    const std::size_t worker = this->MostFreeWorker();
    if (this->free_slots[worker] < 1.0) {
      return;
    }
    Resources free = this->site.worker;
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
  ++job.run;
  this->free_slots[worker] -= 1.0;
  this->running[job.team] += 1.0;
  --this->waiting[job.team];
  this->long_waiting[job.team] -= urgent ? 0 : 1;
  this->urgent_running += urgent ? 1.0 : 0.0;
  if (urgent && job.arrival > kSharesWarmUp) {
    ++this->urgent_started;
    const double wait = this->now - job.arrival + kStartDelay;
    (job.was_full ? this->outcome.full_waits : this->outcome.room_waits)
        .push_back(wait);
  }
  const double resume = job.resumed ? kResume : 0.0;
  this->Push(this->now + resume + job.work, EventKind::kEnd, index, job.run);
}

void Simulation::Vacate(Job& job) {
  const bool urgent = job.task.task_class == TaskClass::kUrgent;
  this->free_slots[job.worker] += 1.0;
  this->running[job.team] -= 1.0;
  this->urgent_running -= urgent ? 1.0 : 0.0;
  ++job.run;  // invalidates the other events of this start
}

void Simulation::Finish(const Event& event) {
  Job& job = this->jobs[event.job];
  if (job.run != event.run) {
    return;
  }
  this->Vacate(job);
  if (job.task.task_class == TaskClass::kLong && job.started > kSharesWarmUp) {
    this->long_useful += job.work;
  } else if (job.task.task_class == TaskClass::kLong) {
    this->long_useful += std::max(0.0, this->now - kSharesWarmUp);
  }
  if (SimpleQueues* simple = std::get_if<SimpleQueues>(&this->scheduler)) {
    --simple->running[job.team];
    return;
  }
  std::get<Fair>(this->scheduler)
      ->Finished(job.task.id, TaskEnd::kFinished, job.task.declared,
                 At(this->now) - At(job.started), At(this->now));
}

void Simulation::Checkpointed(const Event& event) {
  Job& job = this->jobs[event.job];
  if (job.run != event.run) {
    return;
  }
  this->Vacate(job);
  const double resume = job.resumed ? kResume : 0.0;
  const double done =
      std::clamp(this->now - kCheckpoint - job.started - resume, 0.0, job.work);
  job.work -= done;
  job.resumed = true;
  if (this->now > kSharesWarmUp) {
    ++this->outcome.checkpoints;
    this->long_useful += std::min(done, this->now - kSharesWarmUp);
  }
  ++this->waiting[job.team];
  ++this->long_waiting[job.team];
  std::get<Fair>(this->scheduler)
      ->Finished(job.task.id, TaskEnd::kCheckpointed, job.task.declared,
                 Duration::zero(), At(this->now));
}

void Simulation::Reclaim() {
  if (Fair* queue = std::get_if<Fair>(&this->scheduler)) {
    const std::vector<ReclaimDecision> decisions =
        (*queue)->Reclaim(At(this->now), Resources{});
    for (const ReclaimDecision& decision : decisions) {
      const std::size_t index = this->by_id.at(decision.task);
      // The task makes no progress while the checkpoint is written, but it may
      // still end by itself just before.
      this->Push(this->now + kCheckpoint, EventKind::kCheckpointed, index,
                 this->jobs[index].run);
    }
  }
}

SharesOutcome Simulation::Run() {
  while (!this->events.empty() && this->events.top().time < kRunLength) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.time;
    switch (event.kind) {
      case EventKind::kArrival:
        this->Arrive(event.job);
        break;
      case EventKind::kEnd:
        this->Finish(event);
        break;
      case EventKind::kCheckpointed:
        this->Checkpointed(event);
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
    // Odd run numbers are running: each start and each end adds one.
    if (job.run % 2 == 1 && job.task.task_class == TaskClass::kLong) {
      this->long_useful +=
          std::min(job.work, this->now - std::max(kSharesWarmUp, job.started));
    }
  }
  const double available = this->meter.long_available();
  this->outcome.long_throughput =
      available > 0.0 ? this->long_useful / available : 1.0;
  this->outcome.urgent_done =
      this->urgent_arrived == 0 ? 1.0
                                : static_cast<double>(this->urgent_started) /
                                      static_cast<double>(this->urgent_arrived);
  this->outcome.next_microseconds =
      this->next_calls == 0
          ? 0.0
          : static_cast<double>(this->next_time.count()) / 1000.0 /
                static_cast<double>(this->next_calls);
  return std::move(this->outcome);
}

}  // namespace

SharesOutcome SimulateShares(const SharesSite& site,
                             SharesPolicy policy,
                             std::uint64_t seed) {
  return Simulation(site, policy, seed).Run();
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

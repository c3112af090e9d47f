#include "UnitTests/Jobs/advised_pool.h"

#include <algorithm>
#include <variant>

#include "Core/Common/overloaded.h"

namespace daisyroad {
namespace {

constexpr MonotonicTime kStart(std::chrono::hours(1));
constexpr WallTime kWallStart(std::chrono::hours(1000));
constexpr Milliseconds kTick{5};
constexpr std::int64_t kFence = 1;

}  // namespace

AdvisedPool::AdvisedPool(int worker_count, const AdvicePolicy& advice)
    : scheduler(PoolName("pool"), SchedulerSettings(), 1, kStart),
      advice(advice) {
  std::map<WorkerName, WorkerListing> listing;
  std::set<WorkerName> names;
  for (int i = 0; i < worker_count; ++i) {
    WorkerListing worker;
    worker.name = WorkerName("w" + std::to_string(1000 + i));
    worker.pool = PoolName("pool");
    worker.capacity = Resources{16000, 100000, 0};
    names.insert(worker.name);
    this->workers[worker.name] = std::make_unique<FakeWorker>(kStart);
    listing[worker.name] = worker;
  }
  this->scheduler.SetListing(listing, kStart);
  this->scheduler.SetRemembered(names);
  this->SetAllowed(names);
  this->AddQueue(QueueName("queue"), 1);
}

MonotonicTime AdvisedPool::Now() const {
  return kStart + this->elapsed;
}

void AdvisedPool::AddJob(const AcceptedJob& job) {
  this->scheduler.AddJob(job, JobProgress(), false, this->Now());
}

void AdvisedPool::AddQueue(const QueueName& queue, int priority) {
  QueuePolicy& policy = this->policies[queue];
  policy.priority = priority;
  policy.advice = this->advice;
  this->scheduler.SetPolicies(this->policies);
}

void AdvisedPool::SetAllowed(const std::set<WorkerName>& workers) {
  this->allowed = workers;
}

void AdvisedPool::LeaveCalls(int count, Milliseconds duration) {
  for (int i = 0; i < count; ++i) {
    this->line.push_back(
        Call{std::nullopt, AskAdvice(), duration, MonotonicTime()});
  }
  this->answered_at = this->Now() + duration;
}

std::optional<Milliseconds> AdvisedPool::StartOf(const JobId& job) const {
  const std::map<JobId, Milliseconds>::const_iterator found =
      this->starts.find(job);
  return found == this->starts.end() ? std::nullopt
                                     : std::make_optional(found->second);
}

int AdvisedPool::RunsStarted(const JobId& job) const {
  const std::map<JobId, int>::const_iterator found = this->runs.find(job);
  return found == this->runs.end() ? 0 : found->second;
}

void AdvisedPool::RunFor(Milliseconds duration) {
  const Milliseconds end = this->elapsed + duration;
  for (; this->elapsed < end; this->elapsed += kTick) {
    this->Step();
  }
}

void AdvisedPool::Step() {
  this->AnswerCalls();
  this->GiveUpCalls();
  this->CarryOut(
      this->scheduler.TakeOrders(this->Now(), kWallStart + this->elapsed));
  this->SendCalls();
}

void AdvisedPool::SendCalls() {
  for (const AdviceQueue::Call& call : this->queue.TakeCalls(this->Now())) {
    ++this->call_count;
    if (this->line.size() >= this->call_limit) {
      this->queue.OnRefused(call.request, this->Now());
      continue;
    }
    const AskAdvice& ask = this->asked.at(call.request);
    if (this->line.empty()) {
      this->answered_at = this->Now() + this->slowness * ask.duration;
    }
    this->line.push_back(Call{call.request, ask, this->slowness * ask.duration,
                              this->Now() + call.timeout});
    this->longest_line = std::max(this->longest_line, this->line.size());
  }
}

void AdvisedPool::AnswerCalls() {
  while (!this->line.empty() && this->answered_at <= this->Now()) {
    const Call call = this->line.front();
    this->line.pop_front();
    if (!this->line.empty()) {
      this->answered_at += this->line.front().duration;
    }
    if (!call.request || !this->asked.contains(*call.request)) {
      this->wasted_count += call.request ? 1 : 0;
      continue;
    }
    if (this->answers_to_lose > 0) {
      --this->answers_to_lose;
      this->lost.push_back(call);
      continue;
    }
    std::vector<PlacementTicket> tickets;
    for (const WorkerName& worker : call.ask.workers) {
      if (this->allowed.contains(worker)) {
        tickets.push_back(PlacementTicket{worker, "ticket"});
      }
    }
    this->asked.erase(*call.request);
    this->queue.OnAnswered(*call.request);
    this->scheduler.OnAdvice(call.ask, tickets, this->Now());
  }
}

void AdvisedPool::GiveUpCalls() {
  for (const std::deque<Call>* const calls : {&this->line, &this->lost}) {
    for (const Call& call : *calls) {
      if (call.request && call.given_up_at <= this->Now() &&
          this->asked.erase(*call.request) > 0) {
        this->queue.OnLost(*call.request, true);
        this->scheduler.OnNoAdvice(call.ask, this->Now());
      }
    }
  }
}

void AdvisedPool::CarryOut(const std::vector<Order>& orders) {
  for (const Order& order : orders) {
    std::visit(
        Overloaded{[this](const StartRun& start) {
                     FakeWorker& worker = *this->workers.at(start.worker);
                     this->scheduler.OnStart(
                         start,
                         worker.Start(start, kFence,
                                      FakeWorker::RunPlan{Milliseconds(800)},
                                      this->Now()),
                         worker.Clock(this->Now()), this->Now());
                     this->starts.emplace(start.task.job, this->elapsed);
                     ++this->runs[start.task.job];
                   },
                   [](const StopRun&) {}, [](const PaceRun&) {},
                   [this](const AskReport& ask) {
                     FakeWorker& worker = *this->workers.at(ask.worker);
                     worker.Advance(this->Now());
                     this->scheduler.OnReport(
                         ask.worker, *worker.Report(ask, kFence, this->Now()),
                         this->Now(), this->Now());
                   },
                   [this](const AskAdvice& ask) {
                     this->asked[this->next_request] = ask;
                     this->queue.Add(this->next_request++, ask.duration);
                   }},
        order);
  }
}

}  // namespace daisyroad

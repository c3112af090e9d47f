#include "UnitTests/Jobs/pool_simulation.h"

#include <algorithm>
#include <optional>

#include "Core/Common/overloaded.h"
#include "UnitTests/Jobs/job_builder.h"

namespace daisyroad {
namespace {

constexpr MonotonicTime kStart(std::chrono::hours(1));
constexpr WallTime kWallStart(std::chrono::hours(1000));
constexpr Milliseconds kTick{20};
constexpr Milliseconds kFaultPeriod{40000};
constexpr Milliseconds kSimulationLength{70000};
constexpr int kWorkers = 4;
constexpr int kJobs = 25;
constexpr Milliseconds kOutageGrace{3000};
constexpr double kCrashingJobShare = 0.08;
// Starts that a task is allowed after three workers have crashed under it.
constexpr int kStartsAllowed = 2;
constexpr int kMaxAttempts = 3;
constexpr int kCrashesBeforeFailure = 2;
// Time within which a scheduler notices a crash by the list of machines.
constexpr Milliseconds kListDelay{200};
constexpr Milliseconds kCrashNoticed{1000};

}  // namespace

PoolSimulation::PoolSimulation(std::uint64_t seed) : random(seed) {}

Milliseconds PoolSimulation::Delay() {
  return Milliseconds(1 + this->random.Below(4));
}

bool PoolSimulation::IsReachable(const Host& host) const {
  return host.worker != nullptr &&
         host.unreachable_until <= kStart + this->queue.now();
}

std::map<WorkerName, WorkerListing> PoolSimulation::Listing() const {
  std::map<WorkerName, WorkerListing> listing;
  for (const std::pair<const WorkerName, Host>& host : this->hosts) {
    // The list does not contain workers that the schedulers cannot reach.
    if (this->IsReachable(host.second)) {
      listing[host.first] = host.second.listing;
    }
  }
  return listing;
}

std::string PoolSimulation::Run(Totals* sums) {
  this->totals = sums;
  for (int i = 0; i < kWorkers; ++i) {
    Host host;
    host.listing.name = WorkerName("w" + std::to_string(i));
    host.listing.pool = PoolName("pool");
    host.listing.capacity = Resources{4000, 100000, 0};
    host.worker = std::make_unique<FakeWorker>(kStart);
    this->hosts[host.listing.name] = std::move(host);
  }
  for (int i = 0; i < kJobs; ++i) {
    JobBuilder builder("job" + std::to_string(i));
    builder.Step(1 + static_cast<int>(this->random.Below(4)));
    if (this->random.Chance(0.5)) {
      builder.Step(1 + static_cast<int>(this->random.Below(3))).After(0);
    }
    const AcceptedJob job = builder.Build();
    if (this->random.Chance(kCrashingJobShare)) {
      this->crashing_jobs.insert(job.id);
    }
    this->queue.After(Milliseconds(this->random.Below(20000)), [this, job]() {
      this->jobs.push_back(job);
      this->scheduler->AddJob(job, JobProgress(), false,
                              kStart + this->queue.now());
    });
  }
  this->BeginTerm(true);
  this->Step();
  for (Milliseconds at{0}; at < kFaultPeriod; at += Milliseconds(1500)) {
    this->queue.After(at, [this]() { this->InjectFault(); });
  }
  this->queue.RunUntil(kSimulationLength);
  for (const AcceptedJob& job : this->jobs) {
    const std::optional<JobStatus> status = this->scheduler->StatusOf(job.id);
    if (status == JobStatus::kCompleted || status == JobStatus::kFailed) {
      ++sums->jobs_complete;
      sums->crashing_jobs_failed +=
          this->crashing_jobs.contains(job.id) && status == JobStatus::kFailed;
      sums->bystanders_failed += status == JobStatus::kFailed &&
                                 !this->crashing_jobs.contains(job.id) &&
                                 !this->HasUsedAttempts(job.id);
      if (status == JobStatus::kFailed && !this->MayFail(job.id) &&
          this->failure.empty()) {
        this->failure = job.id.str() + " failed without cause";
      }
    } else if (this->failure.empty()) {
      this->failure =
          job.id.str() + " was not complete at the end of the simulation";
    }
  }
  return this->failure;
}

void PoolSimulation::BeginTerm(bool is_predecessor_gone) {
  const MonotonicTime now = kStart + this->queue.now();
  ++this->term;
  ++this->totals->terms;
  const SchedulerSettings settings;
  const Milliseconds unknown =
      this->term == 1
          ? Milliseconds(0)
          : Milliseconds(6300) +
                (is_predecessor_gone ? Milliseconds(0) : kOutageGrace);
  const std::shared_ptr<PoolScheduler> old = this->scheduler;
  const std::int64_t old_term = this->term - 1;
  this->scheduler = std::make_shared<PoolScheduler>(
      PoolName("pool"), settings, (this->term - 1) * 100 + 1, now + unknown);
  this->scheduler->ExpectRunsOn(this->remembered, now);
  std::set<WorkerName> names;
  for (const WorkerListing& listing : this->remembered) {
    names.insert(listing.name);
  }
  this->scheduler->SetListing(this->Listing(), now);
  this->scheduler->SetRemembered(names);
  for (const AcceptedJob& job : this->jobs) {
    this->scheduler->AddJob(job, this->stored[job.id], true, now);
  }
  // A predecessor that may still be running continues for its outage grace
  // period unless it is fenced.
  if (old != nullptr && !is_predecessor_gone) {
    old->SetSole(false);
    for (Milliseconds at{10}; at < kOutageGrace; at += kTick) {
      this->queue.After(at, [this, old, old_term]() {
        if (old->IsFenced()) {
          return;
        }
        for (const Order& order : old->TakeOrders(
                 kStart + this->queue.now(),
                 kWallStart + std::chrono::duration_cast<Milliseconds>(
                                  this->queue.now()))) {
          const StartRun* const start = std::get_if<StartRun>(&order);
          if (start == nullptr || !this->hosts.contains(start->worker)) {
            continue;
          }
          Host& host = this->hosts.at(start->worker);
          if (this->IsReachable(host)) {
            FakeWorker::RunPlan run_plan{Milliseconds(500), EndKind::kDone};
            if (this->IsCrashing(start->task)) {
              run_plan.duration.reset();
            }
            const StartOutcome outcome = host.worker->Start(
                *start, old_term, run_plan, kStart + this->queue.now());
            if (outcome == StartOutcome::kStarted) {
              this->CrashLater(start->task, &host);
            }
            old->OnStart(*start, outcome, std::nullopt,
                         kStart + this->queue.now());
          }
        }
      });
    }
  }
}

void PoolSimulation::Step() {
  const MonotonicTime now = kStart + this->queue.now();
  this->scheduler->SetListing(this->Listing(), now);
  // Workers are stored for later schedulers before they get runs.
  this->remembered = this->scheduler->WorkersToRemember();
  std::set<WorkerName> names;
  for (const WorkerListing& listing : this->remembered) {
    names.insert(listing.name);
  }
  this->scheduler->SetRemembered(names);
  this->Deliver(this->scheduler->TakeOrders(
      now, kWallStart +
               std::chrono::duration_cast<Milliseconds>(this->queue.now())));
  this->Save();
  this->Check();
  this->queue.After(kTick, [this]() { this->Step(); });
}

void PoolSimulation::Save() {
  const MonotonicTime now = kStart + this->queue.now();
  std::vector<JobId> saved;
  for (const std::pair<JobId, JobProgress>& entry :
       this->scheduler->TakeUnsaved(15, now)) {
    if (this->random.Chance(0.1)) {
      this->scheduler->OnSaveFailed({entry.first});
      continue;
    }
    this->stored[entry.first] = entry.second;
    saved.push_back(entry.first);
  }
  this->scheduler->OnSaved(saved);
}

void PoolSimulation::Deliver(const std::vector<Order>& orders) {
  for (const Order& order : orders) {
    std::visit(
        Overloaded{[this](const StartRun& start) { this->DeliverStart(start); },
                   [this](const StopRun& stop) { this->DeliverStop(stop); },
                   [this](const AskReport& ask) { this->DeliverReport(ask); },
                   [](const PaceRun&) {}, [](const AskAdvice&) {}},
        order);
  }
}

void PoolSimulation::ExecuteStart(const StartRun& order, std::int64_t fence) {
  Host& host = this->hosts.at(order.worker);
  if (host.worker == nullptr) {
    return;
  }
  FakeWorker::RunPlan run_plan{
      Milliseconds(100 + this->random.Below(1500)),
      this->random.Chance(0.03) ? EndKind::kFailed : EndKind::kDone};
  if (this->IsCrashing(order.task)) {
    run_plan.duration.reset();
  }
  const MonotonicTime now = kStart + this->queue.now();
  if (host.worker->Start(order, fence, run_plan, now) ==
      StartOutcome::kStarted) {
    ++this->totals->starts;
    this->failing_starts[order.task] += run_plan.end == EndKind::kFailed;
    this->CrashLater(order.task, &host);
    if (this->crashes[order.task] >= 3 && this->IsCrashing(order.task) &&
        ++this->starts_after_three_crashes[order.task] > kStartsAllowed &&
        this->failure.empty()) {
      this->failure = "start of " + order.task.ToString() + " after " +
                      std::to_string(this->crashes[order.task]) +
                      " workers crashed under it";
    }
    if (this->acknowledged_done.contains(order.task)) {
      this->failure = "start of " + order.task.ToString() +
                      " after its completion was acknowledged";
    }
  }
  this->Check();
}

void PoolSimulation::DeliverStart(const StartRun& order) {
  const std::int64_t fence = this->term;
  const std::shared_ptr<PoolScheduler> sender = this->scheduler;
  const Duration late_delay = Milliseconds(2000 + this->random.Below(9000));
  if (this->queue.now() < kFaultPeriod && this->random.Chance(0.08)) {
    // The order gets no answer and is executed later or never.
    ++this->totals->late_orders;
    if (this->random.Chance(0.7)) {
      // An order that a worker has delayed is lost when the worker restarts.
      const int start_count = this->hosts.at(order.worker).start_count;
      this->queue.After(late_delay, [this, order, fence, start_count]() {
        if (this->hosts.at(order.worker).start_count == start_count) {
          this->ExecuteStart(order, fence);
        }
      });
    }
    this->queue.After(Milliseconds(500), [this, order, sender]() {
      sender->OnStart(order, StartOutcome::kUnknown, std::nullopt,
                      kStart + this->queue.now());
    });
    return;
  }
  this->queue.After(this->Delay(), [this, order, fence, sender]() {
    Host& host = this->hosts.at(order.worker);
    StartOutcome outcome = StartOutcome::kUnknown;
    std::optional<Milliseconds> clock;
    if (this->IsReachable(host)) {
      const MonotonicTime now = kStart + this->queue.now();
      const int before = this->totals->starts;
      this->ExecuteStart(order, fence);
      clock = host.worker->Clock(now);
      outcome = this->totals->starts > before
                    ? StartOutcome::kStarted
                    : host.worker->Start(order, fence, {}, now);
    }
    const Milliseconds answer_delay =
        outcome == StartOutcome::kUnknown ? Milliseconds(500) : this->Delay();
    this->queue.After(answer_delay, [this, order, outcome, clock, sender]() {
      sender->OnStart(order, outcome, clock, kStart + this->queue.now());
    });
  });
}

void PoolSimulation::DeliverStop(const StopRun& order) {
  const std::int64_t fence = this->term;
  const std::shared_ptr<PoolScheduler> sender = this->scheduler;
  const MonotonicTime asked_at = kStart + this->queue.now();
  this->queue.After(this->Delay(), [this, order, fence, sender, asked_at]() {
    Host& host = this->hosts.at(order.worker);
    const bool is_answered =
        this->IsReachable(host) && !this->random.Chance(0.05) &&
        host.worker->Stop(order, fence, kStart + this->queue.now());
    this->queue.After(is_answered ? this->Delay() : Milliseconds(500),
                      [this, order, is_answered, sender, asked_at]() {
                        sender->OnStop(order, is_answered, asked_at,
                                       kStart + this->queue.now());
                      });
  });
}

void PoolSimulation::DeliverReport(const AskReport& order) {
  const std::int64_t fence = this->term;
  const std::shared_ptr<PoolScheduler> sender = this->scheduler;
  const MonotonicTime asked_at = kStart + this->queue.now();
  this->queue.After(this->Delay(), [this, order, fence, sender, asked_at]() {
    Host& host = this->hosts.at(order.worker);
    std::optional<RunReport> report;
    if (this->IsReachable(host) && !this->random.Chance(0.03)) {
      const MonotonicTime now = kStart + this->queue.now();
      for (const RunEnd& end : host.worker->ends()) {
        if (end.sequence <= order.acknowledged &&
            end.sequence > host.worker->lapsed_ends() &&
            end.kind == EndKind::kDone) {
          this->acknowledged_done.insert(end.task);
        }
      }
      report = host.worker->Report(order, fence, now);
    }
    this->queue.After(report ? this->Delay() : Milliseconds(500),
                      [this, order, report, asked_at, sender]() {
                        const MonotonicTime now = kStart + this->queue.now();
                        if (report) {
                          sender->OnReport(order.worker, *report, asked_at,
                                           now);
                        } else {
                          sender->OnReportFailed(order.worker, now);
                          this->CheckMachine(order.worker, sender);
                        }
                      });
  });
}

void PoolSimulation::CheckMachine(
    const WorkerName& worker,
    const std::shared_ptr<PoolScheduler>& sender) {
  const int start_count = this->hosts.at(worker).start_count;
  this->queue.After(kListDelay, [this, worker, sender, start_count]() {
    const Host& host = this->hosts.at(worker);
    if (host.worker == nullptr && host.start_count == start_count) {
      const MonotonicTime now = kStart + this->queue.now();
      sender->OnWorkerGone(worker, now - kListDelay, now);
    }
  });
}

void PoolSimulation::InjectFault() {
  const MonotonicTime now = kStart + this->queue.now();
  Host& host =
      this->hosts.at(WorkerName("w" + std::to_string(this->random.Below(4))));
  switch (this->random.Below(4)) {
    case 0:
      ++this->totals->crashes;
      this->CrashWorker(&host);
      return;
    case 1:
      ++this->totals->partitions;
      host.unreachable_until = now + Milliseconds(this->random.Below(9000));
      return;
    case 2:
      this->BeginTerm(true);
      return;
    default:
      this->BeginTerm(false);
  }
}

void PoolSimulation::CrashWorker(Host* host) {
  if (host->worker != nullptr) {
    host->worker->Advance(kStart + this->queue.now());
    for (const std::pair<const TaskRef, FakeWorker::Run>& run :
         host->worker->runs()) {
      this->CountCrash(run.first);
    }
  }
  host->worker.reset();
  ++host->start_count;
  this->queue.After(Milliseconds(this->random.Below(3000)), [this, host]() {
    if (host->worker == nullptr) {
      host->worker = std::make_unique<FakeWorker>(kStart + this->queue.now());
    }
  });
}

void PoolSimulation::CountCrash(const TaskRef& task) {
  ++this->lost_runs[task];
  if (this->stored[task.job].crashes.contains(task)) {
    ++this->crashes[task];
    return;
  }
  // The first crash is lost with the scheduler if that ends before it sees it.
  const std::int64_t term_of_crash = this->term;
  this->queue.After(kCrashNoticed, [this, task, term_of_crash]() {
    this->crashes[task] += this->term == term_of_crash;
  });
}

bool PoolSimulation::IsCrashing(const TaskRef& task) const {
  return this->crashing_jobs.contains(task.job) && task.step == 0 &&
         task.index == 0;
}

void PoolSimulation::CrashLater(const TaskRef& task, Host* host) {
  if (!this->IsCrashing(task)) {
    return;
  }
  const int start_count = host->start_count;
  this->queue.After(Milliseconds(this->random.Below(300)),
                    [this, host, task, start_count]() {
                      if (host->start_count == start_count &&
                          host->worker->runs().contains(task)) {
                        ++this->totals->crashes_by_tasks;
                        this->CrashWorker(host);
                      }
                    });
}

bool PoolSimulation::MayFail(const JobId& job) const {
  // Another task may be given up if two workers have crashed under it.
  return this->crashing_jobs.contains(job) ||
         std::any_of(this->lost_runs.begin(), this->lost_runs.end(),
                     [&job](const std::pair<const TaskRef, int>& lost) {
                       return lost.first.job == job &&
                              lost.second >= kCrashesBeforeFailure;
                     }) ||
         this->HasUsedAttempts(job);
}

bool PoolSimulation::HasUsedAttempts(const JobId& job) const {
  return std::any_of(this->failing_starts.begin(), this->failing_starts.end(),
                     [&job](const std::pair<const TaskRef, int>& starts) {
                       return starts.first.job == job &&
                              starts.second >= kMaxAttempts;
                     });
}

void PoolSimulation::Check() {
  std::map<TaskRef, WorkerName> running;
  for (std::pair<const WorkerName, Host>& host : this->hosts) {
    if (host.second.worker == nullptr) {
      continue;
    }
    host.second.worker->Advance(kStart + this->queue.now());
    for (const std::pair<const TaskRef, FakeWorker::Run>& run :
         host.second.worker->runs()) {
      const bool is_first = running.emplace(run.first, host.first).second;
      if (!is_first && this->failure.empty()) {
        this->failure =
            "two runs of " + run.first.ToString() + " on " +
            running.at(run.first).str() + " and " + host.first.str() + " at " +
            std::to_string(
                std::chrono::duration_cast<Milliseconds>(this->queue.now())
                    .count()) +
            " ms";
      }
    }
  }
}

}  // namespace daisyroad

#include "UnitTests/Jobs/crashing_pool.h"

#include "Core/Common/json.h"
#include "Core/Common/overloaded.h"

namespace daisyroad {
namespace {

constexpr MonotonicTime kStart(std::chrono::hours(1));
constexpr WallTime kWallStart(std::chrono::hours(1000));
constexpr Milliseconds kTick{10};
constexpr int kWorkersPerRack = 4;
// Time from a crash until the list of machines shows it.
constexpr Milliseconds kListDelay{200};
constexpr std::int64_t kRunNumbersPerTerm = 100;
// Longest time for which runs of an earlier scheduler go on.
constexpr Milliseconds kUnknownRuns{6300};

}  // namespace

CrashingPool::CrashingPool(int worker_count) {
  for (int i = 0; i < worker_count; ++i) {
    Host host;
    host.listing.name = WorkerName("w" + std::to_string(i));
    host.listing.pool = PoolName("pool");
    host.listing.rack = RackName("rack" + std::to_string(i / kWorkersPerRack));
    host.listing.capacity = Resources{4000, 100000, 0};
    host.worker = std::make_unique<FakeWorker>(kStart);
    this->hosts[host.listing.name] = std::move(host);
  }
  this->BeginScheduler();
}

MonotonicTime CrashingPool::Now() const {
  return kStart + this->elapsed;
}

bool CrashingPool::IsReachable(const Host& host) const {
  return host.worker != nullptr && host.unreachable_until <= this->Now();
}

std::map<WorkerName, WorkerListing> CrashingPool::Listing() const {
  std::map<WorkerName, WorkerListing> listing;
  for (const std::pair<const WorkerName, Host>& host : this->hosts) {
    listing[host.first] = host.second.listing;
  }
  return listing;
}

void CrashingPool::AddJob(const AcceptedJob& job) {
  this->jobs[job.id] = job;
  if (this->scheduler != nullptr) {
    this->scheduler->AddJob(job, JobProgress(), false, this->Now());
  }
}

void CrashingPool::CancelJob(const std::string& job) {
  this->scheduler->CancelJob(JobId(job), this->Now());
}

void CrashingPool::CrashWorkersOf(const TaskRef& task, Milliseconds delay) {
  this->crash_delays[task] = delay;
}

void CrashingPool::EndScheduler() {
  this->scheduler.reset();
}

void CrashingPool::BeginScheduler() {
  ++this->term;
  const Milliseconds unknown = this->term == 1 ? Milliseconds(0) : kUnknownRuns;
  this->scheduler = std::make_unique<PoolScheduler>(
      PoolName("pool"), SchedulerSettings(),
      (this->term - 1) * kRunNumbersPerTerm + 1, this->Now() + unknown);
  this->scheduler->ExpectRunsOn(this->remembered, this->Now());
  this->scheduler->SetListing(this->Listing(), this->Now());
  for (const std::pair<const JobId, AcceptedJob>& job : this->jobs) {
    JobProgress progress;
    const std::map<JobId, std::string>::const_iterator text =
        this->stored.find(job.first);
    if (text != this->stored.end()) {
      progress =
          ParseJobProgress(job.first, ParseJson(text->second).value()).value();
    }
    this->scheduler->AddJob(job.second, progress, this->term > 1, this->Now());
  }
}

void CrashingPool::EndSchedulerAtStartsOf(const TaskRef& task,
                                          int first_start,
                                          Milliseconds gap) {
  this->fatal_task = task;
  this->fatal_from = first_start;
  this->fatal_gap = gap;
}

void CrashingPool::RunFor(Milliseconds duration) {
  const Milliseconds end = this->elapsed + duration;
  while (this->elapsed < end) {
    this->Step();
    this->elapsed += kTick;
  }
}

void CrashingPool::Step() {
  while (!this->crashes_due.empty() &&
         this->crashes_due.begin()->first <= this->Now()) {
    const WorkerName worker = this->crashes_due.begin()->second;
    this->crashes_due.erase(this->crashes_due.begin());
    this->CrashWorker(worker);
  }
  this->RestartWorkers();
  if (this->next_scheduler_at && *this->next_scheduler_at <= this->Now()) {
    this->next_scheduler_at.reset();
    this->BeginScheduler();
  }
  if (this->scheduler == nullptr) {
    return;
  }
  this->scheduler->SetListing(this->Listing(), this->Now());
  this->scheduler->SetVacating(this->vacating, {});
  this->remembered = this->scheduler->WorkersToRemember();
  std::set<WorkerName> names;
  for (const WorkerListing& listing : this->remembered) {
    names.insert(listing.name);
  }
  this->scheduler->SetRemembered(names);
  for (const WorkerName& worker : this->scheduler->SilentWorkers(this->Now())) {
    const Host& host = this->hosts.at(worker);
    if (host.down_listed_at && *host.down_listed_at <= this->Now()) {
      this->scheduler->OnWorkerGone(worker, this->Now(), this->Now());
    }
  }
  this->CarryOut(
      this->scheduler->TakeOrders(this->Now(), kWallStart + this->elapsed));
  this->Save();
  for (const std::string& line : this->scheduler->TakeDecisions()) {
    this->log.push_back(line);
  }
  if (this->is_scheduler_ending) {
    this->is_scheduler_ending = false;
    this->EndScheduler();
    this->next_scheduler_at = this->Now() + this->fatal_gap;
  }
}

void CrashingPool::EndProcess(Host* host, bool is_planned) {
  if (host->worker == nullptr) {
    return;
  }
  if (!is_planned) {
    host->worker->Advance(this->Now());
    ++this->crash_count;
    for (const std::pair<const TaskRef, FakeWorker::Run>& run :
         host->worker->runs()) {
      ++this->histories[run.first].crashes;
    }
  }
  const std::map<TaskRef, FakeWorker::Run> lost = host->worker->runs();
  host->worker.reset();
  for (const std::pair<const TaskRef, FakeWorker::Run>& run : lost) {
    this->BreakGangOf(run.first);
  }
  host->restart_at = this->Now() + this->restart_delay;
  if (this->is_crash_listed) {
    host->down_listed_at = this->Now() + kListDelay;
  }
}

void CrashingPool::BreakGangOf(const TaskRef& task) {
  if (!this->jobs.at(task.job).spec.steps.at(task.step).is_gang) {
    return;
  }
  for (std::pair<const WorkerName, Host>& host : this->hosts) {
    for (const TaskRef& member : this->RunsOn(host.first)) {
      if (member.job == task.job && member.occurrence == task.occurrence &&
          member.step == task.step) {
        host.second.worker->BreakRun(member, this->Now());
      }
    }
  }
}

void CrashingPool::CrashWorker(const WorkerName& worker) {
  this->EndProcess(&this->hosts.at(worker), false);
}

void CrashingPool::EndPlanned(const WorkerName& worker) {
  this->EndProcess(&this->hosts.at(worker), true);
}

void CrashingPool::RestartWorkers() {
  for (std::pair<const WorkerName, Host>& entry : this->hosts) {
    Host& host = entry.second;
    if (host.worker == nullptr && host.restart_at <= this->Now()) {
      host.worker = std::make_unique<FakeWorker>(this->Now());
      host.listing.is_draining = false;
      host.down_listed_at.reset();
    }
  }
}

void CrashingPool::SetDraining(const WorkerName& worker, bool is_draining) {
  this->hosts.at(worker).listing.is_draining = is_draining;
}

void CrashingPool::SetVacating(const std::set<WorkerName>& workers) {
  this->vacating = workers;
}

void CrashingPool::Disconnect(const WorkerName& worker, Milliseconds duration) {
  this->hosts.at(worker).unreachable_until = this->Now() + duration;
}

void CrashingPool::SetCapacity(const WorkerName& worker,
                               const Resources& capacity) {
  this->hosts.at(worker).listing.capacity = capacity;
}

void CrashingPool::CarryOut(const std::vector<Order>& orders) {
  for (const Order& order : orders) {
    std::visit(
        Overloaded{
            [this](const StartRun& start) { this->CarryOutStart(start); },
            [this](const StopRun& stop) { this->CarryOutStop(stop); },
            [this](const AskReport& ask) { this->CarryOutReport(ask); },
            [](const PaceRun&) {}, [](const AskAdvice&) {}},
        order);
  }
}

void CrashingPool::CarryOutStart(const StartRun& order) {
  Host& host = this->hosts.at(order.worker);
  if (!this->IsReachable(host)) {
    this->scheduler->OnStart(order, StartOutcome::kUnknown, std::nullopt,
                             this->Now());
    return;
  }
  const StepSpec& step =
      this->jobs.at(order.task.job).spec.steps.at(order.task.step);
  FakeWorker::RunPlan plan;
  if (!step.is_service) {
    plan.duration = step.estimate;
  }
  const std::map<TaskRef, Milliseconds>::const_iterator crash =
      this->crash_delays.find(order.task);
  if (crash != this->crash_delays.end()) {
    plan.duration.reset();
  }
  const StartOutcome outcome =
      host.worker->Start(order, this->term, plan, this->Now());
  const Milliseconds clock = host.worker->Clock(this->Now());
  if (outcome != StartOutcome::kStarted) {
    this->scheduler->OnStart(order, outcome, clock, this->Now());
    return;
  }
  History& history = this->histories[order.task];
  ++history.starts;
  history.starts_after_three += history.crashes >= 3;
  this->is_scheduler_ending |=
      this->fatal_task == order.task && history.starts >= this->fatal_from;
  if (crash == this->crash_delays.end()) {
    this->scheduler->OnStart(order, outcome, clock, this->Now());
  } else if (crash->second.count() > 0) {
    this->crashes_due.emplace(this->Now() + crash->second, order.worker);
    this->scheduler->OnStart(order, outcome, clock, this->Now());
  } else {
    this->CrashWorker(order.worker);
    this->scheduler->OnStart(order, StartOutcome::kUnknown, std::nullopt,
                             this->Now());
  }
}

void CrashingPool::CarryOutStop(const StopRun& order) {
  Host& host = this->hosts.at(order.worker);
  const bool is_answered = this->IsReachable(host) &&
                           host.worker->Stop(order, this->term, this->Now());
  this->scheduler->OnStop(order, is_answered, this->Now(), this->Now());
}

void CrashingPool::CarryOutReport(const AskReport& order) {
  Host& host = this->hosts.at(order.worker);
  if (this->IsReachable(host)) {
    AskReport request = order;
    const std::optional<RunReport> report =
        host.worker->Report(request, this->term, this->Now());
    this->scheduler->OnReport(order.worker, *report, this->Now(), this->Now());
    return;
  }
  this->scheduler->OnReportFailed(order.worker, this->Now());
}

void CrashingPool::Save() {
  if (!this->is_store_available) {
    return;
  }
  std::vector<JobId> saved;
  for (const std::pair<JobId, JobProgress>& entry :
       this->scheduler->TakeUnsaved(100, this->Now())) {
    this->stored[entry.first] = WriteJson(ToJson(entry.second));
    saved.push_back(entry.first);
  }
  this->scheduler->OnSaved(saved);
}

std::optional<JobStatus> CrashingPool::StatusOf(const std::string& job) const {
  return this->scheduler == nullptr ? std::nullopt
                                    : this->scheduler->StatusOf(JobId(job));
}

int CrashingPool::Starts(const TaskRef& task) const {
  const std::map<TaskRef, History>::const_iterator found =
      this->histories.find(task);
  return found == this->histories.end() ? 0 : found->second.starts;
}

int CrashingPool::Crashes(const TaskRef& task) const {
  const std::map<TaskRef, History>::const_iterator found =
      this->histories.find(task);
  return found == this->histories.end() ? 0 : found->second.crashes;
}

int CrashingPool::StartsAfterThreeCrashes(const TaskRef& task) const {
  const std::map<TaskRef, History>::const_iterator found =
      this->histories.find(task);
  return found == this->histories.end() ? 0 : found->second.starts_after_three;
}

int CrashingPool::JobsFailed() const {
  int failed = 0;
  for (const std::pair<const JobId, AcceptedJob>& job : this->jobs) {
    failed += this->scheduler->StatusOf(job.first) == JobStatus::kFailed;
  }
  return failed;
}

int CrashingPool::JobsCompleted() const {
  int completed = 0;
  for (const std::pair<const JobId, AcceptedJob>& job : this->jobs) {
    completed += this->scheduler->StatusOf(job.first) == JobStatus::kCompleted;
  }
  return completed;
}

std::vector<TaskRef> CrashingPool::RunsOn(const WorkerName& worker) const {
  std::vector<TaskRef> tasks;
  const Host& host = this->hosts.at(worker);
  if (host.worker != nullptr) {
    for (const std::pair<const TaskRef, FakeWorker::Run>& run :
         host.worker->runs()) {
      tasks.push_back(run.first);
    }
  }
  return tasks;
}

WorkerName CrashingPool::WorkerOf(const TaskRef& task) const {
  for (const std::pair<const WorkerName, Host>& host : this->hosts) {
    for (const TaskRef& run : this->RunsOn(host.first)) {
      if (run == task) {
        return host.first;
      }
    }
  }
  return WorkerName();
}

std::vector<WorkerName> CrashingPool::WorkerNames() const {
  std::vector<WorkerName> names;
  for (const std::pair<const WorkerName, Host>& host : this->hosts) {
    names.push_back(host.first);
  }
  return names;
}

}  // namespace daisyroad

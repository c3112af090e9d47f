#include "UnitTests/Jobs/takeover_simulation.h"

#include <algorithm>
#include <utility>

#include "Core/Common/overloaded.h"
#include "UnitTests/Jobs/job_builder.h"

namespace daisyroad {
namespace {

constexpr MonotonicTime kStart(std::chrono::hours(1));
constexpr WallTime kWallStart(std::chrono::hours(1000));
constexpr Milliseconds kTick{20};
constexpr Milliseconds kFaultPeriod{30000};
constexpr Milliseconds kSimulationLength{100000};
constexpr int kZones = 3;
constexpr int kWorkers = 6;
constexpr int kInstances = 4;
constexpr int kJobs = 20;

// As in Leadership and PoolLeader.
constexpr Milliseconds kLeaseDuration{1500};
constexpr Milliseconds kRenewInterval{400};
constexpr Milliseconds kOutageGrace{8000};
constexpr Milliseconds kCheckInterval{100};
constexpr Milliseconds kRegistrationDelay{700};
constexpr Milliseconds kMostRankDelay{450};
constexpr Milliseconds kMirrorDelay{300};
constexpr Milliseconds kTakeoverStartDelay{300};
constexpr Milliseconds kListingInterval{250};
constexpr Milliseconds kInboxDelay{300};
constexpr Milliseconds kPersistInterval{1000};
constexpr Milliseconds kMachineCheckInterval{400};
constexpr Milliseconds kSaveTimeout{600};
constexpr Milliseconds kOrderTimeout{500};
constexpr std::int64_t kRunNumbersPerTerm = 100;
constexpr int kMaxSaves = 4;

// Workers check in with the store at this interval; a new process does so after
// up to kCheckInDelay.
constexpr Milliseconds kCheckInInterval{500};
constexpr Milliseconds kCheckInDelay{1500};
constexpr double kMostClockDrift = 0.02;

Milliseconds MaxLeaseDuration() {
  const SchedulerSettings settings;
  const double lease = static_cast<double>(settings.longest_lease.count()) /
                       (1.0 - settings.worker_clock_drift);
  return Milliseconds(static_cast<std::int64_t>(lease)) + settings.lease_margin;
}

std::int64_t IncarnationAt(MonotonicTime start) {
  return 1 + start.time_since_epoch().count();
}

std::set<WorkerName> NamesOf(const std::vector<WorkerListing>& workers) {
  std::set<WorkerName> names;
  for (const WorkerListing& worker : workers) {
    names.insert(worker.name);
  }
  return names;
}

}  // namespace

TakeoverSimulation::Leader::Leader(std::int64_t number,
                                   MonotonicTime unknown_runs_over_at)
    : scheduler(PoolName("pool"),
                SchedulerSettings(),
                (number - 1) * kRunNumbersPerTerm + 1,
                unknown_runs_over_at),
      number(number) {}

TakeoverSimulation::TakeoverSimulation(std::uint64_t seed,
                                       const TakeoverOptions& options)
    : random(seed), options(options), cut_until(kZones) {}

MonotonicTime TakeoverSimulation::Now() const {
  return kStart + this->queue.now();
}

Milliseconds TakeoverSimulation::Upto(std::uint64_t bound) {
  return Milliseconds(this->random.Below(bound + 1));
}

Milliseconds TakeoverSimulation::Delay() {
  return this->random.Chance(0.03) ? this->Upto(300)
                                   : Milliseconds(1 + this->random.Below(4));
}

bool TakeoverSimulation::IsCutOff(int zone) const {
  return this->Now() < this->cut_until[zone];
}

bool TakeoverSimulation::ReachesStore(const Instance& instance) const {
  return instance.is_alive && !this->IsCutOff(instance.zone) &&
         this->Now() >= instance.store_unreachable_until;
}

bool TakeoverSimulation::IsLinked(const Leader& leader,
                                  const Host& host) const {
  const Instance& instance = this->instances[leader.instance];
  const bool is_same_side =
      instance.zone == host.zone ||
      (!this->IsCutOff(instance.zone) && !this->IsCutOff(host.zone));
  const std::map<WorkerName, MonotonicTime>::const_iterator link =
      instance.broken_links.find(host.listing.name);
  return is_same_side && this->Now() >= host.unreachable_until &&
         (link == instance.broken_links.end() || this->Now() >= link->second);
}

MonotonicTime TakeoverSimulation::TimeAt(const Host& host) const {
  const Duration elapsed = this->Now() - host.booted_at;
  return host.booted_at +
         Duration(static_cast<Duration::rep>(
             static_cast<double>(elapsed.count()) * host.clock_rate));
}

bool TakeoverSimulation::IsReplaced(const Leader& leader) const {
  return leader.fence < this->record.fence;
}

void TakeoverSimulation::Fail(const std::string& text) {
  if (this->failure.empty()) {
    this->failure = text;
    this->Trace("VIOLATION " + text);
  }
}

void TakeoverSimulation::Trace(const std::string& line) {
  if (this->options.keeps_trace) {
    this->lines.push_back(
        std::to_string(
            std::chrono::duration_cast<Milliseconds>(this->queue.now())
                .count()) +
        " ms " + line);
  }
}

void TakeoverSimulation::TraceReport(const Leader& leader,
                                     const AskReport& order,
                                     const RunReport& report) {
  if (!this->options.keeps_trace) {
    return;
  }
  std::string ends;
  for (const RunEnd& end : report.ended) {
    ends += " " + std::to_string(end.sequence);
  }
  this->Trace("fence " + std::to_string(leader.fence) + " receives a report, " +
              order.worker.str() + " at its " +
              std::to_string(report.worker_clock.count()) + " ms, " +
              std::to_string(report.active.size()) + " runs, ends" + ends +
              ", acknowledged " + std::to_string(order.acknowledged));
}

void TakeoverSimulation::TraceDecisions(Leader* leader) {
  for (const std::string& line : leader->scheduler.TakeDecisions()) {
    this->Trace("fence " + std::to_string(leader->fence) + ": " + line);
  }
}

std::string TakeoverSimulation::Run(Totals* sums) {
  this->totals = sums;
  for (int i = 0; i < kWorkers; ++i) {
    Host host;
    host.listing.name = WorkerName("w" + std::to_string(i));
    host.listing.pool = PoolName("pool");
    host.listing.capacity = Resources{4000, 100000, 0};
    host.listing.incarnation = IncarnationAt(kStart);
    host.zone = i % kZones;
    host.worker = std::make_unique<FakeWorker>(kStart);
    host.booted_at = kStart;
    this->hosts[host.listing.name] = std::move(host);
  }
  for (int i = 0; i < kInstances; ++i) {
    Instance instance;
    instance.zone = i % kZones;
    this->instances.push_back(instance);
  }
  for (int i = 0; i < kJobs; ++i) {
    JobBuilder builder("job" + std::to_string(i));
    builder.Step(1 + static_cast<int>(this->random.Below(4)));
    if (this->random.Chance(0.5)) {
      builder.Step(1 + static_cast<int>(this->random.Below(3))).After(0);
    }
    const AcceptedJob job = builder.Build();
    this->queue.After(this->Upto(25000),
                      [this, job]() { this->jobs.push_back(job); });
  }
  this->Step();
  for (Milliseconds at{2000}; at < kFaultPeriod;
       at += Milliseconds(500) + this->Upto(1500)) {
    this->queue.After(at, [this]() { this->InjectFault(); });
  }
  this->queue.RunUntil(kSimulationLength);
  const LeaderPointer last = this->instances[this->LeadingInstance()].leader;
  for (const AcceptedJob& job : this->jobs) {
    const std::optional<JobStatus> status =
        last == nullptr ? std::nullopt : last->scheduler.StatusOf(job.id);
    sums->jobs_complete += status == JobStatus::kCompleted;
    sums->jobs_failed += status == JobStatus::kFailed;
    if (status != JobStatus::kCompleted && status != JobStatus::kFailed) {
      this->Fail(job.id.str() +
                 " was not complete at the end of the simulation");
    }
  }
  return this->failure;
}

void TakeoverSimulation::Step() {
  for (std::pair<const WorkerName, Host>& host : this->hosts) {
    this->CheckIn(&host.second);
  }
  std::erase_if(this->listed,
                [this](const std::pair<const WorkerName, ListedWorker>& entry) {
                  return entry.second.expires_at <= this->Now();
                });
  for (int i = 0; i < kInstances; ++i) {
    this->TickInstance(i);
  }
  this->MaybeBeginTerm();
  for (const Instance& instance : this->instances) {
    if (instance.leader != nullptr) {
      this->Pass(instance.leader);
    }
  }
  this->Check();
  this->queue.After(kTick, [this]() { this->Step(); });
}

void TakeoverSimulation::CheckIn(Host* host) {
  const MonotonicTime now = this->Now();
  if (host->worker == nullptr || now < host->next_check_in ||
      this->IsCutOff(host->zone)) {
    return;
  }
  host->next_check_in = now + kCheckInInterval;
  this->listed[host->listing.name] =
      ListedWorker{host->listing, now + 3 * kCheckInInterval};
}

void TakeoverSimulation::TickInstance(int index) {
  Instance& instance = this->instances[index];
  const MonotonicTime now = this->Now();
  if (now > instance.lease_until) {
    // The registration is stored under the lease.
    instance.registered = 0;
  }
  if (!instance.is_alive) {
    return;
  }
  if (this->ReachesStore(instance) && now >= instance.next_renewal) {
    if (instance.has_lease && now > instance.lease_until) {
      instance.has_lease = false;
      this->EndTerm(&instance, "the lease expired");
    } else {
      if (!instance.has_lease) {
        instance.has_lease = true;
        instance.registered_at = now;
      }
      instance.registered = instance.start_count;
      instance.lease_until = now + kLeaseDuration;
      instance.lease_valid_until = now + kLeaseDuration;
      instance.next_renewal = now + kRenewInterval;
      if (this->record.holder == Process(index, instance.start_count)) {
        this->record.lease_until = instance.lease_until;
      }
    }
  }
  if (now > instance.lease_valid_until + kOutageGrace) {
    this->EndTerm(&instance, "the outage grace period is over");
  }
  if (this->ReachesStore(instance) && now >= instance.next_mirror) {
    instance.next_mirror = now + this->Upto(kMirrorDelay.count());
    this->ReadMirror(index);
  }
}

void TakeoverSimulation::ReadMirror(int index) {
  Instance& instance = this->instances[index];
  if (instance.leader == nullptr) {
    return;
  }
  if (this->IsReplaced(*instance.leader)) {
    this->EndTerm(&instance, "another instance acquired the duty");
    return;
  }
  Leader& leader = *instance.leader;
  const MonotonicTime now = this->Now();
  if (now >= leader.begun_at + kOutageGrace + kCheckInterval) {
    leader.predecessors.clear();
    this->record.predecessors.clear();
  }
  const bool are_gone =
      std::all_of(leader.predecessors.begin(), leader.predecessors.end(),
                  [this, index](const Process& process) {
                    return this->HasTerminated(process, index);
                  });
  if (are_gone && !leader.is_predecessor_gone) {
    ++this->totals->predecessors_gone;
    leader.is_predecessor_gone = true;
    leader.scheduler.SetUnknownRunsOver(now + MaxLeaseDuration());
    this->Trace("fence " + std::to_string(leader.fence) + ": predecessor_gone");
  }
}

bool TakeoverSimulation::HasTerminated(const Process& process,
                                       int asking) const {
  const std::int64_t registered = this->instances[process.first].registered;
  return process.first == asking ||
         (registered != 0 && registered != process.second);
}

bool TakeoverSimulation::MayBeginTerm(int index) const {
  const Instance& instance = this->instances[index];
  return instance.has_lease && instance.leader == nullptr &&
         this->Now() < instance.lease_until &&
         this->Now() >= instance.registered_at + kRegistrationDelay &&
         this->ReachesStore(instance);
}

void TakeoverSimulation::MaybeBeginTerm() {
  const MonotonicTime now = this->Now();
  if (this->record.is_held) {
    const int holder = this->record.holder->first;
    if (now > this->record.lease_until) {
      this->record.is_held = false;
      this->vacant_since = now;
      this->vacant_for = kCheckInterval + this->Upto(kMostRankDelay.count());
    } else if (this->instances[holder].start_count !=
                   this->record.holder->second &&
               this->MayBeginTerm(holder)) {
      // The record is of an earlier process of this instance.
      this->BeginTerm(holder);
    }
    return;
  }
  if (now < this->vacant_since + this->vacant_for) {
    return;
  }
  std::vector<int> candidates;
  for (int i = 0; i < kInstances; ++i) {
    if (this->MayBeginTerm(i)) {
      candidates.push_back(i);
    }
  }
  if (!candidates.empty()) {
    this->BeginTerm(candidates[this->random.Below(candidates.size())]);
  }
}

void TakeoverSimulation::BeginTerm(int index) {
  const MonotonicTime now = this->Now();
  Instance& instance = this->instances[index];
  std::vector<Process> predecessors = this->record.predecessors;
  if (this->record.holder) {
    predecessors.push_back(*this->record.holder);
  }
  std::erase_if(predecessors, [this, index](const Process& process) {
    return this->HasTerminated(process, index);
  });
  const std::int64_t number = this->record.number + 1;
  const bool is_gone = predecessors.empty();
  const Milliseconds unknown =
      number == 1
          ? Milliseconds(0)
          : MaxLeaseDuration() + (is_gone ? Milliseconds(0) : kOutageGrace);
  const LeaderPointer leader = std::make_shared<Leader>(number, now + unknown);
  leader->fence = this->record.fence + 10;
  leader->instance = index;
  leader->predecessors = predecessors;
  leader->is_predecessor_gone = is_gone;
  leader->begun_at = now;
  if (number > 1) {
    leader->scheduler.HoldStartsUntil(now + kTakeoverStartDelay);
  }
  this->record.is_held = true;
  this->record.lease_until = instance.lease_until;
  this->record.holder = Process(index, instance.start_count);
  this->record.number = number;
  this->record.fence = leader->fence;
  this->record.predecessors = predecessors;
  instance.leader = leader;
  ++this->totals->terms;
  this->totals->chained_terms += predecessors.size() > 1;
  this->Trace("fence " + std::to_string(leader->fence) + ": term_begun i" +
              std::to_string(index) + ", " +
              std::to_string(predecessors.size()) + " predecessors");
  this->Answer(leader, Milliseconds(20) + this->Upto(180),
               [this, leader]() { this->Load(leader); });
}

void TakeoverSimulation::EndTerm(Instance* instance,
                                 const std::string& reason) {
  if (instance->leader == nullptr) {
    return;
  }
  this->Trace("fence " + std::to_string(instance->leader->fence) +
              ": term_ended, " + reason);
  instance->leader->is_stopped = true;
  instance->leader.reset();
}

bool TakeoverSimulation::MayCommit(const LeaderPointer& leader) const {
  return this->ReachesStore(this->instances[leader->instance]) &&
         this->record.is_held && this->record.fence == leader->fence;
}

void TakeoverSimulation::Load(const LeaderPointer& leader) {
  if (!this->ReachesStore(this->instances[leader->instance])) {
    this->Answer(leader, Milliseconds(150),
                 [this, leader]() { this->Load(leader); });
    return;
  }
  const MonotonicTime now = this->Now();
  leader->scheduler.ExpectRunsOn(this->remembered, now);
  leader->scheduler.SetRemembered(NamesOf(this->remembered));
  leader->persisted = this->remembered;
  leader->scheduler.SetSole(
      now < this->instances[leader->instance].lease_valid_until);
  for (const AcceptedJob& job : this->jobs) {
    leader->scheduler.AddJob(job, this->progress[job.id], leader->number > 1,
                             now);
  }
  leader->known_jobs = this->jobs.size();
  leader->is_ready = true;
}

void TakeoverSimulation::Pass(const LeaderPointer& leader) {
  const MonotonicTime now = this->Now();
  const Instance& instance = this->instances[leader->instance];
  if (this->ReachesStore(instance) && now >= leader->next_listing) {
    leader->next_listing = now + kListingInterval;
    leader->next_machine_check = MonotonicTime();
    leader->next_persist = MonotonicTime();
    std::map<WorkerName, WorkerListing> listing;
    for (const std::pair<const WorkerName, ListedWorker>& entry :
         this->listed) {
      listing[entry.first] = entry.second.listing;
    }
    leader->scheduler.SetListing(listing, now);
  }
  if (!leader->is_ready || leader->is_fenced) {
    return;
  }
  leader->scheduler.SetSole(now < instance.lease_valid_until);
  if (this->ReachesStore(instance) && now >= leader->next_inbox) {
    leader->next_inbox = now + this->Upto(kInboxDelay.count());
    for (; leader->known_jobs < this->jobs.size(); ++leader->known_jobs) {
      leader->scheduler.AddJob(this->jobs[leader->known_jobs], JobProgress(),
                               false, now);
    }
  }
  const std::vector<Order> orders = leader->scheduler.TakeOrders(
      now,
      kWallStart + std::chrono::duration_cast<Milliseconds>(this->queue.now()));
  this->TraceDecisions(leader.get());
  for (const Order& order : orders) {
    std::visit(Overloaded{[this, &leader](const StartRun& start) {
                            this->SendStart(leader, start);
                          },
                          [this, &leader](const StopRun& stop) {
                            this->SendStop(leader, stop);
                          },
                          [this, &leader](const AskReport& ask) {
                            this->SendAsk(leader, ask);
                          },
                          [](const PaceRun&) {}, [](const AskAdvice&) {}},
               order);
  }
  this->PersistWorkers(leader);
  this->CheckMachines(leader);
  this->Save(leader);
}

void TakeoverSimulation::PersistWorkers(const LeaderPointer& leader) {
  if (leader->is_persisting || this->Now() < leader->next_persist) {
    return;
  }
  leader->next_persist = this->Now() + kPersistInterval;
  const std::vector<WorkerListing> workers =
      leader->scheduler.WorkersToRemember();
  if (workers == leader->persisted) {
    return;
  }
  leader->is_persisting = true;
  this->queue.After(this->Delay(), [this, leader, workers]() {
    const bool is_committed = this->MayCommit(leader);
    if (is_committed) {
      this->remembered = workers;
    }
    const bool is_answered = is_committed && !this->random.Chance(0.05);
    this->Answer(leader, is_answered ? this->Delay() : kSaveTimeout,
                 [leader, workers, is_answered]() {
                   leader->is_persisting = false;
                   leader->next_persist = MonotonicTime();
                   if (is_answered) {
                     leader->persisted = workers;
                     leader->scheduler.SetRemembered(NamesOf(workers));
                   }
                 });
  });
}

void TakeoverSimulation::CheckMachines(const LeaderPointer& leader) {
  const MonotonicTime now = this->Now();
  if (leader->is_listing_machines || now < leader->next_machine_check) {
    return;
  }
  const std::vector<WorkerName> silent = leader->scheduler.SilentWorkers(now);
  if (silent.empty() ||
      this->IsCutOff(this->instances[leader->instance].zone)) {
    return;
  }
  leader->is_listing_machines = true;
  leader->next_machine_check = now + kMachineCheckInterval;
  const bool is_late =
      this->options.has_late_machine_lists && this->random.Chance(0.4);
  const Milliseconds request_delay = this->Delay();
  this->totals->late_lists += is_late;
  this->queue.After(request_delay, [this, leader, silent, is_late, now]() {
    std::vector<WorkerName> down;
    std::copy_if(silent.begin(), silent.end(), std::back_inserter(down),
                 [this](const WorkerName& worker) {
                   return this->hosts.at(worker).worker == nullptr;
                 });
    // Without the fault, the list shows the state at the time of its arrival.
    const Milliseconds delay = is_late ? this->Upto(1000) : Milliseconds(0);
    this->Answer(leader, delay, [this, leader, down, now]() {
      leader->is_listing_machines = false;
      for (const WorkerName& worker : down) {
        leader->scheduler.OnWorkerGone(worker, now, this->Now(),
                                       WorkerEnd::kDown);
      }
      this->TraceDecisions(leader.get());
    });
  });
}

void TakeoverSimulation::Save(const LeaderPointer& leader) {
  while (leader->saves_in_progress < kMaxSaves) {
    const std::vector<std::pair<JobId, JobProgress>> batch =
        leader->scheduler.TakeUnsaved(15, this->Now());
    if (batch.empty()) {
      return;
    }
    ++leader->saves_in_progress;
    this->queue.After(this->Delay(), [this, leader, batch]() {
      const bool is_committed =
          this->MayCommit(leader) && !this->random.Chance(0.05);
      std::vector<JobId> saved;
      for (const std::pair<JobId, JobProgress>& entry : batch) {
        saved.push_back(entry.first);
        if (is_committed) {
          this->progress[entry.first] = entry.second;
        }
      }
      const bool is_answered = is_committed && !this->random.Chance(0.05);
      this->Answer(leader, is_answered ? this->Delay() : kSaveTimeout,
                   [leader, saved, is_answered]() {
                     --leader->saves_in_progress;
                     if (is_answered) {
                       leader->scheduler.OnSaved(saved);
                     } else {
                       leader->scheduler.OnSaveFailed(saved);
                     }
                   });
    });
  }
}

void TakeoverSimulation::Answer(const LeaderPointer& leader,
                                Duration delay,
                                std::function<void()> handle) {
  this->queue.After(delay, [leader, handle = std::move(handle)]() {
    if (!leader->is_stopped) {
      handle();
    }
  });
}

int TakeoverSimulation::TargetProcess(const Host& host) {
  return host.worker == nullptr ? 0 : host.start_count;
}

void TakeoverSimulation::ExecuteLate(Host* host,
                                     std::function<void()> execute) {
  ++this->totals->late_orders;
  // An order that a worker has delayed is lost when the worker restarts.
  this->queue.After(
      Milliseconds(500) + this->Upto(8000),
      [host, start_count = host->start_count, execute = std::move(execute)]() {
        if (host->worker != nullptr && host->start_count == start_count) {
          execute();
        }
      });
}

StartOutcome TakeoverSimulation::ExecuteStart(const LeaderPointer& leader,
                                              const StartRun& order) {
  Host& host = this->hosts.at(order.worker);
  // After the faults all tasks are short, so that each job can end.
  const double length =
      this->queue.now() < kFaultPeriod ? this->random.Fraction() : 0.0;
  FakeWorker::RunPlan run_plan{
      length < 0.7   ? Milliseconds(100) + this->Upto(1500)
      : length < 0.9 ? Milliseconds(2000) + this->Upto(10000)
                     : Milliseconds(10000) + this->Upto(15000),
      this->random.Chance(0.03) ? EndKind::kFailed : EndKind::kDone};
  this->Check();
  const std::map<TaskRef, FakeWorker::Run>::const_iterator before =
      host.worker->runs().find(order.task);
  const bool is_there =
      before != host.worker->runs().end() && before->second.number == order.run;
  const StartOutcome outcome =
      host.worker->Start(order, leader->fence, run_plan, this->TimeAt(host));
  this->Trace("fence " + std::to_string(leader->fence) + " orders " +
              order.task.ToString() + " run " + std::to_string(order.run) +
              " on " + order.worker.str() + ": " + ToString(outcome));
  if (outcome == StartOutcome::kStarted && !is_there) {
    ++this->totals->starts;
    this->totals->starts_by_replaced += this->IsReplaced(*leader);
    ++this->starts[order.task];
    this->starter = this->IsReplaced(*leader) ? ", by a replaced scheduler"
                                              : ", by the latest scheduler";
    if (this->acknowledged_done.contains(order.task)) {
      this->Fail("start of " + order.task.ToString() +
                 " after its completion was acknowledged" + this->starter);
    }
    this->Check();
  }
  return outcome;
}

void TakeoverSimulation::SendStart(const LeaderPointer& leader,
                                   const StartRun& order) {
  Host& host = this->hosts.at(order.worker);
  const double fault =
      this->queue.now() < kFaultPeriod ? this->random.Fraction() : 1.0;
  const bool is_answer_lost = fault < 0.05;
  const bool is_late = fault >= 0.05 && fault < 0.09;
  const bool is_lost = fault >= 0.09 && fault < 0.11;
  this->queue.After(
      this->Delay(), [this, leader, order, &host, is_answer_lost, is_late,
                      is_lost, target = TargetProcess(host)]() {
        StartOutcome outcome = StartOutcome::kUnknown;
        std::optional<Milliseconds> clock;
        const bool is_linked = this->IsLinked(*leader, host) && !is_lost;
        const bool has_arrived =
            is_linked && host.worker != nullptr && host.start_count == target;
        if (is_linked && host.worker == nullptr) {
          outcome = StartOutcome::kNotReceived;
        } else if (has_arrived && is_late) {
          this->ExecuteLate(&host, [this, leader, order]() {
            this->ExecuteStart(leader, order);
          });
        } else if (has_arrived) {
          outcome = this->ExecuteStart(leader, order);
          clock = host.worker->Clock(this->TimeAt(host));
          if (is_answer_lost) {
            ++this->totals->lost_answers;
            outcome = StartOutcome::kUnknown;
            clock.reset();
          }
        }
        this->Answer(
            leader,
            outcome == StartOutcome::kUnknown ? kOrderTimeout : this->Delay(),
            [this, leader, order, outcome, clock]() {
              leader->is_fenced |= outcome == StartOutcome::kFenced;
              leader->scheduler.OnStart(order, outcome, clock, this->Now());
              this->TraceDecisions(leader.get());
            });
      });
}

void TakeoverSimulation::SendStop(const LeaderPointer& leader,
                                  const StopRun& order) {
  Host& host = this->hosts.at(order.worker);
  const double fault =
      this->queue.now() < kFaultPeriod ? this->random.Fraction() : 1.0;
  const MonotonicTime asked_at = this->Now();
  this->queue.After(this->Delay(), [this, leader, order, &host, fault, asked_at,
                                    target = TargetProcess(host)]() {
    const auto execute = [this, leader, order, &host]() {
      this->Check();
      const bool is_done =
          host.worker->Stop(order, leader->fence, this->TimeAt(host));
      this->Trace("fence " + std::to_string(leader->fence) + " stops " +
                  order.task.ToString() + " run " + std::to_string(order.run) +
                  " on " + order.worker.str() + (is_done ? "" : ": refused"));
      return is_done;
    };
    bool is_executed = false;
    bool is_fenced = false;
    if (this->IsLinked(*leader, host) && host.worker != nullptr &&
        host.start_count == target && fault >= 0.04) {
      if (fault < 0.07) {
        this->ExecuteLate(&host, [execute]() { execute(); });
      } else {
        is_executed = execute();
        is_fenced = !is_executed;
      }
    }
    // The answer to one order in 25 is lost.
    const bool is_answered = is_executed && fault >= 0.11;
    this->Answer(leader, is_answered ? this->Delay() : kOrderTimeout,
                 [this, leader, order, is_answered, is_fenced, asked_at]() {
                   leader->is_fenced |= is_fenced;
                   leader->scheduler.OnStop(order, is_answered, asked_at,
                                            this->Now());
                 });
  });
}

std::optional<RunReport> TakeoverSimulation::ExecuteAsk(
    const LeaderPointer& leader,
    const AskReport& order) {
  this->Check();
  Host& host = this->hosts.at(order.worker);
  std::vector<NotedEnd> acknowledged;
  for (const RunEnd& end : host.worker->ends()) {
    if (end.sequence <= order.acknowledged &&
        end.sequence > host.worker->lapsed_ends() &&
        end.kind == EndKind::kDone) {
      acknowledged.push_back(host.ends.at(end.sequence));
    }
  }
  std::optional<RunReport> report =
      host.worker->Report(order, leader->fence, this->TimeAt(host));
  if (!report) {
    return report;
  }
  this->totals->renewals_by_replaced +=
      this->IsReplaced(*leader) && order.lease_until.count() > 0;
  for (const NotedEnd& end : acknowledged) {
    this->acknowledged_done.insert(end.task);
    this->Trace("fence " + std::to_string(leader->fence) + " acknowledges " +
                end.task.ToString() + " done on " + order.worker.str());
    if (this->starts[end.task] > end.starts) {
      this->Fail("start of " + end.task.ToString() +
                 " after its end, which was acknowledged later");
    }
  }
  return report;
}

void TakeoverSimulation::SendAsk(const LeaderPointer& leader,
                                 const AskReport& order) {
  Host& host = this->hosts.at(order.worker);
  const double fault =
      this->queue.now() < kFaultPeriod ? this->random.Fraction() : 1.0;
  this->queue.After(this->Delay(), [this, leader, order, &host, fault,
                                    asked_at = this->Now(),
                                    target = TargetProcess(host)]() {
    std::optional<RunReport> report;
    bool is_fenced = false;
    const bool is_linked = this->IsLinked(*leader, host);
    const bool has_arrived = is_linked && host.worker != nullptr &&
                             host.start_count == target && fault >= 0.02;
    if (has_arrived && fault < 0.03) {
      this->ExecuteLate(
          &host, [this, leader, order]() { this->ExecuteAsk(leader, order); });
    } else if (has_arrived) {
      report = this->ExecuteAsk(leader, order);
      is_fenced = !report;
    }
    // The answer to one request in 50 is lost.
    const bool is_answered = (report || is_fenced) && fault >= 0.05;
    // A worker that is down refuses connections.
    const bool is_refused = is_linked && host.worker == nullptr;
    this->Answer(
        leader, is_answered || is_refused ? this->Delay() : kOrderTimeout,
        [this, leader, order, report, is_answered, is_fenced, asked_at]() {
          leader->is_fenced |= is_answered && is_fenced;
          if (is_answered && report) {
            this->TraceReport(*leader, order, *report);
            leader->scheduler.OnReport(order.worker, *report, asked_at,
                                       this->Now());
          } else {
            leader->scheduler.OnReportFailed(order.worker, this->Now());
          }
          this->TraceDecisions(leader.get());
        });
  });
}

int TakeoverSimulation::LeadingInstance() const {
  return this->record.holder ? this->record.holder->first : 0;
}

int TakeoverSimulation::ReplacedInstance() const {
  for (int i = 0; i < kInstances; ++i) {
    const LeaderPointer& leader = this->instances[i].leader;
    if (leader != nullptr && this->IsReplaced(*leader)) {
      return i;
    }
  }
  return this->LeadingInstance();
}

void TakeoverSimulation::InjectFault() {
  const int leading = this->LeadingInstance();
  Host& host = this->hosts.at(
      WorkerName("w" + std::to_string(this->random.Below(kWorkers))));
  switch (this->random.Below(10)) {
    case 0:
    case 1:
      this->RestartWorker(&host);
      return;
    case 2:
      ++this->totals->cuts;
      host.unreachable_until = this->Now() + this->Upto(9000);
      this->Trace("fault: " + host.listing.name.str() + " unreachable");
      return;
    case 3:
    case 4: {
      const Milliseconds duration = Milliseconds(1000) + this->Upto(10000);
      this->CutZone(this->instances[leading].zone, duration);
      // Its processes may be killed and start again before the cut heals.
      if (this->random.Chance(0.5)) {
        this->queue.After(
            this->Upto(static_cast<std::uint64_t>(duration.count())),
            [this, leading]() { this->KillInstance(leading); });
      }
      return;
    }
    case 5:
      this->CutStoreLink(leading, Milliseconds(1000) + this->Upto(10000));
      return;
    case 6:
      this->BreakLinks(leading);
      return;
    case 7:
      this->KillInstance(this->random.Chance(0.5) ? this->ReplacedInstance()
                                                  : leading);
      return;
    case 8:
      this->ReleaseTerm(leading);
      return;
    default:
      // Two changes in quick succession.
      this->CutStoreLink(leading, Milliseconds(3000) + this->Upto(9000));
      this->queue.After(Milliseconds(1700) + this->Upto(2500), [this]() {
        const int next = this->LeadingInstance();
        if (this->random.Chance(0.5)) {
          this->KillInstance(next);
        } else {
          this->CutStoreLink(next, Milliseconds(3000) + this->Upto(6000));
        }
      });
  }
}

void TakeoverSimulation::RestartWorker(Host* host) {
  if (host->worker == nullptr) {
    return;
  }
  this->Check();
  ++this->totals->worker_restarts;
  this->Trace("fault: " + host->listing.name.str() + " crashes with " +
              std::to_string(host->worker->runs().size()) + " runs");
  host->worker.reset();
  host->ends.clear();
  ++host->start_count;
  this->queue.After(Milliseconds(50) + this->Upto(2950), [this, host]() {
    host->worker = std::make_unique<FakeWorker>(this->Now());
    host->booted_at = this->Now();
    host->clock_rate = 1.0 - kMostClockDrift * this->random.Fraction();
    host->listing.incarnation = IncarnationAt(this->Now());
    host->next_check_in = this->Now() + this->Upto(kCheckInDelay.count());
    this->Trace(host->listing.name.str() + " is back");
  });
}

void TakeoverSimulation::CutZone(int zone, Milliseconds duration) {
  ++this->totals->cuts;
  this->cut_until[zone] = this->Now() + duration;
  this->Trace("fault: zone " + std::to_string(zone) + " is cut off for " +
              std::to_string(duration.count()) + " ms");
}

void TakeoverSimulation::CutStoreLink(int instance, Milliseconds duration) {
  ++this->totals->cuts;
  this->instances[instance].store_unreachable_until = this->Now() + duration;
  this->Trace("fault: i" + std::to_string(instance) +
              " is cut off from the store for " +
              std::to_string(duration.count()) + " ms");
}

void TakeoverSimulation::BreakLinks(int instance) {
  ++this->totals->cuts;
  for (const std::pair<const WorkerName, Host>& host : this->hosts) {
    if (this->random.Chance(0.4)) {
      this->instances[instance].broken_links[host.first] =
          this->Now() + this->Upto(9000);
      this->Trace("fault: i" + std::to_string(instance) + " does not reach " +
                  host.first.str());
    }
  }
}

void TakeoverSimulation::KillInstance(int index) {
  Instance& instance = this->instances[index];
  if (!instance.is_alive) {
    return;
  }
  ++this->totals->instances_killed;
  this->Trace("fault: i" + std::to_string(index) + " is killed");
  this->EndTerm(&instance, "killed");
  instance.is_alive = false;
  instance.has_lease = false;
  this->queue.After(Milliseconds(200) + this->Upto(2800), [this, index]() {
    Instance& restarted = this->instances[index];
    restarted.is_alive = true;
    ++restarted.start_count;
    restarted.next_renewal = this->Now() + this->Upto(500);
    this->Trace("i" + std::to_string(index) + " is back");
  });
}

void TakeoverSimulation::ReleaseTerm(int index) {
  const LeaderPointer leader = this->instances[index].leader;
  if (leader == nullptr || !this->MayCommit(leader)) {
    return;
  }
  this->record.holder.reset();
  this->record.is_held = false;
  this->record.predecessors = leader->predecessors;
  this->vacant_since = this->Now();
  this->vacant_for = this->Upto(kCheckInterval.count());
  this->instances[index].registered = 0;
  this->KillInstance(index);
}

void TakeoverSimulation::NoteEnds(Host* host) {
  for (const RunEnd& end : host->worker->ends()) {
    if (!host->ends.contains(end.sequence)) {
      host->ends[end.sequence] =
          NotedEnd{end.task, end.kind, this->starts[end.task]};
    }
  }
}

void TakeoverSimulation::Check() {
  std::map<TaskRef, std::pair<WorkerName, std::int64_t>> running;
  for (std::pair<const WorkerName, Host>& host : this->hosts) {
    if (host.second.worker == nullptr) {
      continue;
    }
    host.second.worker->Advance(this->TimeAt(host.second));
    this->NoteEnds(&host.second);
    for (const std::pair<const TaskRef, FakeWorker::Run>& run :
         host.second.worker->runs()) {
      const std::pair<WorkerName, std::int64_t> here(host.first,
                                                     run.second.number);
      const std::pair<WorkerName, std::int64_t> other =
          running.emplace(run.first, here).first->second;
      if (other == here) {
        continue;
      }
      const bool is_one_term = (other.second - 1) / kRunNumbersPerTerm ==
                               (here.second - 1) / kRunNumbersPerTerm;
      this->Fail(
          "two runs of " + run.first.ToString() + " on " + other.first.str() +
          " and " + here.first.str() +
          (is_one_term ? ", ordered in one term" : ", ordered in two terms") +
          this->starter + ", at " +
          std::to_string(
              std::chrono::duration_cast<Milliseconds>(this->queue.now())
                  .count()) +
          " ms");
    }
  }
}

}  // namespace daisyroad

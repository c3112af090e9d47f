#include "UnitTests/Jobs/takeover_simulation.h"

#include <utility>

#include "Core/Common/overloaded.h"
#include "UnitTests/Jobs/job_builder.h"
#include "UnitTests/Jobs/takeover_timing.h"

namespace daisyroad {

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

bool TakeoverSimulation::IsPaused(int instance) const {
  return this->Now() < this->instances[instance].paused_until;
}

void TakeoverSimulation::UpdateSole(const LeaderPointer& leader) {
  if (this->options.has_pauses) {
    leader->scheduler.SetSole(
        this->Now() < this->instances[leader->instance].lease_valid_until);
  }
}

bool TakeoverSimulation::ReachesStore(const Instance& instance) const {
  return instance.is_alive && !this->IsCutOff(instance.zone) &&
         this->Now() >= this->store_away_until &&
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
  const std::map<WorkerName, std::string>::const_iterator address =
      leader.addresses.find(host.listing.name);
  const bool is_at_address = address == leader.addresses.end() ||
                             address->second == host.listing.address;
  return is_same_side && is_at_address &&
         this->Now() >= host.unreachable_until &&
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
  this->AddJobs();
  this->Step();
  for (Milliseconds at{2000}; at < kFaultPeriod;
       at += Milliseconds(500) + this->Upto(1500)) {
    this->queue.After(at, [this]() { this->InjectFault(); });
  }
  this->queue.RunUntil(kSimulationLength);
  const LeaderPointer last = this->instances[this->LeadingInstance()].leader;
  std::map<JobId, int> running = this->CountRuns();
  for (const AcceptedJob& job : this->jobs) {
    const std::optional<JobStatus> status =
        last == nullptr ? std::nullopt : last->scheduler.StatusOf(job.id);
    const bool is_complete = status == JobStatus::kCompleted;
    const bool is_failed = status == JobStatus::kFailed;
    sums->jobs_complete += is_complete;
    sums->jobs_failed += is_failed;
    if (is_complete || is_failed) {
      continue;
    }
    if (!this->lasting_jobs.contains(job.id)) {
      this->Fail(job.id.str() +
                 " was not complete at the end of the simulation");
    } else if (running[job.id] != job.spec.steps.front().task_count) {
      this->Fail(job.id.str() + " did not run at the end of the simulation");
    }
  }
  return this->failure;
}

void TakeoverSimulation::AddJobs() {
  for (int i = 0; i < kJobs; ++i) {
    JobBuilder builder("job" + std::to_string(i));
    builder.Step(1 + static_cast<int>(this->random.Below(4)));
    if (this->random.Chance(0.5)) {
      builder.Step(1 + static_cast<int>(this->random.Below(3))).After(0);
    }
    if (this->options.has_lasting_tasks) {
      builder.Last().request.cpu_millicores *= this->random.Chance(0.3) ? 2 : 1;
      // The others must fit beside them in the end.
      if (this->random.Chance(0.2) &&
          this->lasting_jobs.size() < kMostLastingJobs) {
        builder = JobBuilder("lasting" + std::to_string(i));
        builder.Service(1 + static_cast<int>(this->random.Below(3)), 1);
        this->lasting_jobs.insert(builder.Build().id);
      }
    }
    const AcceptedJob job = builder.Build();
    this->queue.After(this->Upto(25000),
                      [this, job]() { this->jobs.push_back(job); });
  }
}

std::map<JobId, int> TakeoverSimulation::CountRuns() const {
  std::map<JobId, int> running;
  for (const std::pair<const WorkerName, Host>& host : this->hosts) {
    if (host.second.worker == nullptr) {
      continue;
    }
    for (const std::pair<const TaskRef, FakeWorker::Run>& run :
         host.second.worker->runs()) {
      ++running[run.first.job];
    }
  }
  return running;
}

void TakeoverSimulation::Step() {
  for (std::pair<const WorkerName, Host>& host : this->hosts) {
    this->CheckIn(&host.second);
  }
  this->totals->expired_entries += static_cast<int>(std::erase_if(
      this->listed,
      [this](const std::pair<const WorkerName, ListedWorker>& entry) {
        return entry.second.expires_at <= this->Now();
      }));
  for (int i = 0; i < kInstances; ++i) {
    this->TickInstance(i);
  }
  this->MaybeBeginTerm();
  for (const Instance& instance : this->instances) {
    if (instance.leader != nullptr &&
        !this->IsPaused(instance.leader->instance)) {
      this->Pass(instance.leader);
    }
  }
  this->Check();
  this->queue.After(kTick, [this]() { this->Step(); });
}

void TakeoverSimulation::CheckIn(Host* host) {
  const MonotonicTime now = this->Now();
  if (host->worker == nullptr || now < host->next_check_in ||
      now < this->store_away_until || this->IsCutOff(host->zone)) {
    return;
  }
  host->next_check_in = now + kCheckInInterval;
  this->listed[host->listing.name] =
      ListedWorker{host->listing, now + 3 * kCheckInInterval};
}

void TakeoverSimulation::Pass(const LeaderPointer& leader) {
  const MonotonicTime now = this->Now();
  Instance& instance = this->instances[leader->instance];
  if (this->ReachesStore(instance) && now >= leader->next_listing) {
    leader->next_listing = now + kListingInterval;
    leader->next_machine_check = MonotonicTime();
    leader->next_persist = MonotonicTime();
    std::map<WorkerName, WorkerListing> listing;
    for (const std::pair<const WorkerName, ListedWorker>& entry :
         this->listed) {
      listing[entry.first] = entry.second.listing;
      leader->addresses[entry.first] = entry.second.listing.address;
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
  if (!orders.empty() && instance.next_pause) {
    this->PauseInstance(leader->instance, *instance.next_pause);
    instance.next_pause.reset();
  }
  this->PersistWorkers(leader);
  this->CheckMachines(leader);
  this->Save(leader);
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

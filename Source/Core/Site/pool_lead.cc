#include "Core/Site/pool_lead.h"

#include <algorithm>
#include <utility>

#include "Core/Common/json.h"
#include "Core/Common/latency_histogram.h"
#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Common/overloaded.h"
#include "Core/Jobs/pool_scheduler.h"
#include "Core/Platform/advice_client.h"
#include "Core/Platform/machine_client.h"
#include "Core/Platform/revision_store.h"
#include "Core/Platform/run_client.h"
#include "Core/Site/limit_keeper.h"
#include "Core/Site/prefix_mirror.h"
#include "Core/Site/remembered_workers.h"
#include "Core/Site/store_keys.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

// Events that come within this time are answered together.
constexpr Milliseconds kPumpDelay{2};
// Longest time between two looks at what became due.
constexpr Milliseconds kTick{50};
constexpr Milliseconds kListTimeout{1500};
constexpr Milliseconds kSaveTimeout{600};
constexpr Milliseconds kRetryPause{150};
// How long a request to vacate workers holds.
constexpr Milliseconds kVacateHold{2000};
// A transaction holds the term's record once, and an expectation and a write
// for each job.
constexpr std::size_t kJobsPerSave = (kMostTransactionEntries - 1) / 2;
// Run numbers of a term begin here for each term before; a term rarely starts
// a task this often.
constexpr std::int64_t kRunsPerTerm = 100;
// A term that follows another starts nothing before this: the machines'
// caretaker may act on what the scheduler before said.
constexpr Milliseconds kFirstStart{300};
constexpr Milliseconds kLookInterval{400};
constexpr Milliseconds kForgetInterval{5000};
constexpr std::size_t kForgottenAtOnce = 10;

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

WallTime Wall() {
  return std::chrono::system_clock::now();
}

// Time by which all that the scheduler of an earlier term started on a worker
// that never answered this one is over.
Milliseconds UnknownRunsLast(const SchedulerSettings& settings,
                             const Term& term) {
  if (term.number == 1) {
    return Milliseconds(0);
  }
  const double lease = static_cast<double>(settings.longest_lease.count()) /
                       (1.0 - settings.worker_clock_drift);
  return Milliseconds(static_cast<std::int64_t>(lease)) +
         settings.lease_margin +
         (term.is_predecessor_gone ? Milliseconds(0)
                                   : Leadership::kOutageGrace);
}

}  // namespace

struct PoolLead::State : std::enable_shared_from_this<State> {
  State(const PoolLeadContext& context, const PoolName& pool, const Term& term)
      : context(context),
        pool(pool),
        term(term),
        scheduler(pool,
                  context.settings,
                  (term.number - 1) * kRunsPerTerm + 1,
                  Now() + UnknownRunsLast(context.settings, term)) {}

  PoolLeadContext context;
  PoolName pool;
  Term term;
  PoolScheduler scheduler;
  std::unique_ptr<PrefixMirror> inbox;
  std::map<WorkerName, WorkerListing> listing;
  std::map<WorkerName, WorkerListing> known_workers;
  // As stored, and its revision.
  std::string remembered_value;
  std::int64_t remembered_revision = 0;
  bool is_remembering = false;
  std::map<WorkerName, MachineName> machine_of;
  bool is_looking = false;
  MonotonicTime next_look;
  MonotonicTime begun_at = Now();
  std::map<JobId, JobProgress> progress;
  std::map<JobId, std::int64_t> progress_revisions;
  std::set<JobId> cancels;
  std::map<JobId, MonotonicTime> final_since;
  MonotonicTime next_forget;
  MonotonicTime vacate_until;
  bool is_progress_loaded = false;
  bool is_inbox_loaded = false;
  bool is_pump_scheduled = false;
  bool is_saving = false;
  bool is_fenced = false;
  bool is_stopped = false;

  void Start() {
    if (this->term.number > 1) {
      this->scheduler.HoldStartsUntil(this->begun_at + kFirstStart);
    }
    this->LoadWorkers();
    this->Tick();
  }

  void LoadWorkers() {
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.store->Get(
        WorkersKey(this->pool), kListTimeout,
        [self](const Result<std::optional<StoreItem>>& item) {
          if (self->is_stopped) {
            return;
          }
          if (!item.ok()) {
            self->context.loop->After(kRetryPause,
                                      [self]() { self->LoadWorkers(); });
            return;
          }
          if (item.value()) {
            self->AdoptWorkers(*item.value());
          }
          self->LoadProgress("");
        });
  }

  void AdoptWorkers(const StoreItem& item) {
    this->remembered_revision = item.revision;
    const Result<std::vector<RememberedWorker>> workers =
        ParseRememberedWorkers(item.value);
    if (!workers.ok()) {
      CLOG(ERROR, kTasksLog)
          << "event=workers_unreadable pool=" << this->pool << " error=\""
          << workers.error().ToString() << "\"";
      return;
    }
    this->remembered_value = item.value;
    std::vector<WorkerListing> listings;
    std::set<WorkerName> names;
    for (const RememberedWorker& worker : workers.value()) {
      const WorkerName& name = worker.listing.name;
      names.insert(name);
      this->known_workers.emplace(name, worker.listing);
      if (!worker.machine.empty()) {
        this->machine_of[name] = worker.machine;
      }
      listings.push_back(worker.listing);
    }
    this->scheduler.ExpectRunsOn(listings, Now());
    this->scheduler.SetRemembered(names);
  }

  // Stores the workers before they are used, for the scheduler of a later term.
  void RememberWorkers() {
    std::vector<RememberedWorker> workers;
    std::set<WorkerName> names;
    for (const WorkerListing& worker : this->scheduler.WorkersToRemember()) {
      const std::map<WorkerName, MachineName>::const_iterator machine =
          this->machine_of.find(worker.name);
      workers.push_back(RememberedWorker{
          worker,
          machine == this->machine_of.end() ? MachineName() : machine->second});
      names.insert(worker.name);
    }
    const std::string value = WriteRememberedWorkers(workers);
    if (this->is_remembering || value == this->remembered_value) {
      return;
    }
    const std::string key = WorkersKey(this->pool);
    StoreTransaction transaction;
    transaction.expected = {{kLeadPrefix + this->term.duty, this->term.fence},
                            {key, this->remembered_revision}};
    transaction.writes.push_back({key, value, 0});
    this->is_remembering = true;
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.store->Commit(
        transaction, kSaveTimeout,
        [self, key, names, value](const Result<TransactionResult>& result) {
          self->is_remembering = false;
          if (self->is_stopped || !result.ok()) {
            return;
          }
          if (const TransactionCommitted* const committed =
                  std::get_if<TransactionCommitted>(&result.value())) {
            self->remembered_revision = committed->revision;
            self->remembered_value = value;
            self->scheduler.SetRemembered(names);
            self->SchedulePump();
            return;
          }
          for (const StoreItem& item :
               std::get<TransactionConflict>(result.value()).items) {
            if (item.key == key) {
              self->remembered_revision = item.revision;
            }
          }
        });
  }

  // The list of machines tells when the life of a silent worker is over, long
  // before its leases are.
  void LookAtMachines(MonotonicTime now) {
    const std::vector<WorkerName> silent = this->scheduler.SilentWorkers(now);
    const bool is_placed = std::all_of(
        this->listing.begin(), this->listing.end(),
        [this](const std::pair<const WorkerName, WorkerListing>& entry) {
          return this->machine_of.contains(entry.first);
        });
    if ((silent.empty() && is_placed) || this->is_looking ||
        now < this->next_look) {
      return;
    }
    this->is_looking = true;
    this->next_look = now + kLookInterval;
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.machines->List(
        [self, silent](const Result<std::vector<Machine>>& machines) {
          self->is_looking = false;
          if (self->is_stopped || !machines.ok()) {
            return;
          }
          for (const Machine& machine : machines.value()) {
            if (!machine.worker.empty()) {
              self->machine_of[machine.worker] = machine.name;
            }
          }
          for (const WorkerName& worker : silent) {
            self->CompareWithMachines(worker, machines.value());
          }
          self->SchedulePump();
        });
  }

  // A worker's life is over when its machine is down or has another worker. A
  // machine that merely names no worker may be cut off with it.
  void CompareWithMachines(const WorkerName& worker,
                           const std::vector<Machine>& machines) {
    const std::map<WorkerName, MachineName>::const_iterator host =
        this->machine_of.find(worker);
    if (host == this->machine_of.end()) {
      return;
    }
    for (const Machine& machine : machines) {
      if (machine.name != host->second) {
        continue;
      }
      const bool is_over =
          machine.state == MachineState::kDown ||
          (!machine.worker.empty() && machine.worker != worker);
      CLOG(INFO, kTasksLog)
          << "decision=silent_worker pool=" << this->pool
          << " worker=" << worker << " machine=" << machine.name
          << " state=" << static_cast<int>(machine.state)
          << " now=" << machine.worker << " over=" << is_over;
      if (is_over) {
        this->scheduler.OnWorkerGone(worker, Now());
      }
    }
  }

  void LoadProgress(const std::string& after) {
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.store->List(
        ProgressPrefix(this->pool), after, kListTimeout,
        [self, after](const Result<StorePage>& page) {
          if (self->is_stopped) {
            return;
          }
          if (!page.ok()) {
            CLOG(WARNING, kTasksLog)
                << "event=progress_not_loaded pool=" << self->pool
                << " error=\"" << page.error().ToString() << "\"";
            self->context.loop->After(
                kRetryPause, [self, after]() { self->LoadProgress(after); });
            return;
          }
          self->AdoptProgress(page.value());
        });
  }

  void AdoptProgress(const StorePage& page) {
    for (const StoreItem& item : page.items) {
      const JobId job(item.key.substr(ProgressPrefix(this->pool).size()));
      this->progress_revisions[job] = item.revision;
      const Result<Json::Value> json = ParseJson(item.value);
      const Result<JobProgress> parsed =
          json.ok() ? ParseJobProgress(job, json.value())
                    : Result<JobProgress>(json.error());
      if (!parsed.ok()) {
        CLOG(ERROR, kTasksLog)
            << "event=progress_unreadable job=" << job << " error=\""
            << parsed.error().ToString() << "\"";
        continue;
      }
      this->progress[job] = parsed.value();
    }
    if (page.has_more && !page.items.empty()) {
      this->LoadProgress(page.items.back().key);
      return;
    }
    this->is_progress_loaded = true;
    this->inbox = std::make_unique<PrefixMirror>(
        this->context.store, this->context.loop, InboxPrefix(this->pool),
        [this](const std::vector<StoreChange>& changes) {
          this->OnInbox(changes);
        });
    this->inbox->Start();
  }

  void OnInbox(const std::vector<StoreChange>& changes) {
    const std::string job_prefix = InboxPrefix(this->pool) + "job/";
    const std::string cancel_prefix = InboxPrefix(this->pool) + "cancel/";
    for (const StoreChange& change : changes) {
      if (!change.value) {
        continue;
      }
      if (change.key.starts_with(job_prefix)) {
        this->AddJob(*change.value, change.key);
      } else if (change.key.starts_with(cancel_prefix)) {
        const JobId job(change.key.substr(cancel_prefix.size()));
        this->cancels.insert(job);
        this->scheduler.CancelJob(job, Now());
      }
    }
    if (!this->is_inbox_loaded) {
      this->is_inbox_loaded = true;
      this->progress.clear();
      CLOG(INFO, kTasksLog) << "event=pool_ready pool=" << this->pool
                            << " fence=" << this->term.fence
                            << " jobs=" << this->inbox->items().size();
    }
    this->SchedulePump();
  }

  void AddJob(const std::string& value, const std::string& key) {
    const Result<Json::Value> json = ParseJson(value);
    const Result<AcceptedJob> job = json.ok()
                                        ? ParseAcceptedJob(json.value())
                                        : Result<AcceptedJob>(json.error());
    if (!job.ok()) {
      CLOG(ERROR, kTasksLog) << "event=job_unreadable key=" << key
                             << " error=\"" << job.error().ToString() << "\"";
      return;
    }
    const JobId id = job.value().id;
    this->scheduler.AddJob(job.value(), this->progress[id],
                           !this->is_inbox_loaded && this->term.number > 1,
                           Now());
    if (this->cancels.contains(id)) {
      this->scheduler.CancelJob(id, Now());
    }
  }

  bool IsReady() const { return this->is_inbox_loaded && !this->is_fenced; }

  void Tick() {
    if (this->is_stopped) {
      return;
    }
    this->Pump();
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.loop->After(kTick, [self]() { self->Tick(); });
  }

  void SchedulePump() {
    if (this->is_pump_scheduled || this->is_stopped) {
      return;
    }
    this->is_pump_scheduled = true;
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.loop->After(kPumpDelay, [self]() {
      self->is_pump_scheduled = false;
      self->Pump();
    });
  }

  void Pump() {
    if (this->is_stopped || !this->IsReady()) {
      return;
    }
    const MonotonicTime now = Now();
    this->scheduler.SetSole(this->context.is_sole());
    if (now >= this->vacate_until) {
      this->scheduler.SetVacating({}, {});
    }
    this->scheduler.SetAllotments(
        this->context.limits->AllotmentsOf(this->pool));
    const std::vector<Order> orders = this->scheduler.TakeOrders(now, Wall());
    for (const Order& order : orders) {
      this->Send(order);
    }
    this->context.limits->Report(this->pool, this->scheduler.usage(),
                                 this->scheduler.wanted(), now);
    this->RememberWorkers();
    this->LookAtMachines(now);
    this->Save(now);
    this->Forget(now);
    for (const std::string& line : this->scheduler.TakeDecisions()) {
      CLOG(INFO, kTasksLog) << line;
    }
  }

  const WorkerListing* Find(const WorkerName& worker) const {
    const std::map<WorkerName, WorkerListing>::const_iterator found =
        this->known_workers.find(worker);
    return found == this->known_workers.end() ? nullptr : &found->second;
  }

  void Count(const char* name, const std::string& labels) {
    ++this->context.metrics->Counter(name, labels);
  }

  void Send(const Order& order) {
    std::visit(
        Overloaded{[this](const StartRun& start) { this->SendStart(start); },
                   [this](const StopRun& stop) { this->SendStop(stop); },
                   [this](const PaceRun& pace) { this->SendPace(pace); },
                   [this](const AskReport& ask) { this->SendReport(ask); },
                   [this](const AskAdvice& ask) { this->SendAdvice(ask); }},
        order);
  }

  void SendStart(const StartRun& order) {
    const WorkerListing* const worker = this->Find(order.worker);
    if (worker == nullptr) {
      return;
    }
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.workers->Start(
        *worker, order, this->term.fence,
        [self, order, sent_at = Now()](const StartAnswer& answer) {
          if (self->is_stopped) {
            return;
          }
          LatencyHistogram(self->context.metrics, "daisyroad_run_start_ms")
              .Observe(Now() - sent_at);
          self->Count(
              "daisyroad_run_starts_total",
              std::string("outcome=\"") + ToString(answer.outcome) + "\"");
          if (answer.outcome == StartOutcome::kFenced) {
            self->EndByFence(order.worker);
          }
          self->scheduler.OnStart(order, answer.outcome, answer.worker_clock,
                                  Now());
          self->SchedulePump();
        });
  }

  void SendStop(const StopRun& order) {
    const WorkerListing* const worker = this->Find(order.worker);
    if (worker == nullptr) {
      return;
    }
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.workers->Stop(
        *worker, order, this->term.fence, [self, order](const Status& status) {
          if (self->is_stopped) {
            return;
          }
          self->Count("daisyroad_run_stops_total", "");
          self->OnAnswer(order.worker, status);
          self->scheduler.OnStop(order, status.ok(), Now());
          self->SchedulePump();
        });
  }

  void SendAdvice(const AskAdvice& question) {
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.advisor->Ask(
        question, [self, step = question.step](
                      const Result<std::vector<PlacementTicket>>& tickets) {
          if (self->is_stopped) {
            return;
          }
          if (!tickets.ok()) {
            CLOG(WARNING, kTasksLog)
                << "event=no_advice step=" << step.ToString() << " error=\""
                << tickets.error().ToString() << "\"";
          }
          self->scheduler.OnAdvice(
              step,
              tickets.ok() ? tickets.value() : std::vector<PlacementTicket>(),
              Now());
          self->SchedulePump();
        });
  }

  void SendPace(const PaceRun& order) {
    const WorkerListing* const worker = this->Find(order.worker);
    if (worker == nullptr) {
      return;
    }
    this->context.workers->Pace(*worker, order, this->term.fence,
                                [](const Status&) {});
  }

  void SendReport(const AskReport& order) {
    const WorkerListing* const worker = this->Find(order.worker);
    if (worker == nullptr) {
      return;
    }
    const MonotonicTime asked_at = Now();
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.workers->Report(
        *worker, order, this->term.fence,
        [self, order, asked_at](const Result<RunReport>& report) {
          if (self->is_stopped) {
            return;
          }
          if (report.ok()) {
            self->scheduler.OnReport(order.worker, report.value(), asked_at,
                                     Now());
          } else {
            self->OnAnswer(order.worker, report.error());
            self->scheduler.OnReportFailed(order.worker, Now());
          }
          self->SchedulePump();
        });
  }

  void OnAnswer(const WorkerName& worker, const Status& status) {
    if (status.ok()) {
      return;
    }
    if (status.error().code == Errc::kNotFound) {
      this->scheduler.OnWorkerGone(worker, Now());
    } else if (status.error().code == Errc::kConflict) {
      this->EndByFence(worker);
    }
  }

  // A worker has taken orders of a later term: this one is over.
  void EndByFence(const WorkerName& worker) {
    if (!this->is_fenced) {
      this->is_fenced = true;
      CLOG(WARNING, kTasksLog)
          << "decision=term_fenced pool=" << this->pool
          << " fence=" << this->term.fence << " worker=" << worker;
    }
  }

  void Save(MonotonicTime now) {
    if (this->is_saving) {
      return;
    }
    const std::vector<std::pair<JobId, JobProgress>> batch =
        this->scheduler.TakeUnsaved(kJobsPerSave, now);
    if (batch.empty()) {
      return;
    }
    StoreTransaction transaction;
    transaction.expected.push_back(
        {kLeadPrefix + this->term.duty, this->term.fence});
    std::vector<JobId> jobs;
    for (const std::pair<JobId, JobProgress>& entry : batch) {
      const std::string key = ProgressKey(this->pool, entry.first);
      transaction.expected.push_back(
          {key, this->progress_revisions[entry.first]});
      transaction.writes.push_back({key, WriteJson(ToJson(entry.second)), 0});
      jobs.push_back(entry.first);
    }
    this->is_saving = true;
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.store->Commit(
        transaction, kSaveTimeout,
        [self, jobs, sent_at = Now()](const Result<TransactionResult>& result) {
          if (!self->is_stopped) {
            LatencyHistogram(self->context.metrics,
                             "daisyroad_progress_store_ms")
                .Observe(Now() - sent_at);
            self->is_saving = false;
            self->OnSaveResult(jobs, result);
          }
        });
  }

  void OnSaveResult(const std::vector<JobId>& jobs,
                    const Result<TransactionResult>& result) {
    if (!result.ok()) {
      this->Count("daisyroad_saves_total", "outcome=\"failed\"");
      CLOG(WARNING, kTasksLog)
          << "event=progress_not_stored pool=" << this->pool
          << " jobs=" << jobs.size() << " error=\"" << result.error().ToString()
          << "\"";
      // The next tick tries again.
      this->scheduler.OnSaveFailed(jobs);
      return;
    }
    if (const TransactionCommitted* const committed =
            std::get_if<TransactionCommitted>(&result.value())) {
      this->Count("daisyroad_saves_total", "outcome=\"stored\"");
      for (const JobId& job : jobs) {
        this->progress_revisions[job] = committed->revision;
      }
      this->scheduler.OnSaved(jobs);
      this->SchedulePump();
      return;
    }
    this->OnSaveConflict(jobs,
                         std::get<TransactionConflict>(result.value()).items);
  }

  // A write whose answer was lost shows up as a conflict with what it wrote.
  void OnSaveConflict(const std::vector<JobId>& jobs,
                      const std::vector<StoreItem>& items) {
    this->Count("daisyroad_saves_total", "outcome=\"conflict\"");
    for (const StoreItem& item : items) {
      if (item.key.starts_with(ProgressPrefix(this->pool))) {
        const JobId job(item.key.substr(ProgressPrefix(this->pool).size()));
        this->progress_revisions[job] = item.revision;
      }
    }
    this->scheduler.OnSaveFailed(jobs);
  }

  void Forget(MonotonicTime now) {
    if (now < this->next_forget) {
      return;
    }
    this->next_forget = now + kForgetInterval;
    StoreTransaction transaction;
    std::vector<JobId> jobs;
    for (const std::pair<const std::string, StoreItem>& entry :
         this->inbox->items()) {
      const std::string prefix = InboxPrefix(this->pool) + "job/";
      if (!entry.first.starts_with(prefix)) {
        continue;
      }
      const JobId job(entry.first.substr(prefix.size()));
      const std::optional<JobStatus> status = this->scheduler.StatusOf(job);
      if (!status || !IsFinal(*status)) {
        continue;
      }
      const MonotonicTime since =
          this->final_since.emplace(job, now).first->second;
      if (now - since > this->context.retention &&
          jobs.size() < kForgottenAtOnce) {
        jobs.push_back(job);
        transaction.deletions.push_back(entry.first);
        transaction.deletions.push_back(CancelKey(this->pool, job));
        transaction.deletions.push_back(ProgressKey(this->pool, job));
      }
    }
    if (jobs.empty()) {
      return;
    }
    transaction.expected.push_back(
        {kLeadPrefix + this->term.duty, this->term.fence});
    const std::shared_ptr<State> self = this->shared_from_this();
    this->context.store->Commit(
        transaction, kSaveTimeout,
        [self, jobs](const Result<TransactionResult>& result) {
          if (self->is_stopped || !result.ok() ||
              !std::holds_alternative<TransactionCommitted>(result.value())) {
            return;
          }
          for (const JobId& job : jobs) {
            self->scheduler.ForgetJob(job);
            self->final_since.erase(job);
            self->progress_revisions.erase(job);
            self->cancels.erase(job);
          }
        });
  }
};

PoolLead::PoolLead(const PoolLeadContext& context,
                   const PoolName& pool,
                   const Term& term)
    : state(std::make_shared<State>(context, pool, term)) {}

PoolLead::~PoolLead() {
  this->state->is_stopped = true;
  this->state->inbox.reset();
}

void PoolLead::Start() {
  this->state->Start();
}

void PoolLead::SetOperatorState(const OperatorState& operators) {
  std::map<QueueName, QueuePolicy> policies;
  if (operators.config) {
    for (const std::pair<const QueueName, QueueConfig>& queue :
         operators.config->queues) {
      policies[queue.first] = queue.second.policy;
    }
  }
  this->state->scheduler.SetPolicies(std::move(policies));
  this->state->scheduler.SetZonesOut(operators.zones_out);
  this->state->SchedulePump();
}

void PoolLead::SetListing(const std::map<WorkerName, WorkerListing>& listing) {
  for (const std::pair<const WorkerName, WorkerListing>& entry : listing) {
    this->state->known_workers[entry.first] = entry.second;
  }
  this->state->listing = listing;
  this->state->scheduler.SetListing(listing, Now());
  this->state->SchedulePump();
}

void PoolLead::SetVacating(const std::set<WorkerName>& workers,
                           const std::set<WorkerName>& due) {
  this->state->vacate_until = Now() + kVacateHold;
  this->state->scheduler.SetVacating(workers, due);
  this->state->SchedulePump();
}

void PoolLead::OnPredecessorGone() {
  State& own = *this->state;
  if (own.term.is_predecessor_gone) {
    return;
  }
  own.term.is_predecessor_gone = true;
  own.scheduler.SetUnknownRunsOver(
      own.begun_at + UnknownRunsLast(own.context.settings, own.term));
  CLOG(INFO, kTasksLog) << "event=predecessor_gone pool=" << own.pool;
  own.SchedulePump();
}

bool PoolLead::is_ready() const {
  return this->state->IsReady();
}

std::optional<JobStatus> PoolLead::StatusOf(const JobId& job) const {
  if (!this->state->IsReady()) {
    return std::nullopt;
  }
  return this->state->scheduler.StatusOf(job);
}

int PoolLead::PendingJobs(const QueueName& queue) const {
  return this->state->scheduler.PendingJobs(queue);
}

PoolLoad PoolLead::Load() const {
  return this->state->scheduler.load();
}

}  // namespace daisyroad

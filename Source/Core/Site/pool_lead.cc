#include "Core/Site/pool_lead_state.h"

#include <algorithm>
#include <utility>

#include "Core/Common/logging.h"
#include "Core/Site/limit_keeper.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

// Events that come within this time are answered together.
constexpr Milliseconds kPumpDelay{2};
// Turns are at least this many times their own duration apart, so that a slow
// processor has time left for the orders that follow from them.
constexpr int kPumpPause = 2;
// Longest time between two looks at what became due.
constexpr Milliseconds kTick{50};
// How long a request to vacate workers holds.
constexpr Milliseconds kVacateHold{2000};
// Run numbers of a term begin here for each term before; a term rarely starts
// a task this often.
constexpr std::int64_t kRunsPerTerm = 100;
// A term that follows another starts nothing before this: the machines'
// caretaker may act on what the scheduler before said.
constexpr Milliseconds kFirstStart{300};

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

PoolLead::State::State(const PoolLeadContext& context,
                       const PoolName& pool,
                       const Term& term)
    : context(context),
      pool(pool),
      term(term),
      scheduler(pool,
                context.settings,
                (term.number - 1) * kRunsPerTerm + 1,
                Now() + UnknownRunsLast(context.settings, term)) {}

void PoolLead::State::Start() {
  if (this->term.number > 1) {
    this->scheduler.HoldStartsUntil(this->begun_at + kFirstStart);
  }
  this->LoadWorkers();
  this->Tick();
}

void PoolLead::State::Tick() {
  if (this->is_stopped) {
    return;
  }
  this->Pump();
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.loop->After(kTick, [self]() { self->Tick(); });
}

void PoolLead::State::SchedulePump() {
  if (this->is_pump_scheduled || this->is_stopped) {
    return;
  }
  this->is_pump_scheduled = true;
  const std::shared_ptr<State> self = this->shared_from_this();
  const Duration pause = kPumpPause * this->last_pump_duration;
  this->context.loop->After(std::max<Duration>(kPumpDelay, pause), [self]() {
    self->is_pump_scheduled = false;
    self->Pump();
  });
}

void PoolLead::State::Pump() {
  if (this->is_stopped || !this->IsReady()) {
    return;
  }
  const MonotonicTime now = Now();
  this->scheduler.SetSole(this->context.is_sole());
  if (now >= this->vacate_until) {
    this->scheduler.SetVacating({}, {});
  }
  this->scheduler.SetAllotments(this->context.limits->AllotmentsOf(this->pool));
  const std::vector<Order> orders = this->scheduler.TakeOrders(now, Wall());
  for (const Order& order : orders) {
    this->Send(order);
  }
  this->context.limits->Report(this->pool, this->scheduler.usage(),
                               this->scheduler.wanted(), now);
  this->RememberWorkers(now);
  this->LookAtMachines(now);
  this->Save(now);
  this->Forget(now);
  for (const std::string& line : this->scheduler.TakeDecisions()) {
    CLOG(INFO, kTasksLog) << line;
  }
  this->last_pump_duration = Now() - now;
}

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
  this->state->next_remember = MonotonicTime();
  this->state->next_look = MonotonicTime();
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
  return this->state->scheduler.Load(Now(), Wall());
}

}  // namespace daisyroad

#include "Core/Site/pool_leader_state.h"

#include <algorithm>
#include <utility>

#include "Core/Common/guarded_run.h"
#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Site/allotment_manager.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

// Events that arrive within this time are handled in one scheduling pass.
constexpr Milliseconds kPassDelay{5};
// A scheduled pass starts no sooner than this many times the duration of the
// last one, so that a slow CPU has time left to send the resulting orders.
constexpr int kPassGapFactor = 4;
// Maximum time between two passes.
constexpr Milliseconds kTickInterval{50};
// How long a request to vacate workers remains in effect.
constexpr Milliseconds kVacateTimeout{2000};
// The same for workers that will be emptied later, which lose no capacity.
constexpr Milliseconds kDueTimeout{10000};
// Size of the range of run numbers reserved for each term. A term rarely starts
// a task this often.
constexpr std::int64_t kRunNumbersPerTerm = 100;
// A term that follows another starts no run before this delay is over, because
// the fleet leader may still act on a load report of the previous scheduler.
constexpr Milliseconds kTakeoverStartDelay{300};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

WallTime Wall() {
  return std::chrono::system_clock::now();
}

// Time after which a lease that is renewed now has expired on any worker.
Milliseconds MaxLeaseDuration(const SchedulerSettings& settings) {
  const double lease = static_cast<double>(settings.longest_lease.count()) /
                       (1.0 - settings.worker_clock_drift);
  return Milliseconds(static_cast<std::int64_t>(lease)) + settings.lease_margin;
}

// Time after which nothing runs any more that the scheduler of an earlier term
// started on a worker that never answered this one.
Milliseconds MaxUnknownRunDuration(const SchedulerSettings& settings,
                                   const Term& term) {
  if (term.number == 1) {
    return Milliseconds(0);
  }
  return MaxLeaseDuration(settings) + (term.is_predecessor_gone
                                           ? Milliseconds(0)
                                           : Leadership::kOutageGrace);
}

}  // namespace

PoolLeader::State::State(const PoolLeaderContext& context,
                         const PoolName& pool,
                         const Term& term)
    : context(context),
      pool(pool),
      term(term),
      scheduler(pool,
                context.settings,
                (term.number - 1) * kRunNumbersPerTerm + 1,
                Now() + MaxUnknownRunDuration(context.settings, term)),
      standing_gauges(context.metrics, pool),
      start_latency(context.metrics, "daisyroad_run_start_ms"),
      save_latency(context.metrics, "daisyroad_progress_store_ms") {}

void PoolLeader::State::Start() {
  if (this->term.number > 1) {
    this->scheduler.HoldStartsUntil(this->begun_at + kTakeoverStartDelay);
  }
  this->context.allotments->BeginTerm(this->pool);
  this->LoadWorkers();
  this->Tick();
}

void PoolLeader::State::Tick() {
  if (this->is_stopped) {
    return;
  }
  RunGuarded([this]() { this->RunPass(); });
  const std::shared_ptr<State> self = this->shared_from_this();
  const MonotonicTime due = Now() + kTickInterval;
  this->context.loop->After(kTickInterval, [self, due]() {
    self->activity.OnPassDue(Now() - due);
    self->Tick();
  });
}

void PoolLeader::State::SchedulePass() {
  if (this->is_pass_scheduled || this->is_stopped) {
    return;
  }
  this->is_pass_scheduled = true;
  const std::shared_ptr<State> self = this->shared_from_this();
  const Duration pause = kPassGapFactor * this->last_pass_duration;
  this->context.loop->After(std::max<Duration>(kPassDelay, pause), [self]() {
    self->is_pass_scheduled = false;
    self->RunPass();
  });
}

void PoolLeader::State::RunPass() {
  if (this->is_stopped || !this->IsReady() ||
      !this->context.may_issue_orders()) {
    return;
  }
  const MonotonicTime now = Now();
  this->UpdateSole();
  if (now >= this->vacate_until) {
    // While the duty of the fleet changes hands, service tasks go on leaving
    // the workers that waves will empty.
    if (now >= this->due_until) {
      this->due.clear();
    }
    this->scheduler.SetVacating({}, this->due);
  }
  this->scheduler.SetAllotments(
      this->context.allotments->AllotmentsOf(this->pool));
  this->scheduler.SetInherited(
      this->context.allotments->InheritedOf(this->pool));
  const std::vector<Order> orders = this->scheduler.TakeOrders(now, Wall());
  const MonotonicTime decided_at = Now();
  for (const Order& order : orders) {
    this->Send(order);
  }
  const MonotonicTime sent_at = Now();
  this->context.allotments->Report(this->pool, this->scheduler.MaxUsage(),
                                   this->scheduler.demands(),
                                   this->scheduler.AreRunsKnown(now), now);
  this->PersistWorkers(now);
  this->CheckMachines(now);
  this->Save(now);
  this->DeleteExpiredJobs(now);
  const MonotonicTime saved_at = Now();
  if (this->standing_gauges.IsDue(now)) {
    this->standing_gauges.Publish(this->scheduler.Standings(), now);
  }
  LogTaskLines(this->scheduler.TakeDecisions());
  const MonotonicTime ended_at = Now();
  this->last_pass_duration = ended_at - now;
  this->activity.OnPass(
      PoolActivity::PassDurations{decided_at - now, sent_at - decided_at,
                                  saved_at - sent_at, ended_at - saved_at});
  this->LogActivity(now);
}

void PoolLeader::State::CountOverload(const PoolOverload& overload) {
  const std::string labels = "pool=\"" + this->pool.str() + "\"";
  MetricsRegistry* const metrics = this->context.metrics;
  metrics->Gauge("daisyroad_jobs_delayed", labels) = overload.delayed;
  metrics->Gauge("daisyroad_jobs_past_use", labels) = overload.past_use;
  metrics->Counter("daisyroad_jobs_delayed_total", labels) +=
      overload.delayed_total - this->delayed_counted;
  this->delayed_counted = overload.delayed_total;
}

void PoolLeader::State::LogActivity(MonotonicTime now) {
  const std::string line = this->activity.TakeLine(
      now, this->context.metrics->Counter("daisyroad_http_connections_total",
                                          "traffic=\"worker\""));
  if (!line.empty()) {
    this->CountOverload(this->scheduler.pool_overload());
    CLOG(INFO, kFleetLog) << "event=pool_activity pool=" << this->pool << line;
  }
}

PoolLeader::PoolLeader(const PoolLeaderContext& context,
                       const PoolName& pool,
                       const Term& term)
    : state(std::make_shared<State>(context, pool, term)) {}

PoolLeader::~PoolLeader() {
  // The next scheduler of the pool counts in its own process.
  this->state->CountOverload(PoolOverload{
      false, 0, 0, this->state->scheduler.pool_overload().delayed_total});
  this->state->is_stopped = true;
  this->state->inbox.reset();
  this->state->standing_gauges.Publish({}, Now());
}

void PoolLeader::Start() {
  this->state->Start();
}

void PoolLeader::SetOperatorState(const OperatorState& operators) {
  std::map<QueueName, QueuePolicy> policies;
  std::map<TeamName, double> shares;
  if (operators.config) {
    for (const std::pair<const QueueName, QueueConfig>& queue :
         operators.config->queues) {
      policies[queue.first] = queue.second.policy;
    }
    for (const std::pair<const TeamName, TeamConfig>& team :
         operators.config->teams) {
      shares[team.first] = team.second.share;
    }
  }
  this->state->scheduler.SetShares(std::move(shares), Now());
  this->state->scheduler.SetPolicies(std::move(policies));
  this->state->scheduler.SetZonesOut(operators.zones_out);
  this->state->SchedulePass();
}

void PoolLeader::SetListing(
    const std::map<WorkerName, WorkerListing>& listing) {
  for (const std::pair<const WorkerName, WorkerListing>& entry : listing) {
    this->state->known_workers[entry.first] = entry.second;
  }
  this->state->listing = listing;
  this->state->next_persist = MonotonicTime();
  this->state->next_machine_check = MonotonicTime();
  this->state->UpdateSole();
  this->state->scheduler.SetListing(listing, Now());
  this->state->SchedulePass();
}

void PoolLeader::SetVacating(const std::set<WorkerName>& workers,
                             const std::optional<std::set<WorkerName>>& due) {
  this->state->vacate_until = Now() + kVacateTimeout;
  if (due) {
    this->state->due_until =
        Now() + (this->state->context.settings.leaves_early ? kDueTimeout
                                                            : kVacateTimeout);
    this->state->due = *due;
  }
  this->state->scheduler.SetVacating(workers, this->state->due);
  this->state->SchedulePass();
}

void PoolLeader::OnPredecessorGone() {
  State& current = *this->state;
  if (current.term.is_predecessor_gone) {
    return;
  }
  current.term.is_predecessor_gone = true;
  // It may have renewed leases until it ended.
  current.scheduler.SetUnknownRunsOver(
      Now() + MaxLeaseDuration(current.context.settings));
  CLOG(INFO, kTasksLog) << "event=predecessor_gone pool=" << current.pool;
  current.SchedulePass();
}

bool PoolLeader::is_ready() const {
  return this->state->IsReady();
}

std::optional<JobStatus> PoolLeader::StatusOf(const JobId& job) const {
  if (!this->state->IsReady()) {
    return std::nullopt;
  }
  return this->state->scheduler.StatusOf(job);
}

int PoolLeader::PendingJobs(const QueueName& queue) const {
  return this->state->scheduler.PendingJobs(queue);
}

PoolLoad PoolLeader::Load() const {
  return this->state->scheduler.Load(Now(), Wall());
}

}  // namespace daisyroad

#include "Core/Entry/cell_dispatcher.h"

#include <algorithm>
#include <utility>

#include "Core/Common/hash.h"
#include "Core/Common/log_decision.h"
#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/evidence_hooks.h"
#include "Core/Entry/peer_service.h"
#include "Core/Platform/worker_client.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

// Interval of the checks that visit every task. The time limits that they
// check are in the order of seconds.
constexpr Milliseconds kCheckPeriod{500};
// A worker stops a task within this time, by the worker's clock, after the
// task's lease has lapsed.
constexpr Milliseconds kLeaseMargin{500};

FairTask ToFairTask(const DispatchRequest& request, MonotonicTime now) {
  FairTask task;
  task.id = request.task;
  task.team = request.team;
  task.queue = request.queue;
  task.task_class = request.urgent ? TaskClass::kUrgent : TaskClass::kLong;
  task.declared = request.size;
  task.deadline = now + request.start_within;
  task.idempotent = request.idempotent;
  task.checkpointable = !request.urgent;
  return task;
}

// Converts a deadline that a peer expressed on this instance's clock.
MonotonicTime FromPeerClock(Milliseconds clock) {
  return MonotonicTime(std::chrono::duration_cast<Duration>(clock));
}

}  // namespace

CellDispatcher::CellDispatcher(EntryContext* context,
                               WorkerDirectory* directory,
                               PoolName pool,
                               ZoneName zone,
                               Hooks hooks)
    : context(context),
      directory(directory),
      pool_name(std::move(pool)),
      zone_name(std::move(zone)),
      hooks(std::move(hooks)),
      queue(FairQueueSettings()),
      cell_workers(context, directory, this->pool_name, this->zone_name) {}

void CellDispatcher::SetPool(const Pool& pool) {
  this->declared = pool;
  this->cell_workers.SetWorkerSize(pool.worker);
  this->UpdateCapacity();
}

void CellDispatcher::SetWeight(const TeamName& team, double weight) {
  this->queue.SetWeight(team, weight, Now());
}

Status CellDispatcher::Enqueue(const DispatchRequest& request) {
  if (this->Renew(request.task, request.valid_until)) {
    return OkStatus();
  }
  const MonotonicTime now = Now();
  const Status accepted = this->queue.Enqueue(ToFairTask(request, now), now);
  if (!accepted.ok()) {
    Error refusal = accepted.error();
    // kTimeout is reserved for messages that may or may not have been received.
    if (refusal.code == Errc::kTimeout) {
      refusal.code = Errc::kResourceExhausted;
    }
    return refusal;
  }
  Task& task = this->Add(request);
  task.latest_start = now + request.start_within;
  this->StartQueuedTasks();
  return OkStatus();
}

void CellDispatcher::Adopt(const DispatchRequest& request,
                           const WorkerName& worker) {
  if (this->Renew(request.task, request.valid_until)) {
    return;
  }
  const MonotonicTime now = Now();
  // Adopting the task in the queue keeps the queue's accounting correct: the
  // task counts as running for its team.
  FairTask fair = ToFairTask(request, now);
  fair.deadline = MonotonicTime::max();
  if (!this->queue.Adopt(fair, now).ok()) {
    return;
  }
  Task& task = this->Add(request);
  this->SetOnWorker(&task, Phase::kInquiring, worker);
  task.sent_at = now;
  task.lease_confirmed = now;
  this->TakeLimit(&task);
  this->Inquire(request.task);
}

bool CellDispatcher::Renew(const TaskId& id, Milliseconds valid_until) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end()) {
    return false;
  }
  found->second.valid_until =
      std::max(found->second.valid_until, FromPeerClock(valid_until));
  return true;
}

void CellDispatcher::Cancel(const TaskId& id) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end()) {
    return;
  }
  if (found->second.phase == Phase::kQueued && this->queue.Cancel(id, Now())) {
    this->End(id, DispatchState::kNotRun, "cancelled");
    return;
  }
  found->second.is_cancelled = true;
  const WorkerInfo* worker = this->directory->Find(found->second.worker);
  if (worker != nullptr) {
    this->context->workers->Command(worker->listed.address,
                                    WorkerCommand::kStop, id, "",
                                    [](const Status&) {});
  }
}

void CellDispatcher::HandBackWaiting(const std::string& reason) {
  std::vector<TaskId> waiting;
  for (const std::pair<const TaskId, Task>& entry : this->tasks) {
    if (entry.second.phase == Phase::kQueued) {
      waiting.push_back(entry.first);
    }
  }
  for (const TaskId& id : waiting) {
    this->queue.Cancel(id, Now());
    this->End(id, DispatchState::kNotRun, reason);
  }
}

std::optional<DispatchState> CellDispatcher::StateOf(const TaskId& id) const {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end()) {
    return std::nullopt;
  }
  switch (found->second.phase) {
    case Phase::kQueued:
      return DispatchState::kQueued;
    case Phase::kStarting:
    case Phase::kInquiring:
      return DispatchState::kStarting;
    case Phase::kRunning:
      return DispatchState::kRunning;
  }
  return std::nullopt;
}

std::vector<TaskId> CellDispatcher::RunningOn(const WorkerName& worker) const {
  std::vector<TaskId> found;
  for (const TaskId& id : this->cell_workers.TasksOn(worker)) {
    // The lease of an adopted task without an allotment is not renewed: the
    // allotment of its former dispatcher is reclaimed on the assumption that
    // the task ends.
    if (this->tasks.at(id).holds_limit) {
      found.push_back(id);
    }
  }
  return found;
}

bool CellDispatcher::NeedsWorker(const WorkerInfo& worker) const {
  const bool is_member = worker.present && worker.pool == this->pool_name &&
                         worker.listed.zone == this->zone_name;
  return (is_member && this->waiting() > 0) ||
         !this->RunningOn(worker.listed.name).empty();
}

void CellDispatcher::OnReport(const WorkerName& worker,
                              const TaskReport& report) {
  const auto found = this->tasks.find(report.task);
  if (found == this->tasks.end() || found->second.worker != worker ||
      found->second.phase == Phase::kQueued) {
    return;
  }
  this->ApplyReport(report.task, report);
}

void CellDispatcher::OnLeasesRenewed(const WorkerName& worker,
                                     const LeaseReply& reply,
                                     MonotonicTime sent) {
  const std::set<TaskId> lost(reply.lost.begin(), reply.lost.end());
  for (const TaskId& id : this->RunningOn(worker)) {
    Task& task = this->tasks[id];
    if (lost.count(id) == 0) {
      task.lease_confirmed = std::max(task.lease_confirmed, sent);
    } else if (task.phase == Phase::kRunning) {
      // The task has ended or the worker no longer knows it; a report shows
      // which.
      task.phase = Phase::kInquiring;
      this->Inquire(id);
    }
  }
  this->cell_workers.SetFull(worker, false);
  this->StartQueuedTasks();
}

void CellDispatcher::OnWorkerChanged(const WorkerName& worker) {
  this->cell_workers.SetFull(worker, false);
  this->UpdateCapacity();
  this->StartQueuedTasks();
}

void CellDispatcher::Tick() {
  this->Unblock();
  this->DropExpired();
  const MonotonicTime now = Now();
  if (now - this->last_check >= kCheckPeriod) {
    this->last_check = now;
    this->TakeMissingLimits();
    this->DropAbandoned();
    this->CheckLeases();
    this->cell_workers.Evaluate();
  }
  this->Reclaim();
  this->StartQueuedTasks();
}

std::size_t CellDispatcher::Running(const TeamName& team) const {
  const auto found = this->running_by_team.find(team);
  return found == this->running_by_team.end() ? 0 : found->second;
}

std::size_t CellDispatcher::Waiting(const TeamName& team) const {
  const auto found = this->waiting_by_team.find(team);
  return found == this->waiting_by_team.end() ? 0 : found->second;
}

Duration CellDispatcher::EstimatedWait(const TeamName& team,
                                       TaskClass task_class) const {
  return this->queue.EstimatedWait(team, task_class);
}

CellLoad CellDispatcher::Load() const {
  CellLoad load;
  load.pool = this->pool_name;
  load.zone = this->zone_name;
  load.urgent_wait = this->MeanWait(TaskClass::kUrgent);
  load.long_wait = this->MeanWait(TaskClass::kLong);
  load.free_slots = static_cast<int>(this->cell_workers.TotalFree().slots);
  return load;
}

Duration CellDispatcher::MeanWait(TaskClass task_class) const {
  double sum = 0.0;
  double count = 0.0;
  for (const std::pair<const TeamName, std::size_t>& team :
       this->waiting_by_team) {
    const double waiting = static_cast<double>(team.second);
    sum += waiting * std::chrono::duration<double>(
                         this->queue.EstimatedWait(team.first, task_class))
                         .count();
    count += waiting;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(count > 0.0 ? sum / count : 0.0));
}

CellDispatcher::Task& CellDispatcher::Add(const DispatchRequest& request) {
  Task& task = this->tasks[request.task];
  task.request = request;
  task.valid_until = FromPeerClock(request.valid_until);
  ++this->waiting_by_team[request.team];
  return task;
}

void CellDispatcher::SetQueued(Task* task) {
  if (task->phase == Phase::kQueued) {
    return;
  }
  this->cell_workers.RemoveTask(task->worker, task->request.task,
                                task->request.size);
  --this->running_by_team[task->request.team];
  ++this->waiting_by_team[task->request.team];
  task->phase = Phase::kQueued;
  task->worker = WorkerName();
}

void CellDispatcher::SetOnWorker(Task* task,
                                 Phase phase,
                                 const WorkerName& worker) {
  this->SetQueued(task);
  this->cell_workers.AddTask(worker, task->request.task, task->request.size);
  --this->waiting_by_team[task->request.team];
  ++this->running_by_team[task->request.team];
  task->phase = phase;
  task->worker = worker;
}

void CellDispatcher::Remove(const TaskId& id) {
  Task* const task = &this->tasks.at(id);
  this->SetQueued(task);
  --this->waiting_by_team[task->request.team];
  this->tasks.erase(id);
}

void CellDispatcher::StartQueuedTasks() {
  if (this->is_starting) {
    return;
  }
  this->is_starting = true;
  std::set<WorkerName> excluded;
  while (this->queue.waiting_count() > 0 && this->StartNextTask(&excluded)) {
  }
  this->is_starting = false;
}

// Returns false if nothing more can start now.
bool CellDispatcher::StartNextTask(std::set<WorkerName>* excluded) {
  const WorkerChoice choice = this->cell_workers.Choose(*excluded);
  if (!choice.worker) {
    return false;
  }
  const std::optional<FairTask> next =
      this->queue.Next(Now(), this->cell_workers.FreeOn(*choice.worker));
  if (!next) {
    // The waiting tasks may be too large for this worker but fit on another.
    excluded->insert(*choice.worker);
    return true;
  }
  const WorkerInfo& worker = *this->directory->Find(*choice.worker);
  if (this->TryStartTask(*next, worker, choice) == StartAttempt::kRefused) {
    excluded->insert(*choice.worker);
  }
  return true;
}

CellDispatcher::StartAttempt CellDispatcher::TryStartTask(
    const FairTask& next,
    const WorkerInfo& worker,
    const WorkerChoice& choice) {
  const MonotonicTime now = Now();
  Task& task = this->tasks.at(next.id);
  const std::optional<MonotonicTime> authority =
      this->hooks.start_deadline(next.queue, this->zone_name);
  const std::optional<WorkerClock> start_before =
      !authority || task.valid_until <= now
          ? std::nullopt
          : WorkerDirectory::ClockAt(worker,
                                     std::min(*authority, task.valid_until));
  if (!start_before) {
    this->queue.NotStarted(next.id, now);
    return StartAttempt::kRefused;
  }
  if (!this->TakeLimit(&task)) {
    this->queue.NotStarted(next.id, now);
    this->queue.SetBlocked(next.team, true, now);
    this->blocked_teams.insert(next.team);
    ObserveLimitReached(*this->context, next.team, next.queue, this->zone_name);
    return StartAttempt::kTeamBlocked;  // other teams may still start
  }
  this->SetOnWorker(&task, Phase::kStarting, worker.listed.name);
  task.incarnation = worker.incarnation;
  task.start_before = *start_before;
  task.sent_at = now;
  task.lease_confirmed = now;
  LogDecision line = choice.ToLog(next.id);
  line.Field("team", next.team.str())
      .Field("queue", next.queue.str())
      .Field("pool", this->pool_name.str())
      .Field("zone", this->zone_name.str());
  this->context->decisions->Write(kRoutingLog, line);
  this->SendStart(task, worker);
  return StartAttempt::kStarted;
}

void CellDispatcher::SendStart(const Task& task, const WorkerInfo& worker) {
  StartTask start;
  start.task = task.request.task;
  start.holder = this->context->self.str();
  start.team = task.request.team.str();
  start.queue = task.request.queue.str();
  start.payload = task.request.payload;
  start.checkpoint = task.request.checkpoint;
  start.lease = this->context->settings.task_lease;
  start.start_before = task.start_before;
  this->context->workers->Start(
      worker.listed.address, start,
      this->context->settings.worker_request_timeout,
      [this, id = start.task,
       name = worker.listed.name](const Result<StartReply>& reply) {
        this->OnStartReply(id, name, reply);
      });
}

bool CellDispatcher::TakeLimit(Task* task) {
  // Tasks in queues that are open to all have no team and no upper limit.
  task->holds_limit =
      task->request.team.empty() || this->hooks.take_limit(task->request.team);
  return task->holds_limit;
}

void CellDispatcher::ReleaseLimit(Task* task) {
  if (!task->holds_limit) {
    return;
  }
  task->holds_limit = false;
  if (!task->request.team.empty()) {
    this->hooks.return_limit(task->request.team);
  }
  if (this->blocked_teams.erase(task->request.team) != 0) {
    this->queue.SetBlocked(task->request.team, false, Now());
  }
}

void CellDispatcher::Unblock() {
  for (const TeamName& team : this->blocked_teams) {
    this->queue.SetBlocked(team, false, Now());
  }
  this->blocked_teams.clear();
}

void CellDispatcher::TakeMissingLimits() {
  for (std::pair<const TaskId, Task>& entry : this->tasks) {
    if (entry.second.phase != Phase::kQueued && !entry.second.holds_limit) {
      this->TakeLimit(&entry.second);
    }
  }
}

void CellDispatcher::DropExpired() {
  for (const TaskId& id : this->queue.TakeExpired()) {
    this->End(id, DispatchState::kNotRun, "deadline_passed");
  }
}

void CellDispatcher::DropAbandoned() {
  const MonotonicTime now = Now();
  std::vector<TaskId> abandoned;
  for (const std::pair<const TaskId, Task>& entry : this->tasks) {
    if (entry.second.phase == Phase::kQueued &&
        entry.second.valid_until < now) {
      abandoned.push_back(entry.first);
    }
  }
  for (const TaskId& id : abandoned) {
    this->queue.Cancel(id, now);
    this->End(id, DispatchState::kNotRun, kRegistrarSilent);
  }
}

void CellDispatcher::CheckLeases() {
  const MonotonicTime now = Now();
  const Duration lapse = this->context->settings.task_lease + kLeaseMargin;
  std::vector<TaskId> lapsed;
  for (const std::pair<const TaskId, Task>& entry : this->tasks) {
    if (entry.second.phase != Phase::kQueued &&
        entry.second.lease_confirmed + lapse < now) {
      lapsed.push_back(entry.first);
    }
  }
  for (const TaskId& id : lapsed) {
    this->OnWorkerLost(&this->tasks[id], "lease_lapsed");
  }
}

void CellDispatcher::Reclaim() {
  const Resources free = this->cell_workers.TotalFree();
  for (const ReclaimDecision& decision : this->queue.Reclaim(Now(), free)) {
    const auto found = this->tasks.find(decision.task);
    if (found == this->tasks.end() || found->second.phase != Phase::kRunning ||
        decision.action == ReclaimAction::kRestore) {
      continue;
    }
    const WorkerInfo* worker = this->directory->Find(found->second.worker);
    if (worker == nullptr) {
      continue;
    }
    this->context->decisions->Write(
        kRoutingLog, LogDecision("reclaim")
                         .Field("task", decision.task.str())
                         .Field("from", decision.from.str())
                         .Field("to", decision.to.str())
                         .Field("worker", found->second.worker.str()));
    const WorkerCommand command = decision.action == ReclaimAction::kCheckpoint
                                      ? WorkerCommand::kCheckpoint
                                      : WorkerCommand::kThrottle;
    this->context->workers->Command(
        worker->listed.address, command, decision.task, "",
        [this, id = decision.task](const Status& status) {
          if (!status.ok()) {
            this->queue.ReclaimFailed(id, Now());
          }
        });
  }
}

void CellDispatcher::UpdateCapacity() {
  this->cell_workers.Refresh();
  this->queue.SetCapacity(this->cell_workers.Capacity(),
                          this->cell_workers.WorkerSize(), Now());
}

void CellDispatcher::LogRequeue(const Task& task,
                                const std::string& outcome) const {
  this->context->decisions->Write(kRoutingLog,
                                  LogDecision("place")
                                      .Field("task", task.request.task.str())
                                      .Field("team", task.request.team.str())
                                      .Field("queue", task.request.queue.str())
                                      .Field("pool", this->pool_name.str())
                                      .Field("zone", this->zone_name.str())
                                      .Field("worker", task.worker.str())
                                      .Field("outcome", outcome));
}

}  // namespace daisyroad

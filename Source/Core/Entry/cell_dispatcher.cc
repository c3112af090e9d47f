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

constexpr Milliseconds kInquiryPause{200};
// A worker stops a task whose lease lapsed within this time of its clock.
constexpr Milliseconds kLeaseMargin{500};

Resources ToResources(const WorkerResources& worker) {
  return Resources{static_cast<double>(worker.cores),
                   static_cast<double>(worker.memory_gb),
                   static_cast<double>(worker.accelerators),
                   static_cast<double>(worker.slots)};
}

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

// Deadline that a peer stated on this instance's clock.
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
      queue(FairQueueSettings()) {}

void CellDispatcher::SetPool(const Pool& pool) {
  this->declared = pool;
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
    // kTimeout is kept for messages whose receipt is not known.
    if (refusal.code == Errc::kTimeout) {
      refusal.code = Errc::kResourceExhausted;
    }
    return refusal;
  }
  Task& task = this->tasks[request.task];
  task.request = request;
  task.valid_until = FromPeerClock(request.valid_until);
  task.latest_start = now + request.start_within;
  this->Pump();
  return OkStatus();
}

void CellDispatcher::Adopt(const DispatchRequest& request,
                           const WorkerName& worker) {
  if (this->Renew(request.task, request.valid_until)) {
    return;
  }
  const MonotonicTime now = Now();
  // Enqueueing and taking the task at once keeps the accounts of the queue
  // right: the task counts as running for its team.
  FairTask fair = ToFairTask(request, now);
  fair.deadline = MonotonicTime::max();
  if (!this->queue.Adopt(fair, now).ok()) {
    return;
  }
  Task& task = this->tasks[request.task];
  task.request = request;
  task.valid_until = FromPeerClock(request.valid_until);
  task.worker = worker;
  task.phase = Phase::kInquiring;
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
  found->second.cancelled = true;
  const WorkerInfo* worker = this->directory->Find(found->second.worker);
  if (worker != nullptr) {
    this->context->workers->Command(worker->listed.address,
                                    WorkerCommand::kStop, id, "",
                                    [](const Status&) {});
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
  for (const std::pair<const TaskId, Task>& entry : this->tasks) {
    // A task taken over without allotment is not kept alive: the allotment of
    // its former dispatcher is reclaimed on the premise that it ends.
    if (entry.second.phase != Phase::kQueued && entry.second.worker == worker &&
        entry.second.holds_limit) {
      found.push_back(entry.first);
    }
  }
  return found;
}

void CellDispatcher::OnReport(const WorkerName& worker,
                              const TaskReport& report) {
  const auto found = this->tasks.find(report.task);
  if (found == this->tasks.end() || found->second.worker != worker ||
      found->second.phase == Phase::kQueued) {
    return;
  }
  this->OnFate(report.task, report);
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
      // It ended, or the worker has lost it: its fate is asked for.
      task.phase = Phase::kInquiring;
      this->Inquire(id);
    }
  }
  this->full.erase(worker);
  this->Pump();
}

void CellDispatcher::OnWorkerChanged(const WorkerName& worker) {
  this->full.erase(worker);
  this->UpdateCapacity();
  this->Pump();
}

void CellDispatcher::Tick() {
  this->Unblock();
  this->TakeMissingLimits();
  this->DropExpired();
  this->CheckLeases();
  this->Reclaim();
  this->Pump();
}

std::map<TeamName, std::size_t> CellDispatcher::RunningByTeam() const {
  std::map<TeamName, std::size_t> counts;
  for (const std::pair<const TaskId, Task>& entry : this->tasks) {
    if (entry.second.phase != Phase::kQueued) {
      ++counts[entry.second.request.team];
    }
  }
  return counts;
}

std::map<TeamName, std::size_t> CellDispatcher::WaitingByTeam() const {
  std::map<TeamName, std::size_t> counts;
  for (const std::pair<const TaskId, Task>& entry : this->tasks) {
    if (entry.second.phase == Phase::kQueued) {
      ++counts[entry.second.request.team];
    }
  }
  return counts;
}

Duration CellDispatcher::EstimatedWait(const TeamName& team,
                                       TaskClass task_class) const {
  return this->queue.EstimatedWait(team, task_class);
}

void CellDispatcher::Pump() {
  if (this->pumping) {
    return;
  }
  this->pumping = true;
  bool started = true;
  while (started && this->queue.waiting_count() > 0) {
    started = false;
    for (const WorkerInfo* worker : this->Candidates()) {
      if (this->StartOn(*worker)) {
        started = true;
        break;
      }
    }
  }
  this->pumping = false;
}

bool CellDispatcher::StartOn(const WorkerInfo& worker) {
  const MonotonicTime now = Now();
  const std::optional<FairTask> next =
      this->queue.Next(now, this->FreeOn(worker));
  if (!next) {
    return false;
  }
  return this->Begin(*next, worker);
}

bool CellDispatcher::Begin(const FairTask& next, const WorkerInfo& worker) {
  const MonotonicTime now = Now();
  Task& task = this->tasks[next.id];
  const std::optional<MonotonicTime> authority =
      this->hooks.start_deadline(next.queue, this->zone_name);
  if (!authority || task.valid_until <= now) {
    this->queue.NotStarted(next.id, now);
    return false;
  }
  const std::optional<WorkerClock> start_before =
      WorkerDirectory::ClockAt(worker, std::min(*authority, task.valid_until));
  if (!start_before) {
    this->queue.NotStarted(next.id, now);
    return false;
  }
  if (!this->TakeLimit(&task)) {
    this->queue.NotStarted(next.id, now);
    this->queue.SetBlocked(next.team, true, now);
    this->blocked.insert(next.team);
    ObserveLimitReached(*this->context, next.team, next.queue, this->zone_name);
    return true;  // other teams may still start
  }
  task.phase = Phase::kStarting;
  task.worker = worker.listed.name;
  task.incarnation = worker.incarnation;
  task.start_before = *start_before;
  task.sent_at = now;
  task.lease_confirmed = now;
  StartTask start;
  start.task = next.id;
  start.holder = this->context->self.str();
  start.team = next.team.str();
  start.queue = next.queue.str();
  start.payload = task.request.payload;
  start.checkpoint = task.request.checkpoint;
  start.lease = this->context->settings.task_lease;
  start.start_before = *start_before;
  this->LogStart(task, "start");
  this->context->workers->Start(worker.listed.address, start,
                                this->context->settings.worker_request_timeout,
                                [this, id = next.id, name = worker.listed.name](
                                    const Result<StartReply>& reply) {
                                  this->OnStartReply(id, name, reply);
                                });
  return true;
}

void CellDispatcher::OnStartReply(const TaskId& id,
                                  const WorkerName& worker,
                                  const Result<StartReply>& reply) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end() || found->second.worker != worker ||
      found->second.phase != Phase::kStarting) {
    return;
  }
  Task& task = found->second;
  if (!reply.ok()) {
    this->directory->OnFailure(worker);
    if (reply.error().code == Errc::kUnavailable) {
      this->PutBack(&task, "worker_unreachable");
    } else {
      task.phase = Phase::kInquiring;
      this->Inquire(id);
    }
    return;
  }
  this->directory->OnReply(worker, reply.value().now, reply.value().incarnation,
                           reply.value().outcome == StartOutcome::kLeaving);
  switch (reply.value().outcome) {
    case StartOutcome::kStarted:
      this->OnRunning(&task);
      return;
    case StartOutcome::kDuplicate:
      task.phase = Phase::kInquiring;
      this->Inquire(id);
      return;
    case StartOutcome::kExpired:
      this->PutBack(&task, "start_expired");
      return;
    case StartOutcome::kFull:
      this->full.insert(worker);
      this->PutBack(&task, "worker_full");
      return;
    case StartOutcome::kLeaving:
      this->PutBack(&task, "worker_leaving");
      return;
  }
}

void CellDispatcher::Inquire(const TaskId& id) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end() || found->second.phase != Phase::kInquiring) {
    return;
  }
  const WorkerInfo* worker = this->directory->Find(found->second.worker);
  if (worker == nullptr) {
    this->WorkerLost(&found->second, "worker_gone");
    return;
  }
  // A new connection, since the one in use may have gone silent.
  this->context->workers->Report(worker->listed.address, id, true,
                                 [this, id](const Result<TaskReport>& report) {
                                   this->OnFate(id, report);
                                 });
}

void CellDispatcher::OnFate(const TaskId& id,
                            const Result<TaskReport>& report) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end() || found->second.phase == Phase::kQueued) {
    return;
  }
  Task& task = found->second;
  if (!report.ok()) {
    this->directory->OnFailure(task.worker);
    this->context->loop->After(kInquiryPause,
                               [this, id]() { this->Inquire(id); });
    return;
  }
  const TaskReport& fate = report.value();
  if (task.incarnation.empty()) {
    task.incarnation = fate.incarnation;
  }
  this->directory->OnReply(task.worker, fate.now, fate.incarnation,
                           this->directory->Find(task.worker) != nullptr &&
                               this->directory->Find(task.worker)->leaving);
  switch (fate.state) {
    case WorkerTaskState::kRunning:
      if (task.phase != Phase::kRunning) {
        this->OnRunning(&task);
      }
      return;
    case WorkerTaskState::kUnknown:
      if (fate.incarnation != task.incarnation) {
        this->WorkerLost(&task, "worker_restarted");
      } else if (task.phase == Phase::kInquiring &&
                 fate.now > task.start_before) {
        this->PutBack(&task, "start_not_received");
      } else {
        this->context->loop->After(kInquiryPause,
                                   [this, id]() { this->Inquire(id); });
      }
      return;
    case WorkerTaskState::kDone:
    case WorkerTaskState::kFailed:
    case WorkerTaskState::kStopped:
    case WorkerTaskState::kCheckpointed:
      this->EndWithReport(id, fate);
      return;
  }
}

void CellDispatcher::OnRunning(Task* task) {
  task->phase = Phase::kRunning;
  DispatchUpdate update;
  update.task = task->request.task;
  update.state = DispatchState::kRunning;
  update.worker = task->worker;
  update.zone = this->zone_name;
  this->hooks.update(task->request.registrar, update);
  if (task->cancelled) {
    this->Cancel(task->request.task);
  }
}

void CellDispatcher::PutBack(Task* task, const std::string& why) {
  this->ReleaseLimit(task);
  this->LogStart(*task, why);
  const TaskId id = task->request.task;
  task->phase = Phase::kQueued;
  task->worker = WorkerName();
  this->queue.NotStarted(id, Now());
  if (task->cancelled) {
    this->Cancel(id);
    return;
  }
  this->Pump();
}

void CellDispatcher::WorkerLost(Task* task, const std::string& why) {
  if (task->request.idempotent) {
    this->PutBack(task, why);
    return;
  }
  this->queue.Finished(task->request.task, TaskEnd::kFinished,
                       task->request.size, Now() - task->sent_at, Now());
  this->End(task->request.task, DispatchState::kUnknown, why);
}

void CellDispatcher::EndWithReport(const TaskId& id, const TaskReport& report) {
  Task& task = this->tasks[id];
  const MonotonicTime now = Now();
  if (report.state == WorkerTaskState::kCheckpointed && !task.cancelled) {
    task.request.checkpoint = report.checkpoint;
    task.phase = Phase::kQueued;
    this->ReleaseLimit(&task);
    this->queue.Finished(id, TaskEnd::kCheckpointed, task.request.size,
                         report.run_time, now);
    this->Pump();
    return;
  }
  if (report.state == WorkerTaskState::kStopped && task.request.idempotent &&
      !task.cancelled) {
    this->PutBack(&task, "stopped_at_worker");
    return;
  }
  this->queue.Finished(id, TaskEnd::kFinished, task.request.size,
                       report.run_time, now);
  ObserveTaskRun(*this->context, this->pool_name, this->zone_name, report,
                 {task.worker, task.latest_start, task.request.start_within,
                  task.sent_at});
  DispatchUpdate update;
  update.task = id;
  update.worker = task.worker;
  update.zone = this->zone_name;
  if (report.state == WorkerTaskState::kDone) {
    update.state = DispatchState::kDone;
    update.answer = report.answer;
    update.digest = report.digest;
    if (Sha256Hex(report.answer) != report.digest) {
      update.state = DispatchState::kUnknown;
      update.answer.clear();
      update.reason = "answer_incomplete";
    }
  } else if (report.state == WorkerTaskState::kFailed) {
    update.state = DispatchState::kFailed;
    update.reason = "task_failed";
  } else {
    update.state = DispatchState::kStopped;
    update.reason = task.cancelled ? "cancelled" : "stopped_at_worker";
  }
  ++this->context->metrics->Counter(
      "daisyroad_tasks_ended_total",
      std::string("state=\"") + DispatchStateName(update.state) + "\"");
  const EntryName registrar = task.request.registrar;
  this->ReleaseLimit(&task);
  this->tasks.erase(id);
  this->hooks.update(registrar, update);
  this->Pump();
}

void CellDispatcher::End(const TaskId& id,
                         DispatchState state,
                         const std::string& reason) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end()) {
    return;
  }
  DispatchUpdate update;
  update.task = id;
  update.state = state;
  update.worker = found->second.worker;
  update.zone = this->zone_name;
  update.reason = reason;
  const EntryName registrar = found->second.request.registrar;
  this->ReleaseLimit(&found->second);
  this->tasks.erase(found);
  ++this->context->metrics->Counter(
      "daisyroad_tasks_ended_total",
      std::string("state=\"") + DispatchStateName(state) + "\"");
  this->hooks.update(registrar, update);
}

bool CellDispatcher::TakeLimit(Task* task) {
  // Work on queues that are open to all has no team and no upper limit.
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
  if (this->blocked.erase(task->request.team) != 0) {
    this->queue.SetBlocked(task->request.team, false, Now());
  }
}

void CellDispatcher::Unblock() {
  for (const TeamName& team : this->blocked) {
    this->queue.SetBlocked(team, false, Now());
  }
  this->blocked.clear();
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
    this->End(id, DispatchState::kNotRun, "registrar_silent");
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
    this->WorkerLost(&this->tasks[id], "lease_lapsed");
  }
}

void CellDispatcher::Reclaim() {
  Resources free;
  for (const WorkerInfo* worker : this->Candidates()) {
    free = free + this->FreeOn(*worker);
  }
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

Resources CellDispatcher::FreeOn(const WorkerInfo& worker) const {
  Resources free = ToResources(this->declared.worker);
  for (const std::pair<const TaskId, Task>& entry : this->tasks) {
    if (entry.second.phase != Phase::kQueued &&
        entry.second.worker == worker.listed.name) {
      free = free - entry.second.request.size;
    }
  }
  return Resources{std::max(free.cores, 0.0), std::max(free.memory_gb, 0.0),
                   std::max(free.accelerators, 0.0), std::max(free.slots, 0.0)};
}

std::vector<const WorkerInfo*> CellDispatcher::Candidates() const {
  std::vector<std::pair<double, const WorkerInfo*>> ranked;
  for (const WorkerInfo* worker :
       this->directory->InCell(this->pool_name, this->zone_name)) {
    if (!worker->reachable || worker->leaving || !worker->has_clock ||
        this->full.count(worker->listed.name) != 0) {
      continue;
    }
    const double slots = this->FreeOn(*worker).slots;
    if (slots >= 1.0) {
      ranked.emplace_back(slots, worker);
    }
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const std::pair<double, const WorkerInfo*>& a,
                      const std::pair<double, const WorkerInfo*>& b) {
                     return a.first > b.first;
                   });
  std::vector<const WorkerInfo*> workers;
  for (const std::pair<double, const WorkerInfo*>& entry : ranked) {
    workers.push_back(entry.second);
  }
  return workers;
}

void CellDispatcher::UpdateCapacity() {
  const Resources one = ToResources(this->declared.worker);
  Resources total;
  for (const WorkerInfo* worker :
       this->directory->InCell(this->pool_name, this->zone_name)) {
    if (!worker->leaving) {
      total = total + one;
    }
  }
  this->queue.SetCapacity(total, one, Now());
}

void CellDispatcher::LogStart(const Task& task,
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

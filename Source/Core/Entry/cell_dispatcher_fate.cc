#include <string>
#include <utility>

#include "Core/Common/hash.h"
#include "Core/Common/logging.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Entry/cell_dispatcher.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/evidence_hooks.h"
#include "Core/Platform/worker_client.h"
#include "Core/Transport/event_loop.h"

// How starts and tasks end: what the dispatcher does with the answers and the
// silence of workers.
namespace daisyroad {
namespace {

constexpr Milliseconds kInquiryPause{200};

}  // namespace

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
      this->cell_workers.OnEnd(worker, true, Now() - task.sent_at);
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
      this->cell_workers.SetFull(worker, true);
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
  this->Ask(id, *worker);
}

void CellDispatcher::InquireAll(const WorkerName& name) {
  const WorkerInfo* worker = this->directory->Find(name);
  const std::set<TaskId> asked = this->cell_workers.TasksOn(name);
  for (const TaskId& id : asked) {
    // The others are asked for when their start ends without an answer.
    if (worker != nullptr && this->tasks.at(id).phase == Phase::kRunning) {
      this->Ask(id, *worker);
    }
  }
}

// On a new connection, since the one in use may have gone silent.
void CellDispatcher::Ask(const TaskId& id, const WorkerInfo& worker) {
  this->context->workers->Report(worker.listed.address, id, true,
                                 [this, id](const Result<TaskReport>& report) {
                                   this->OnAsked(id, report);
                                 });
}

void CellDispatcher::OnAsked(const TaskId& id,
                             const Result<TaskReport>& report) {
  const auto found = this->tasks.find(id);
  // Only what this instance started is certain to be reported to it.
  if (found != this->tasks.end() && found->second.start_before.count() != 0 &&
      report.ok() && report.value().state != WorkerTaskState::kUnknown &&
      report.value().state != WorkerTaskState::kRunning) {
    const WorkerInfo* worker = this->directory->Find(found->second.worker);
    if (worker != nullptr) {
      this->context->workers->ExpectFinished(worker->listed.address);
    }
  }
  this->OnFate(id, report);
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
  this->SetQueued(task);
  this->queue.NotStarted(id, Now());
  if (task->cancelled) {
    this->Cancel(id);
    return;
  }
  this->Pump();
}

void CellDispatcher::WorkerLost(Task* task, const std::string& why) {
  this->cell_workers.OnEnd(task->worker, true, Now() - task->sent_at);
  if (task->request.idempotent) {
    this->PutBack(task, why);
    return;
  }
  this->queue.Finished(task->request.task, TaskEnd::kFinished,
                       task->request.size, Now() - task->sent_at, Now());
  this->End(task->request.task, DispatchState::kUnknown, why);
}

void CellDispatcher::EndWithReport(const TaskId& id, const TaskReport& report) {
  Task& task = this->tasks.at(id);
  const MonotonicTime now = Now();
  if (report.state == WorkerTaskState::kCheckpointed && !task.cancelled) {
    task.request.checkpoint = report.checkpoint;
    this->cell_workers.OnEnd(task.worker, false, report.run_time);
    this->SetQueued(&task);
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
  if (report.state != WorkerTaskState::kStopped) {
    this->cell_workers.OnEnd(
        task.worker, report.state == WorkerTaskState::kFailed, report.run_time);
  }
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
  this->Remove(id);
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
  this->Remove(id);
  ++this->context->metrics->Counter(
      "daisyroad_tasks_ended_total",
      std::string("state=\"") + DispatchStateName(state) + "\"");
  this->hooks.update(registrar, update);
}

}  // namespace daisyroad

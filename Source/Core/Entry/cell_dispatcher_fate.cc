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

// Handles start replies, task reports and missing replies of workers, and ends
// tasks.
namespace daisyroad {
namespace {

constexpr Milliseconds kInquiryInterval{200};

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
      this->Requeue(&task, "worker_unreachable");
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
      this->Requeue(&task, "start_expired");
      return;
    case StartOutcome::kFull:
      this->cell_workers.SetFull(worker, true);
      this->Requeue(&task, "worker_full");
      return;
    case StartOutcome::kLeaving:
      this->Requeue(&task, "worker_leaving");
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
    this->OnWorkerLost(&found->second, "worker_gone");
    return;
  }
  this->RequestReport(id, *worker);
}

void CellDispatcher::InquireAll(const WorkerName& name) {
  const WorkerInfo* worker = this->directory->Find(name);
  const std::set<TaskId> tasks_on_worker = this->cell_workers.TasksOn(name);
  for (const TaskId& id : tasks_on_worker) {
    // A report on a starting task is requested once its start request has ended
    // without a reply.
    if (worker != nullptr && this->tasks.at(id).phase == Phase::kRunning) {
      this->RequestReport(id, *worker);
    }
  }
}

// Uses a new connection, since the existing one may carry no more data.
void CellDispatcher::RequestReport(const TaskId& id, const WorkerInfo& worker) {
  this->context->workers->Report(worker.listed.address, id, true,
                                 [this, id](const Result<TaskReport>& report) {
                                   this->OnRequestedReport(id, report);
                                 });
}

void CellDispatcher::OnRequestedReport(const TaskId& id,
                                       const Result<TaskReport>& report) {
  const auto found = this->tasks.find(id);
  // The worker is certain to report a finished task to this instance only if
  // this instance started it.
  if (found != this->tasks.end() && found->second.start_before.count() != 0 &&
      report.ok() && report.value().state != WorkerTaskState::kUnknown &&
      report.value().state != WorkerTaskState::kRunning) {
    const WorkerInfo* worker = this->directory->Find(found->second.worker);
    if (worker != nullptr) {
      this->context->workers->ExpectFinished(worker->listed.address);
    }
  }
  this->ApplyReport(id, report);
}

void CellDispatcher::ApplyReport(const TaskId& id,
                                 const Result<TaskReport>& report) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end() || found->second.phase == Phase::kQueued) {
    return;
  }
  Task& task = found->second;
  if (!report.ok()) {
    this->directory->OnFailure(task.worker);
    this->context->loop->After(kInquiryInterval,
                               [this, id]() { this->Inquire(id); });
    return;
  }
  const TaskReport& task_report = report.value();
  if (task.incarnation.empty()) {
    task.incarnation = task_report.incarnation;
  }
  this->directory->OnReply(task.worker, task_report.now,
                           task_report.incarnation,
                           this->directory->Find(task.worker) != nullptr &&
                               this->directory->Find(task.worker)->leaving);
  switch (task_report.state) {
    case WorkerTaskState::kRunning:
      if (task.phase != Phase::kRunning) {
        this->OnRunning(&task);
      }
      return;
    case WorkerTaskState::kUnknown:
      if (task_report.incarnation != task.incarnation) {
        this->OnWorkerLost(&task, "worker_restarted");
      } else if (task.phase == Phase::kInquiring &&
                 task_report.now > task.start_before) {
        this->Requeue(&task, "start_not_received");
      } else {
        this->context->loop->After(kInquiryInterval,
                                   [this, id]() { this->Inquire(id); });
      }
      return;
    case WorkerTaskState::kDone:
    case WorkerTaskState::kFailed:
    case WorkerTaskState::kStopped:
    case WorkerTaskState::kCheckpointed:
      this->EndWithReport(id, task_report);
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
  if (task->is_cancelled) {
    this->Cancel(task->request.task);
  }
}

void CellDispatcher::Requeue(Task* task, const std::string& reason) {
  this->ReleaseLimit(task);
  this->LogRequeue(*task, reason);
  const TaskId id = task->request.task;
  this->SetQueued(task);
  this->queue.NotStarted(id, Now());
  if (task->is_cancelled) {
    this->Cancel(id);
    return;
  }
  this->StartQueuedTasks();
}

void CellDispatcher::OnWorkerLost(Task* task, const std::string& reason) {
  this->cell_workers.OnEnd(task->worker, true, Now() - task->sent_at);
  if (task->request.idempotent) {
    this->Requeue(task, reason);
    return;
  }
  this->queue.Finished(task->request.task, TaskEnd::kFinished,
                       task->request.size, Now() - task->sent_at, Now());
  this->End(task->request.task, DispatchState::kUnknown, reason);
}

void CellDispatcher::EndWithReport(const TaskId& id, const TaskReport& report) {
  Task& task = this->tasks.at(id);
  const MonotonicTime now = Now();
  if (report.state == WorkerTaskState::kCheckpointed && !task.is_cancelled) {
    task.request.checkpoint = report.checkpoint;
    this->cell_workers.OnEnd(task.worker, false, report.run_time);
    this->SetQueued(&task);
    this->ReleaseLimit(&task);
    this->queue.Finished(id, TaskEnd::kCheckpointed, task.request.size,
                         report.run_time, now);
    this->StartQueuedTasks();
    return;
  }
  if (report.state == WorkerTaskState::kStopped && task.request.idempotent &&
      !task.is_cancelled) {
    this->Requeue(&task, "stopped_at_worker");
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
    update.reason = task.is_cancelled ? "cancelled" : "stopped_at_worker";
  }
  ++this->context->metrics->Counter(
      "daisyroad_tasks_ended_total",
      std::string("state=\"") + DispatchStateName(update.state) + "\"");
  const EntryName registrar = task.request.registrar;
  this->ReleaseLimit(&task);
  this->Remove(id);
  this->hooks.update(registrar, update);
  this->StartQueuedTasks();
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

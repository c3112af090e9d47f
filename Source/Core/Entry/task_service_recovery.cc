// Determines what happened to tasks whose dispatcher or registrar was lost.

#include "Core/Entry/task_service.h"

#include <algorithm>
#include <utility>

#include "Core/Common/hash.h"
#include "Core/Common/log_decision.h"
#include "Core/Common/logging.h"
#include "Core/Entry/control_service.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Platform/worker_client.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kInquiryInterval{500};
// An inquiry in which a worker gives no conclusive reply ends after this time.
constexpr Milliseconds kInquiryTimeout{15000};
// Assumed bound on the difference between the wall clocks of two instances.
// Used only to determine whether a worker restarted during the lifetime of a
// registrar that has ended.
constexpr Milliseconds kClockSkew{200};

// Upper bound on the time since the incarnation in the name started, computed
// from the wall clocks of both instances.
Duration AgeOfIncarnation(const EntryName& name) {
  const Milliseconds started(std::strtoll(
      name.str().c_str() + name.str().rfind('.') + 1, nullptr, 10));
  return std::chrono::system_clock::now().time_since_epoch() - started +
         kClockSkew;
}

// True if the worker has not restarted since the task may first have been sent.
// The worker's clock starts at zero with each incarnation.
bool HasRunSinceSent(const TaskRecord& record, const TaskReport& report) {
  const Duration since_sent =
      record.is_recovered ? AgeOfIncarnation(RegistrarOfTask(record.earlier_id))
                          : Now() - record.registered;
  return report.now >= since_sent;
}

}  // namespace

void TaskService::Recover(TaskRecord* record) {
  if (record->is_recovering) {
    return;
  }
  record->is_recovering = true;
  const TaskId id = record->id;
  this->context->decisions->Write(
      kTasksLog, LogDecision("recover")
                     .Field("task", id.str())
                     .Field("dispatcher", record->dispatcher.str()));
  // The previous dispatcher may still start the task until its grant expires.
  const Duration pause =
      std::max<Duration>(record->granted_until - Now(), Duration::zero());
  this->context->loop->After(pause, [this, id]() { this->QueryWorkers(id); });
}

TaskId TaskService::WorkerTaskId(const TaskRecord& record) const {
  return record.is_recovered ? record.earlier_id : record.id;
}

void TaskService::QueryWorkers(const TaskId& id) {
  TaskRecord* const record = this->Find(id);
  if (record == nullptr || IsFinal(record->state)) {
    return;
  }
  Inquiry& inquiry = this->inquiries[id];
  inquiry = Inquiry();
  for (const std::pair<const WorkerName, WorkerInfo>& entry :
       this->directory->workers()) {
    // For a recovered task the zone to which the earlier registrar sent it is
    // unknown, so all zones are queried. The last known worker is queried even
    // if it has changed its pool, since it still knows what it ran.
    if (entry.first == record->worker ||
        (entry.second.pool == record->pool &&
         (record->is_recovered || entry.second.listed.zone == record->zone))) {
      inquiry.pending.insert(entry.first);
    }
  }
  const std::set<WorkerName> queried = inquiry.pending;
  for (const WorkerName& name : queried) {
    this->context->workers->Report(
        this->directory->Find(name)->listed.address,
        this->WorkerTaskId(*record), true,
        [this, id, name](const Result<TaskReport>& report) {
          this->OnWorkerReport(id, name, report);
        });
  }
  if (queried.empty()) {
    this->ConcludeInquiry(id);
  }
}

void TaskService::OnWorkerReport(const TaskId& id,
                                 const WorkerName& worker,
                                 const Result<TaskReport>& report) {
  TaskRecord* const record = this->Find(id);
  const auto found = this->inquiries.find(id);
  if (record == nullptr || IsFinal(record->state) ||
      found == this->inquiries.end()) {
    return;
  }
  found->second.pending.erase(worker);
  // A worker that restarted after the task may have been sent has lost its
  // record of earlier tasks, so its "unknown" is not conclusive.
  if (!report.ok() || (report.value().state == WorkerTaskState::kUnknown &&
                       !HasRunSinceSent(*record, report.value()))) {
    found->second.inconclusive.insert(worker);
  } else if (this->EndsInquiry(record, worker, report.value())) {
    return;
  }
  if (found->second.pending.empty()) {
    this->ConcludeInquiry(id);
  }
}

bool TaskService::EndsInquiry(TaskRecord* record,
                              const WorkerName& worker,
                              const TaskReport& report) {
  const TaskId id = record->id;
  switch (report.state) {
    case WorkerTaskState::kRunning:
      this->inquiries.erase(id);
      if (record->is_recovered) {
        // Polls the worker until the task ends. If no instance renews the
        // task's lease any more, the task ends when the lease lapses.
        this->context->loop->After(kInquiryInterval,
                                   [this, id]() { this->QueryWorkers(id); });
        return true;
      }
      record->is_recovering = false;
      this->Dispatch(id, worker);
      return true;
    case WorkerTaskState::kDone:
    case WorkerTaskState::kFailed:
      this->inquiries.erase(id);
      this->FinishWithReport(record, worker, report);
      return true;
    case WorkerTaskState::kStopped:
    case WorkerTaskState::kCheckpointed:
      // A task that is not idempotent must not start again: its first part
      // would run twice.
      if (record->idempotent) {
        return false;
      }
      this->inquiries.erase(id);
      this->Finish(record, DispatchState::kStopped, "stopped_at_worker");
      return true;
    case WorkerTaskState::kUnknown:
      return false;
  }
  return false;
}

void TaskService::FinishWithReport(TaskRecord* record,
                                   const WorkerName& worker,
                                   const TaskReport& report) {
  record->worker = worker;
  record->answer = report.answer;
  record->digest = report.digest;
  if (report.state == WorkerTaskState::kFailed) {
    this->Finish(record, DispatchState::kFailed, "task_failed");
  } else if (Sha256Hex(report.answer) == report.digest) {
    this->Finish(record, DispatchState::kDone, "");
  } else {
    this->Finish(record, DispatchState::kUnknown, "answer_incomplete");
  }
}

void TaskService::ConcludeInquiry(const TaskId& id) {
  TaskRecord* const record = this->Find(id);
  const bool complete = this->inquiries[id].inconclusive.empty();
  this->inquiries.erase(id);
  if (complete && record->is_recovered &&
      !this->control->HasEnded(RegistrarOfTask(record->earlier_id))) {
    // The earlier registrar does not answer but may be alive and still send the
    // task.
    this->Finish(record, DispatchState::kUnknown,
                 "the earlier registrar does not answer but may be alive");
    return;
  }
  if (complete && record->is_recovered) {
    record->refusal =
        Error{Errc::kUnavailable, "task.claim", "",
              "the earlier registrar ended before the task started"};
    this->Finish(record, DispatchState::kNotRun, record->refusal.ToString());
    return;
  }
  if (complete || record->idempotent) {
    // If all workers gave a conclusive reply, none of them has the task and
    // none can start it any more. An idempotent task may run twice.
    record->is_recovering = false;
    record->may_have_run = record->may_have_run || !complete;
    this->Redispatch(record);
    return;
  }
  if (Now() - record->granted_until > kInquiryTimeout) {
    this->Finish(record, DispatchState::kUnknown, "worker_unreachable");
    return;
  }
  this->context->loop->After(kInquiryInterval,
                             [this, id]() { this->QueryWorkers(id); });
}

}  // namespace daisyroad

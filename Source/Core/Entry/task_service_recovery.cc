// What became of a task whose dispatcher or registrar was lost.

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

constexpr Milliseconds kInquiryPause{500};
// An inquiry that some worker leaves unanswered is given up after this time.
constexpr Milliseconds kInquiryPatience{15000};
// Wall clocks of instances are assumed to agree within this time. Used only to
// tell whether a worker restarted during the life of an ended registrar.
constexpr Milliseconds kClockSkew{200};

// Time since the incarnation in the name started, by the wall clocks of both
// instances.
Duration AgeOfIncarnation(const EntryName& name) {
  const Milliseconds started(std::strtoll(
      name.str().c_str() + name.str().rfind('.') + 1, nullptr, 10));
  return std::chrono::system_clock::now().time_since_epoch() - started +
         kClockSkew;
}

// True if the worker has run without a restart since before the task can have
// been sent. Its clock starts with its incarnation.
bool RemembersAll(const TaskRecord& record, const TaskReport& report) {
  const Duration since_sent =
      record.recovered ? AgeOfIncarnation(RegistrarOfTask(record.earlier))
                       : Now() - record.registered;
  return report.now >= since_sent;
}

}  // namespace

void TaskService::Recover(TaskRecord* record) {
  if (record->recovering) {
    return;
  }
  record->recovering = true;
  const TaskId id = record->id;
  this->context->decisions->Write(
      kTasksLog, LogDecision("recover")
                     .Field("task", id.str())
                     .Field("dispatcher", record->dispatcher.str()));
  // Until the grant has run out the old dispatcher may still start it.
  const Duration pause =
      std::max<Duration>(record->granted_until - Now(), Duration::zero());
  this->context->loop->After(pause, [this, id]() { this->AskWorkers(id); });
}

TaskId TaskService::WorkerTaskId(const TaskRecord& record) const {
  return record.recovered ? record.earlier : record.id;
}

void TaskService::AskWorkers(const TaskId& id) {
  TaskRecord* const record = this->Find(id);
  if (record == nullptr || IsFinal(record->state)) {
    return;
  }
  Inquiry& inquiry = this->inquiries[id];
  inquiry = Inquiry();
  for (const std::pair<const WorkerName, WorkerInfo>& entry :
       this->directory->workers()) {
    // Where an earlier registrar sent the task is not known.
    // A worker that has changed its pool still knows what it ran.
    if (entry.first == record->worker ||
        (entry.second.pool == record->pool &&
         (record->recovered || entry.second.listed.zone == record->zone))) {
      inquiry.pending.insert(entry.first);
    }
  }
  const std::set<WorkerName> asked = inquiry.pending;
  for (const WorkerName& name : asked) {
    this->context->workers->Report(
        this->directory->Find(name)->listed.address,
        this->WorkerTaskId(*record), true,
        [this, id, name](const Result<TaskReport>& report) {
          this->OnWorkerAsked(id, name, report);
        });
  }
  if (asked.empty()) {
    this->ConcludeInquiry(id);
  }
}

void TaskService::OnWorkerAsked(const TaskId& id,
                                const WorkerName& worker,
                                const Result<TaskReport>& report) {
  TaskRecord* const record = this->Find(id);
  const auto found = this->inquiries.find(id);
  if (record == nullptr || IsFinal(record->state) ||
      found == this->inquiries.end()) {
    return;
  }
  found->second.pending.erase(worker);
  // A worker that restarted since the task may have been sent has forgotten
  // what it ran, so its "unknown" says nothing.
  if (!report.ok() || (report.value().state == WorkerTaskState::kUnknown &&
                       !RemembersAll(*record, report.value()))) {
    found->second.silent.insert(worker);
  } else if (this->Settles(record, worker, report.value())) {
    return;
  }
  if (found->second.pending.empty()) {
    this->ConcludeInquiry(id);
  }
}

bool TaskService::Settles(TaskRecord* record,
                          const WorkerName& worker,
                          const TaskReport& report) {
  const TaskId id = record->id;
  switch (report.state) {
    case WorkerTaskState::kRunning:
      this->inquiries.erase(id);
      if (record->recovered) {
        // Its answer is awaited at the worker; if nobody renews its lease any
        // more, the lease ends it.
        this->context->loop->After(kInquiryPause,
                                   [this, id]() { this->AskWorkers(id); });
        return true;
      }
      record->recovering = false;
      this->Dispatch(id, worker);
      return true;
    case WorkerTaskState::kDone:
    case WorkerTaskState::kFailed:
      this->inquiries.erase(id);
      this->TakeAnswer(record, worker, report);
      return true;
    case WorkerTaskState::kStopped:
    case WorkerTaskState::kCheckpointed:
      // Started again from the beginning, its first part would run twice.
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

void TaskService::TakeAnswer(TaskRecord* record,
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
  const bool complete = this->inquiries[id].silent.empty();
  this->inquiries.erase(id);
  if (complete && record->recovered &&
      !this->control->HasEnded(RegistrarOfTask(record->earlier))) {
    // The earlier registrar is silent but may still run and send the task.
    this->Finish(record, DispatchState::kUnknown,
                 "earlier registrar is silent");
    return;
  }
  if (complete && record->recovered) {
    record->refusal = Error{Errc::kUnavailable, "task.claim", "",
                            "the earlier registrar ended before it was sent"};
    this->Finish(record, DispatchState::kNotRun, record->refusal.ToString());
    return;
  }
  if (complete || record->idempotent) {
    // No worker of the cell has it and none can start it any more.
    record->recovering = false;
    record->may_have_run = record->may_have_run || !complete;
    this->Redispatch(record);
    return;
  }
  if (Now() - record->granted_until > kInquiryPatience) {
    this->Finish(record, DispatchState::kUnknown, "worker_unreachable");
    return;
  }
  this->context->loop->After(kInquiryPause,
                             [this, id]() { this->AskWorkers(id); });
}

}  // namespace daisyroad

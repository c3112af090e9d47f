#include "Core/Entry/task_record.h"

#include "Core/Common/hash.h"
#include "Core/Common/json.h"

namespace daisyroad {

EntryName RegistrarOfTask(const TaskId& id) {
  return EntryName(id.str().substr(0, id.str().rfind('-')));
}

std::string TaskSubmission::Fingerprint() const {
  Json::Value value = this->ToJson();
  value.removeMember("deadline_ms");
  return Sha256Hex(WriteJson(value));
}

Json::Value TaskSubmission::ToJson() const {
  Json::Value value;
  value["team"] = this->team.str();
  value["queue"] = this->queue.str();
  value["payload"] = this->payload;
  value["key"] = this->idempotency_key;
  value["cores"] = this->size.cores;
  value["memory_gb"] = this->size.memory_gb;
  value["accelerators"] = this->size.accelerators;
  value["deadline_ms"] = Json::Int64(this->deadline.count());
  return value;
}

std::optional<TaskSubmission> TaskSubmission::FromJson(
    const Json::Value& value) {
  try {
    TaskSubmission submission;
    submission.team = TeamName(value["team"].asString());
    submission.queue = QueueName(value["queue"].asString());
    submission.payload = value["payload"].asString();
    submission.idempotency_key = value["key"].asString();
    submission.size.cores = value["cores"].asDouble();
    submission.size.memory_gb = value["memory_gb"].asDouble();
    submission.size.accelerators = value["accelerators"].asDouble();
    submission.size.slots = 1.0;
    submission.deadline = Milliseconds(value["deadline_ms"].asInt64());
    return submission;
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
}

bool TaskRecord::NeedsClaim() const {
  return !this->idempotent && !this->submission.idempotency_key.empty();
}

std::string TaskRecord::ClaimKey() const {
  return this->submission.ClaimKey();
}

std::string TaskSubmission::ClaimKey() const {
  // The key comes first, since its prefix may name a zone.
  return this->idempotency_key + "@" + this->team.str();
}

RunOutcome TaskRecord::Outcome() const {
  switch (this->state) {
    case DispatchState::kDone:
    case DispatchState::kFailed:
      return RunOutcome::kRan;
    case DispatchState::kNotRun:
      return RunOutcome::kNotRun;
    case DispatchState::kQueued:
    case DispatchState::kStarting:
    case DispatchState::kRunning:
    case DispatchState::kStopped:
    case DispatchState::kUnknown:
      return RunOutcome::kUnknown;
  }
  return RunOutcome::kUnknown;
}

Json::Value TaskRecord::ToJson() const {
  Json::Value value;
  // Callers and workers know the task by the identifier that its first
  // registrar assigned.
  value["id"] = this->is_recovered ? this->earlier_id.str() : this->id.str();
  value["queue"] = this->submission.queue.str();
  value["team"] = this->submission.team.str();
  value["state"] = this->state == DispatchState::kNotRun
                       ? "stopped"
                       : DispatchStateName(this->state);
  value["outcome"] = RunOutcomeName(this->Outcome());
  value["worker"] = this->worker.str();
  value["zone"] = this->zone.str();
  value["reason"] = this->reason;
  if (this->state == DispatchState::kDone) {
    value["answer"] = this->answer;
    value["digest"] = this->digest;
  }
  if (this->state == DispatchState::kNotRun && this->refusal.code) {
    value["refusal"] = this->refusal.code.value();
    value["refusal_step"] = this->refusal.step;
  }
  return value;
}

}  // namespace daisyroad

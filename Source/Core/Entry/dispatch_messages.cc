#include "Core/Entry/dispatch_messages.h"

#include <iterator>

namespace daisyroad {
namespace {

constexpr const char* kStateNames[] = {"queued",  "starting", "running",
                                       "done",    "failed",   "not_run",
                                       "stopped", "unknown"};

Error Malformed(const char* step) {
  return Error{Errc::kInvalidArgument, step, "", "malformed message"};
}

}  // namespace

const char* DispatchStateName(DispatchState state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

bool IsFinal(DispatchState state) {
  return state != DispatchState::kQueued && state != DispatchState::kStarting &&
         state != DispatchState::kRunning;
}

Json::Value DispatchRequest::ToJson() const {
  Json::Value value;
  value["task"] = this->task.str();
  value["registrar"] = this->registrar.str();
  value["team"] = this->team.str();
  value["queue"] = this->queue.str();
  value["pool"] = this->pool.str();
  value["zone"] = this->zone.str();
  value["payload"] = this->payload;
  value["checkpoint"] = this->checkpoint;
  value["urgent"] = this->urgent;
  value["idempotent"] = this->idempotent;
  value["cores"] = this->size.cores;
  value["memory_gb"] = this->size.memory_gb;
  value["accelerators"] = this->size.accelerators;
  value["slots"] = this->size.slots;
  value["start_within_ms"] = Json::Int64(this->start_within.count());
  value["valid_until_ms"] = Json::Int64(this->valid_until.count());
  return value;
}

Result<DispatchRequest> DispatchRequest::FromJson(const Json::Value& value) {
  if (!value.isObject()) {
    return Malformed("dispatch.request");
  }
  try {
    DispatchRequest request;
    request.task = TaskId(value["task"].asString());
    request.registrar = EntryName(value["registrar"].asString());
    request.team = TeamName(value["team"].asString());
    request.queue = QueueName(value["queue"].asString());
    request.pool = PoolName(value["pool"].asString());
    request.zone = ZoneName(value["zone"].asString());
    request.payload = value["payload"].asString();
    request.checkpoint = value["checkpoint"].asString();
    request.urgent = value["urgent"].asBool();
    request.idempotent = value["idempotent"].asBool();
    request.size.cores = value["cores"].asDouble();
    request.size.memory_gb = value["memory_gb"].asDouble();
    request.size.accelerators = value["accelerators"].asDouble();
    request.size.slots = value["slots"].asDouble();
    request.start_within = Milliseconds(value["start_within_ms"].asInt64());
    request.valid_until = Milliseconds(value["valid_until_ms"].asInt64());
    if (request.task.empty() || request.pool.empty() || request.zone.empty()) {
      return Malformed("dispatch.request");
    }
    return request;
  } catch (const Json::Exception&) {
    return Malformed("dispatch.request");
  }
}

Json::Value DispatchUpdate::ToJson() const {
  Json::Value value;
  value["task"] = this->task.str();
  value["state"] = DispatchStateName(this->state);
  value["worker"] = this->worker.str();
  value["zone"] = this->zone.str();
  value["answer"] = this->answer;
  value["digest"] = this->digest;
  value["reason"] = this->reason;
  return value;
}

Result<DispatchUpdate> DispatchUpdate::FromJson(const Json::Value& value) {
  if (!value.isObject()) {
    return Malformed("dispatch.update");
  }
  try {
    DispatchUpdate update;
    update.task = TaskId(value["task"].asString());
    update.worker = WorkerName(value["worker"].asString());
    update.zone = ZoneName(value["zone"].asString());
    update.answer = value["answer"].asString();
    update.digest = value["digest"].asString();
    update.reason = value["reason"].asString();
    const std::string name = value["state"].asString();
    for (std::size_t i = 0; i < std::size(kStateNames); ++i) {
      if (name == kStateNames[i]) {
        update.state = static_cast<DispatchState>(i);
        return update;
      }
    }
    return Malformed("dispatch.update");
  } catch (const Json::Exception&) {
    return Malformed("dispatch.update");
  }
}

}  // namespace daisyroad

#include "StandIns/Worker/worker_state.h"

#include <algorithm>
#include <utility>

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

constexpr std::chrono::minutes kTaskRetention{10};

std::string MakeAnswer(const TaskId& id, const Json::Value& payload) {
  Json::Value answer;
  answer["task"] = id.str();
  answer["echo"] = payload["echo"];
  const int padding =
      payload["answer_bytes"].isInt() ? payload["answer_bytes"].asInt() : 0;
  if (padding > 0) {
    answer["padding"] = std::string(static_cast<std::size_t>(padding), 'x');
  }
  return WriteJson(answer);
}

Json::Value ParsePayload(const std::string& text) {
  Result<Json::Value> parsed = ParseJson(text);
  if (parsed.ok() && parsed.value().isObject()) {
    return std::move(parsed).value();
  }
  Json::Value payload(Json::objectValue);
  payload["echo"] = text;
  return payload;
}

Milliseconds RunTime(const Json::Value& payload) {
  return Milliseconds(payload["run_ms"].isInt() ? payload["run_ms"].asInt()
                                                : 10);
}

}  // namespace

const char* WorkerTaskStateName(WorkerTaskState state) {
  switch (state) {
    case WorkerTaskState::kUnknown:
      return "unknown";
    case WorkerTaskState::kRunning:
      return "running";
    case WorkerTaskState::kDone:
      return "done";
    case WorkerTaskState::kFailed:
      return "failed";
    case WorkerTaskState::kStopped:
      return "stopped";
    case WorkerTaskState::kCheckpointed:
      return "checkpointed";
  }
  return "unknown";
}

WorkerState::WorkerState(int slots, std::string incarnation, MonotonicTime boot)
    : slot_count(slots), incarnation_name(std::move(incarnation)), boot(boot) {}

StartReply WorkerState::Start(const StartTask& request,
                              bool fails_immediately,
                              MonotonicTime now) {
  StartReply reply;
  reply.now = this->Clock(now);
  reply.incarnation = this->incarnation_name;
  const auto known = this->tasks.find(request.task);
  if (known != this->tasks.end() &&
      (known->second.state != WorkerTaskState::kCheckpointed ||
       request.checkpoint.empty())) {
    reply.outcome = StartOutcome::kDuplicate;
    reply.state = known->second.state;
    return reply;
  }
  if (this->is_leaving) {
    reply.outcome = StartOutcome::kLeaving;
    return reply;
  }
  if (this->Clock(now) > request.start_before) {
    reply.outcome = StartOutcome::kExpired;
    return reply;
  }
  if (static_cast<int>(this->Running().size()) >= this->slot_count) {
    reply.outcome = StartOutcome::kFull;
    return reply;
  }
  Task task;
  task.id = request.task;
  task.holder = request.holder;
  task.team = request.team;
  task.queue = request.queue;
  task.payload = ParsePayload(request.payload);
  task.earlier_progress = Milliseconds(
      request.checkpoint.empty() ? 0 : std::atoll(request.checkpoint.c_str()));
  task.remaining = RunTime(task.payload) - task.earlier_progress;
  task.resumed = now;
  task.lease_expiry = now + request.lease;
  this->last_record_index[task.id] = this->records.size();
  this->records.push_back(StartRecord{task.id, task.team,
                                      task.payload["echo"].asString(),
                                      std::chrono::system_clock::now(),
                                      WallTime(), !request.checkpoint.empty()});
  Task& stored = this->tasks[request.task] = std::move(task);
  if (fails_immediately) {
    this->End(&stored, WorkerTaskState::kFailed, now);
  }
  return reply;
}

void WorkerState::Advance(MonotonicTime now) {
  for (auto entry = this->tasks.begin(); entry != this->tasks.end();) {
    Task& task = entry->second;
    if (task.state == WorkerTaskState::kRunning) {
      if (task.lease_expiry < now) {
        this->End(&task, WorkerTaskState::kStopped, now);
      } else if (this->Progress(task, now) >= task.remaining) {
        const bool fails = task.payload["fail"].asBool();
        task.answer = fails ? "" : MakeAnswer(task.id, task.payload);
        this->End(&task,
                  fails ? WorkerTaskState::kFailed : WorkerTaskState::kDone,
                  now);
      }
    } else if (task.ended + kTaskRetention < now) {
      entry = this->tasks.erase(entry);
      continue;
    }
    ++entry;
  }
}

LeaseReply WorkerState::Renew(const std::string& holder,
                              const std::vector<TaskId>& ids,
                              Milliseconds lease,
                              WorkerClock renew_before,
                              MonotonicTime now) {
  LeaseReply reply;
  reply.now = this->Clock(now);
  reply.incarnation = this->incarnation_name;
  reply.leaving = this->is_leaving;
  for (const TaskId& id : ids) {
    const auto found = this->tasks.find(id);
    if (found == this->tasks.end() ||
        found->second.state != WorkerTaskState::kRunning) {
      reply.lost.push_back(id);
      continue;
    }
    if (reply.now <= renew_before) {
      found->second.holder = holder;
      found->second.lease_expiry = now + lease;
    }
  }
  return reply;
}

bool WorkerState::Stop(const TaskId& id, MonotonicTime now) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end() ||
      found->second.state != WorkerTaskState::kRunning) {
    return false;
  }
  this->End(&found->second, WorkerTaskState::kStopped, now);
  return true;
}

bool WorkerState::Checkpoint(const TaskId& id, MonotonicTime now) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end() ||
      found->second.state != WorkerTaskState::kRunning) {
    return false;
  }
  found->second.earlier_progress += this->Progress(found->second, now);
  this->End(&found->second, WorkerTaskState::kCheckpointed, now);
  return true;
}

bool WorkerState::Throttle(const TaskId& id, MonotonicTime now) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end() ||
      found->second.state != WorkerTaskState::kRunning) {
    return false;
  }
  Task& task = found->second;
  const Milliseconds progress = this->Progress(task, now);
  task.remaining -= progress;
  task.earlier_progress += progress;
  task.resumed = now;
  task.slowdown = 4;
  return true;
}

void WorkerState::Acknowledge(const TaskId& id) {
  const auto found = this->tasks.find(id);
  if (found != this->tasks.end()) {
    found->second.acknowledged = true;
  }
}

void WorkerState::Reboot(const std::string& new_incarnation,
                         MonotonicTime now) {
  for (std::pair<const TaskId, Task>& entry : this->tasks) {
    if (entry.second.state == WorkerTaskState::kRunning) {
      this->End(&entry.second, WorkerTaskState::kStopped, now);
    }
  }
  this->tasks.clear();
  this->incarnation_name = new_incarnation;
  this->boot = now;
  this->is_leaving = false;
}

const WorkerState::Task* WorkerState::Find(const TaskId& id) const {
  const auto found = this->tasks.find(id);
  return found == this->tasks.end() ? nullptr : &found->second;
}

std::vector<const WorkerState::Task*> WorkerState::Running() const {
  std::vector<const Task*> running;
  for (const std::pair<const TaskId, Task>& entry : this->tasks) {
    if (entry.second.state == WorkerTaskState::kRunning) {
      running.push_back(&entry.second);
    }
  }
  return running;
}

std::vector<const WorkerState::Task*> WorkerState::Finished(
    const std::string& holder) const {
  std::vector<const Task*> finished;
  for (const std::pair<const TaskId, Task>& entry : this->tasks) {
    const Task& task = entry.second;
    if (task.state != WorkerTaskState::kRunning && !task.acknowledged &&
        task.holder == holder) {
      finished.push_back(&task);
    }
  }
  return finished;
}

int WorkerState::CountUnacknowledged() const {
  return static_cast<int>(
      std::count_if(this->tasks.begin(), this->tasks.end(),
                    [](const std::pair<const TaskId, Task>& entry) {
                      return entry.second.state != WorkerTaskState::kRunning &&
                             !entry.second.acknowledged;
                    }));
}

WorkerClock WorkerState::Clock(MonotonicTime now) const {
  return std::chrono::duration_cast<WorkerClock>(now - this->boot);
}

void WorkerState::End(Task* task, WorkerTaskState state, MonotonicTime now) {
  task->state = state;
  task->ended = now;
  this->records[this->last_record_index[task->id]].ended =
      std::chrono::system_clock::now();
}

Milliseconds WorkerState::Progress(const Task& task, MonotonicTime now) const {
  return std::chrono::duration_cast<Milliseconds>(now - task.resumed) /
         task.slowdown;
}

}  // namespace daisyroad

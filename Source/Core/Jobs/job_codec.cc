// JSON encoding of the job records in the store.

#include <algorithm>
#include <chrono>

#include "Core/Common/json.h"
#include "Core/Jobs/job_limits.h"
#include "Core/Jobs/job_progress.h"

namespace daisyroad {
namespace {

// Number of leading columns in a row that identify the task: occurrence, step
// and index.
constexpr Json::ArrayIndex kTaskRefColumns = 3;

std::int64_t UnixMilliseconds(WallTime time) {
  return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch())
      .count();
}

WallTime FromUnixMilliseconds(std::int64_t value) {
  return WallTime(Milliseconds(value));
}

Json::Value TaskToJson(const TaskRef& task) {
  Json::Value json(Json::arrayValue);
  json.append(task.occurrence);
  json.append(task.step);
  json.append(task.index);
  return json;
}

bool IsIndex(const Json::Value& json) {
  return json.isInt() && json.asInt() >= 0 &&
         json.asInt() <= IndexRanges::kMaxIndex;
}

// Adds a row of the first and the last index of a range to `ranges`.
bool ReadRange(const Json::Value& row, IndexRanges* ranges) {
  if (!row.isArray() || row.size() != 2 || !IsIndex(row[0]) ||
      !IsIndex(row[1]) || row[0].asInt() > row[1].asInt()) {
    return false;
  }
  ranges->Add(row[0].asInt(), row[1].asInt());
  return true;
}

bool ReadTask(const JobId& job, const Json::Value& json, TaskRef* task) {
  if (!json.isArray() || json.size() < kTaskRefColumns || !IsIndex(json[0]) ||
      !IsIndex(json[1]) || !IsIndex(json[2])) {
    return false;
  }
  *task = TaskRef{job, json[0].asInt(), json[1].asInt(), json[2].asInt()};
  return true;
}

// Reads the index of the last task of a row of completed tasks. A row of one
// task does not have it.
bool ReadLast(const Json::Value& row, int first, int* last) {
  *last = first;
  if (row.size() == kTaskRefColumns) {
    return true;
  }
  const Json::Value& json = row[kTaskRefColumns];
  if (row.size() != kTaskRefColumns + 1 || !IsIndex(json) ||
      json.asInt() < first) {
    return false;
  }
  *last = json.asInt();
  return true;
}

Error BadRecord(const JobId& job, const std::string& detail) {
  return Error{Errc::kProtocol, "jobs.parse", job.str(), detail};
}

void SetUnlessZero(const char* name, std::int64_t value, Json::Value* json) {
  if (value != 0) {
    (*json)[name] = Json::Int64(value);
  }
}

void SetUnlessFalse(const char* name, bool value, Json::Value* json) {
  if (value) {
    (*json)[name] = true;
  }
}

void SetUnlessEmpty(const char* name,
                    const std::string& value,
                    Json::Value* json) {
  if (!value.empty()) {
    (*json)[name] = value;
  }
}

// Fields with the value that a missing one has are left out, so that the record
// is not much larger than the request.
Json::Value StepToJson(const StepSpec& step) {
  Json::Value json(Json::objectValue);
  json["tasks"] = step.task_count;
  SetUnlessZero("cpu", step.request.cpu_millicores, &json);
  SetUnlessZero("memory", step.request.memory_mb, &json);
  SetUnlessZero("accelerators", step.request.accelerators, &json);
  SetUnlessZero("estimate", step.estimate.count(), &json);
  for (const int before : step.after) {
    json["after"].append(before);
  }
  SetUnlessFalse("checkpoints", step.saves_checkpoints, &json);
  SetUnlessFalse("gang", step.is_gang, &json);
  SetUnlessFalse("same_rack", step.same_rack, &json);
  SetUnlessFalse("copies", step.allows_copies, &json);
  SetUnlessFalse("service", step.is_service, &json);
  SetUnlessFalse("idle_capacity", step.uses_idle_capacity, &json);
  SetUnlessEmpty("label", step.required_label, &json);
  SetUnlessEmpty("data_rack", step.data_rack, &json);
  SetUnlessEmpty("image", step.image, &json);
  SetUnlessZero("max_per_worker", step.max_per_worker, &json);
  SetUnlessZero("latency_target", step.latency_target.count(), &json);
  SetUnlessZero("budget", step.disruption_budget, &json);
  return json;
}

// Earlier versions stored what the caller had sent, so each value is brought
// within its limits.
std::int64_t ReadRequest(const Json::Value& json) {
  return std::clamp<std::int64_t>(json.asInt64(), 0, kMaxTaskRequest);
}

Milliseconds ReadDuration(const Json::Value& json, Milliseconds longest) {
  return std::clamp(Milliseconds(json.asInt64()), Milliseconds(0), longest);
}

StepSpec StepFromJson(const Json::Value& json) {
  StepSpec step;
  step.task_count = json["tasks"].asInt();
  step.request.cpu_millicores = ReadRequest(json["cpu"]);
  step.request.memory_mb = ReadRequest(json["memory"]);
  step.request.accelerators = ReadRequest(json["accelerators"]);
  step.estimate = ReadDuration(json["estimate"], kLongestEstimate);
  for (const Json::Value& before : json["after"]) {
    step.after.push_back(before.asInt());
  }
  step.saves_checkpoints = json["checkpoints"].asBool();
  step.is_gang = json["gang"].asBool();
  step.same_rack = json["same_rack"].asBool();
  step.allows_copies = json["copies"].asBool();
  step.is_service = json["service"].asBool();
  step.uses_idle_capacity = json["idle_capacity"].asBool();
  step.required_label = json["label"].asString();
  step.data_rack = json["data_rack"].asString();
  step.image = json["image"].asString();
  step.max_per_worker = json["max_per_worker"].asInt();
  step.latency_target = ReadDuration(json["latency_target"], kLongestEstimate);
  step.disruption_budget = json["budget"].asInt();
  return step;
}

}  // namespace

Json::Value ToJson(const JobProgress& progress) {
  Json::Value json(Json::objectValue);
  json["status"] = ToString(progress.status);
  for (const std::pair<const int, int>& range : progress.finished.ranges()) {
    Json::Value row(Json::arrayValue);
    row.append(range.first);
    row.append(range.second);
    json["finished"].append(row);
  }
  for (const std::pair<const DoneTasks::StepKey, IndexRanges>& step :
       progress.done.steps()) {
    for (const std::pair<const int, int>& range : step.second.ranges()) {
      Json::Value row = TaskToJson(
          TaskRef{JobId(), step.first.first, step.first.second, range.first});
      if (range.second != range.first) {
        row.append(range.second);
      }
      json["done"].append(row);
    }
  }
  for (const std::pair<const TaskRef, std::set<std::int64_t>>& entry :
       progress.failures) {
    Json::Value row = TaskToJson(entry.first);
    for (const std::int64_t run : entry.second) {
      row.append(Json::Int64(run));
    }
    json["failures"].append(row);
  }
  for (const std::pair<const TaskRef, CrashRecord>& entry : progress.crashes) {
    Json::Value row = TaskToJson(entry.first);
    const std::map<std::int64_t, OpenStart>& starts = entry.second.open_starts;
    row.append(Json::Int64(starts.empty() ? 0 : starts.rbegin()->first));
    for (const std::int64_t run : entry.second.runs) {
      row.append(Json::Int64(run));
    }
    json["crashes"].append(row);
    Json::Value uncertain = TaskToJson(entry.first);
    for (const std::int64_t run : entry.second.uncertain_runs) {
      uncertain.append(Json::Int64(run));
    }
    if (uncertain.size() > kTaskRefColumns) {
      json["uncertain_crashes"].append(uncertain);
    }
    for (const std::pair<const std::int64_t, OpenStart>& start : starts) {
      Json::Value open = TaskToJson(entry.first);
      open.append(Json::Int64(start.first));
      open.append(start.second.worker.str());
      open.append(Json::Int64(start.second.incarnation));
      json["open_starts"].append(open);
    }
  }
  return json;
}

Result<JobProgress> ParseJobProgress(const JobId& job,
                                     const Json::Value& json) {
  JobProgress progress;
  const Result<std::string> status = JsonString(json, "status");
  if (!status.ok()) {
    return status.error();
  }
  bool is_known = false;
  for (const JobStatus candidate :
       {JobStatus::kQueued, JobStatus::kRunning, JobStatus::kCompleted,
        JobStatus::kFailed, JobStatus::kCancelled}) {
    if (status.value() == ToString(candidate)) {
      progress.status = candidate;
      is_known = true;
    }
  }
  if (!is_known) {
    return BadRecord(job, "unknown job status " + status.value());
  }
  for (const Json::Value& row : json["finished"]) {
    if (!ReadRange(row, &progress.finished)) {
      return BadRecord(job,
                       "malformed entry in the list of finished occurrences");
    }
  }
  for (const Json::Value& row : json["done"]) {
    TaskRef task;
    int last = 0;
    if (!ReadTask(job, row, &task) || !ReadLast(row, task.index, &last)) {
      return BadRecord(job, "malformed entry in the list of completed tasks");
    }
    progress.done.Add(task.occurrence, task.step, task.index, last);
  }
  for (const Json::Value& row : json["failures"]) {
    TaskRef task;
    if (!ReadTask(job, row, &task)) {
      return BadRecord(job, "malformed entry in the list of failures");
    }
    for (Json::ArrayIndex i = kTaskRefColumns; i < row.size(); ++i) {
      if (!row[i].isInt64()) {
        return BadRecord(job, "malformed entry in the list of failures");
      }
      progress.failures[task].insert(row[i].asInt64());
    }
  }
  for (const Json::Value& row : json["crashes"]) {
    TaskRef task;
    if (!ReadTask(job, row, &task) || row.size() <= kTaskRefColumns) {
      return BadRecord(job, "malformed entry in the list of crashes");
    }
    for (Json::ArrayIndex i = kTaskRefColumns; i < row.size(); ++i) {
      if (!row[i].isInt64()) {
        return BadRecord(job, "malformed entry in the list of crashes");
      }
    }
    CrashRecord& record = progress.crashes[task];
    if (row[kTaskRefColumns].asInt64() != 0) {
      record.open_starts[row[kTaskRefColumns].asInt64()] = OpenStart();
    }
    for (Json::ArrayIndex i = kTaskRefColumns + 1; i < row.size(); ++i) {
      record.runs.insert(row[i].asInt64());
    }
  }
  for (const Json::Value& row : json["uncertain_crashes"]) {
    TaskRef task;
    if (!ReadTask(job, row, &task)) {
      return BadRecord(job, "malformed entry in the list of uncertain crashes");
    }
    for (Json::ArrayIndex i = kTaskRefColumns; i < row.size(); ++i) {
      if (!row[i].isInt64()) {
        return BadRecord(job,
                         "malformed entry in the list of uncertain crashes");
      }
      progress.crashes[task].uncertain_runs.insert(row[i].asInt64());
    }
  }
  for (const Json::Value& row : json["open_starts"]) {
    TaskRef task;
    if (!ReadTask(job, row, &task) || row.size() != kTaskRefColumns + 3 ||
        !row[kTaskRefColumns].isInt64() ||
        !row[kTaskRefColumns + 1].isString() ||
        !row[kTaskRefColumns + 2].isInt64()) {
      return BadRecord(job, "malformed entry in the list of open starts");
    }
    progress.crashes[task].open_starts[row[kTaskRefColumns].asInt64()] =
        OpenStart{WorkerName(row[kTaskRefColumns + 1].asString()),
                  row[kTaskRefColumns + 2].asInt64()};
  }
  return progress;
}

Json::Value ToJson(const AcceptedJob& job) {
  Json::Value json(Json::objectValue);
  json["id"] = job.id.str();
  json["queue"] = job.queue.str();
  json["pool"] = job.pool.str();
  json["team"] = job.team.str();
  json["accepted"] = Json::Int64(UnixMilliseconds(job.accepted_at));
  json["payload"] = job.spec.payload;
  for (const StepSpec& step : job.spec.steps) {
    json["steps"].append(StepToJson(step));
  }
  json["occurrences"] = job.spec.occurrences;
  json["first_due"] =
      Json::Int64(job.spec.first_due.time_since_epoch().count());
  json["interval"] = Json::Int64(job.spec.interval.count());
  return json;
}

Result<AcceptedJob> ParseAcceptedJob(const Json::Value& json) {
  AcceptedJob job;
  try {
    job.id = JobId(json["id"].asString());
    job.queue = QueueName(json["queue"].asString());
    job.pool = PoolName(json["pool"].asString());
    job.team = TeamName(json["team"].asString());
    job.accepted_at = FromUnixMilliseconds(json["accepted"].asInt64());
    job.spec.payload = json["payload"].asString();
    for (const Json::Value& step : json["steps"]) {
      job.spec.steps.push_back(StepFromJson(step));
    }
    job.spec.occurrences = json["occurrences"].asInt();
    job.spec.first_due =
        std::clamp(WallMilliseconds(Milliseconds(json["first_due"].asInt64())),
                   WallMilliseconds(), kLatestDue);
    job.spec.interval = ReadDuration(json["interval"], kLongestInterval);
  } catch (const Json::Exception& exception) {
    return BadRecord(job.id, exception.what());
  }
  std::string reason;
  if (job.id.empty() || job.spec.occurrences < 0 ||
      !IsRunnable(job.spec, &reason)) {
    return BadRecord(job.id, "invalid job: " + reason);
  }
  return job;
}

}  // namespace daisyroad

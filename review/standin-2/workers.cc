#include "workers.h"

#include <algorithm>
#include <utility>

namespace review {
namespace {

constexpr std::chrono::milliseconds kHeartbeat{1500};
// An entry is removed after three check-in intervals of silence.
constexpr std::chrono::milliseconds kSilence{4500};
constexpr std::chrono::milliseconds kTick{10};
// How long a run takes to stop; at most StopMs.
constexpr std::chrono::milliseconds kStopTakes{50};
constexpr std::chrono::milliseconds kGangWaits{3000};
constexpr std::int64_t kCheckpointMs = 1000;
constexpr std::int64_t kRestoreMs = 250;
constexpr std::int64_t kClockAtBoot = 1000;

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

std::string StepOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

// A checkpoint stands for the work done, and for nothing else: members of a
// gang that have done the same work have the same value.
std::string MakeCheckpoint(std::int64_t worked_ms) {
  return std::to_string(worked_ms) + "ms";
}

std::int64_t SinceMs(Clock::time_point time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               time)
      .count();
}

Response Reply(int status, const Json::Value& body) {
  return Response{status, ToText(body)};
}

}  // namespace

Workers::Workers(Record* record, int stop_ms, int hold_max_ms)
    : record(record), stop_ms(stop_ms), hold_max_ms(hold_max_ms) {}

Workers::~Workers() {
  this->Stop();
}

void Workers::Stop() {
  this->stopping = true;
  this->changed.notify_all();
  if (this->ticker.joinable()) {
    this->ticker.join();
  }
  for (auto& [id, worker] : this->workers) {
    worker.server.reset();
  }
}

void Workers::Begin(Platform* platform, const std::vector<WorkerPlan>& plans) {
  this->platform = platform;
  for (const WorkerPlan& plan : plans) {
    Worker& worker = this->workers[plan.id];
    worker.plan = plan;
    this->Boot(&worker);
  }
  this->ticker = std::thread([this]() {
    while (!this->stopping) {
      this->Tick();
      std::this_thread::sleep_for(kTick);
    }
  });
}

void Workers::SetPlan(const std::string& job, const TaskPlan& plan) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->plans[job] = plan;
}

Json::Value Workers::Machines() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Json::Value rows(Json::arrayValue);
  for (const auto& [id, worker] : this->workers) {
    Json::Value row;
    row["Machine"] = "m-" + id;
    row["Pool"] = worker.plan.pool;
    row["State"] = worker.is_up ? "up" : "down";
    row["Zone"] = worker.plan.zone;
    row["Labels"].append("a");
    row["Labels"].append(worker.plan.rack);
    row["Capacity"]["Cpu"] = worker.plan.cpu;
    row["Capacity"]["MemMb"] = worker.plan.mem;
    row["Capacity"]["Gpu"] = worker.plan.gpu;
    row["Id"] = worker.is_up ? id : "";
    rows.append(row);
  }
  return rows;
}

void Workers::Boot(Worker* worker) {
  worker->is_up = true;
  worker->booted_at = Clock::now();
  worker->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
  worker->fence = 0;
  worker->until_ms = 0;
  worker->next_end = 1;
  worker->seq = 0;
  worker->running.clear();
  worker->highest_ended.clear();
  worker->ended.clear();
  const std::string id = worker->plan.id;
  worker->server = std::make_unique<HttpServer>(
      [this, id](const Request& request) { return this->Handle(id, request); },
      worker->port);
  worker->port = worker->server->port();
  this->WriteEntry(worker);
}

void Workers::WriteEntry(Worker* worker) {
  Json::Value entry;
  entry["Service"] = worker->plan.pool;
  entry["Address"] = "127.0.0.1:" + std::to_string(worker->port);
  entry["Zone"] = worker->plan.zone;
  entry["Version"] = "v1";
  entry["Slots"] = 8;
  entry["State"] = "ready";
  entry["ColdLeftMs"] = 0;
  entry["Capacity"]["Cpu"] = worker->plan.cpu;
  entry["Capacity"]["MemMb"] = worker->plan.mem;
  entry["Capacity"]["Gpu"] = worker->plan.gpu;
  entry["Labels"].append("a");
  entry["Labels"].append(worker->plan.rack);
  entry["ClockMs"] = Json::Int64(this->ClockOf(*worker));
  entry["Seq"] = Json::Int64(++worker->seq);
  entry["born"] = Json::Int64(worker->born);
  this->platform->Put("servers/" + worker->plan.id, entry);
  worker->is_listed = true;
  worker->next_beat = Clock::now() + kHeartbeat;
}

void Workers::Crash(const std::string& id) {
  std::unique_ptr<HttpServer> server;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    Worker& worker = this->workers.at(id);
    this->record->Line("worker " + id + " crashes");
    worker.is_up = false;
    worker.gone_at = Clock::now() + kSilence;
    // The other members of its gangs end.
    std::vector<std::pair<std::string, std::int64_t>> lost;
    for (const auto& [task, run] : worker.running) {
      this->finished.push_back(End{this->record->Seconds(), id, task,
                                   run.number, "lost with its worker"});
      lost.emplace_back(task, run.number);
    }
    worker.running.clear();
    for (const auto& [task, number] : lost) {
      this->BreakGang(task, number);
    }
    server = std::move(worker.server);
    this->changed.notify_all();
  }
  server.reset();
}

void Workers::Restart(const std::string& id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->record->Line("worker " + id + " starts again under its id");
  this->Boot(&this->workers.at(id));
}

std::vector<std::string> Workers::RunningOn(const std::string& task) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> ids;
  for (const auto& [id, worker] : this->workers) {
    if (worker.is_up && worker.running.contains(task)) {
      ids.push_back(id);
    }
  }
  return ids;
}

int Workers::RunningFor(const std::string& id, const std::string& task) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const Worker& worker = this->workers.at(id);
  const auto found = worker.running.find(task);
  return found == worker.running.end()
             ? -1
             : static_cast<int>(SinceMs(found->second.begun_at));
}

std::vector<Start> Workers::starts() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->started;
}

int Workers::CpuInUse() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  int cpu = 0;
  for (const auto& [id, worker] : this->workers) {
    for (const auto& [task, run] : worker.running) {
      cpu += run.plan.cpu;
    }
  }
  return cpu;
}

std::vector<End> Workers::noted_ends() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->noted;
}

std::vector<End> Workers::ends() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->finished;
}

std::int64_t Workers::ClockOf(const Worker& worker) const {
  return kClockAtBoot + SinceMs(worker.booted_at);
}

Json::Value Workers::Answer(const Worker& worker) const {
  Json::Value answer;
  answer["ClockMs"] = Json::Int64(this->ClockOf(worker));
  answer["born"] = Json::Int64(worker.born);
  return answer;
}

Response Workers::Handle(const std::string& id, const Request& request) {
  std::unique_lock<std::mutex> lock(this->mutex);
  Worker& worker = this->workers.at(id);
  const std::int64_t born = worker.born;
  if (!worker.is_up) {
    return Response();
  }
  if (request.method == "GET") {
    return Reply(200, Json::Value(Json::objectValue));
  }
  const auto expected = request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != id) {
    return Reply(421, this->Answer(worker));
  }
  const Json::Value body = ToJson(request.body);
  if (body["FencingToken"].asInt64() < worker.fence) {
    Json::Value refusal = this->Answer(worker);
    refusal["Reason"] = "fence";
    return Reply(409, refusal);
  }
  worker.fence = body["FencingToken"].asInt64();
  if (request.path == "/v1/run-start") {
    return this->StartRun(&worker, body);
  }
  if (request.path == "/v1/run-stop") {
    return this->StopRun(&worker, body);
  }
  if (request.path == "/v1/hold") {
    this->ExtendLease(&worker, body);
    const std::int64_t seen = body["LastSeen"].asInt64();
    while (!worker.ended.empty() && worker.ended.front()[0].asInt64() <= seen) {
      const Json::Value& row = worker.ended.front();
      this->noted.push_back(End{this->record->Seconds(), id, row[1].asString(),
                                row[2].asInt64(), row[3].asString()});
      this->record->Line("worker " + id + ": the end of " + row[1].asString() +
                         " run " + std::to_string(row[2].asInt64()) + ", " +
                         row[3].asString() + ", is taken note of");
      worker.ended.pop_front();
    }
    const Clock::time_point until =
        Clock::now() + std::chrono::milliseconds(std::min<std::int64_t>(
                           2000, body["WaitMs"].asInt64()));
    while (worker.ended.empty() && Clock::now() < until && worker.is_up &&
           worker.born == born && !this->stopping) {
      this->changed.wait_until(lock, until);
    }
    if (!worker.is_up || worker.born != born || this->stopping) {
      return Response();
    }
    return Reply(200, this->Report(&worker));
  }
  return Reply(200, this->Answer(worker));  // pace
}

void Workers::ExtendLease(Worker* worker, const Json::Value& body) {
  if (body["UntilMs"].isInt64()) {
    worker->until_ms = std::max(
        worker->until_ms, std::min(body["UntilMs"].asInt64(),
                                   this->ClockOf(*worker) + this->hold_max_ms));
  }
}

Response Workers::StartRun(Worker* worker, const Json::Value& body) {
  const std::string task = body["Task"].asString();
  const std::int64_t number = body["Run"].asInt64();
  const auto present = worker->running.find(task);
  if (present != worker->running.end() && present->second.number == number) {
    return Reply(200, this->Answer(*worker));
  }
  std::string reason;
  const TaskPlan plan = this->plans.contains(JobOf(task))
                            ? this->plans.at(JobOf(task))
                            : TaskPlan();
  int cpu = plan.cpu;
  int mem = plan.mem;
  int gpu = plan.gpu;
  for (const auto& [name, run] : worker->running) {
    cpu += run.plan.cpu;
    mem += run.plan.mem;
    gpu += run.plan.gpu;
  }
  const auto ended = worker->highest_ended.find(task);
  if (present != worker->running.end() ||
      (ended != worker->highest_ended.end() && number <= ended->second)) {
    reason = "old";
  } else if (body["UntilMs"].asInt64() <= this->ClockOf(*worker)) {
    reason = "late";
  } else if (cpu > worker->plan.cpu || mem > worker->plan.mem ||
             gpu > worker->plan.gpu) {
    reason = "room";
  }
  if (reason != "late") {
    this->ExtendLease(worker, body);
  }
  if (!reason.empty()) {
    this->record->Line("worker " + worker->plan.id + " refuses " + task +
                       " run " + std::to_string(number) + ": " + reason);
    Json::Value refusal = this->Answer(*worker);
    refusal["Reason"] = reason;
    return Reply(409, refusal);
  }
  Run& run = worker->running[task];
  run = Run();
  run.task = task;
  run.number = number;
  run.plan = plan;
  run.begun_at = Clock::now();
  run.saved = body["Checkpoint"].asString();
  if (!run.saved.empty()) {
    run.resumed_ms = std::stoll(run.saved);
  }
  if (plan.gang == 0) {
    run.is_working = true;
    run.works_since = run.begun_at;
  }
  this->started.push_back(Start{this->record->Seconds(), worker->plan.id, task,
                                number, body["Spec"].asString(), run.saved});
  this->record->Line("worker " + worker->plan.id + " starts " + task + " run " +
                     std::to_string(number) + " checkpoint \"" + run.saved +
                     "\" spec \"" + body["Spec"].asString().substr(0, 40) +
                     "\" fence " + std::to_string(worker->fence));
  this->GatherGangs();
  return Reply(200, this->Answer(*worker));
}

Response Workers::StopRun(Worker* worker, const Json::Value& body) {
  const std::string task = body["Task"].asString();
  const std::int64_t number = body["Run"].asInt64();
  const auto found = worker->running.find(task);
  this->record->Line("worker " + worker->plan.id + " is told to stop " + task +
                     " run " + std::to_string(number));
  if (found != worker->running.end() && found->second.number == number) {
    if (!found->second.is_stopping) {
      found->second.is_stopping = true;
      found->second.stops_at = Clock::now() + kStopTakes;
    }
  } else {
    std::int64_t& highest = worker->highest_ended[task];
    highest = std::max(highest, number);
  }
  return Reply(200, this->Answer(*worker));
}

Json::Value Workers::Report(Worker* worker) {
  Json::Value report = this->Answer(*worker);
  report["Running"] = Json::arrayValue;
  report["Ended"] = Json::arrayValue;
  for (const auto& [task, run] : worker->running) {
    Json::Value row;
    row.append(task);
    row.append(Json::Int64(run.number));
    row.append(run.saved);
    row.append(run.is_working ? 100 : 0);
    row.append(run.is_working ? run.plan.cpu : 0);
    report["Running"].append(row);
  }
  for (const Json::Value& row : worker->ended) {
    if (report["Ended"].size() < 500) {
      report["Ended"].append(row);
    }
  }
  return report;
}

std::int64_t Workers::WorkedMs(const Run& run) const {
  if (!run.is_working) {
    return run.resumed_ms;
  }
  const std::int64_t restore = run.resumed_ms > 0 ? kRestoreMs : 0;
  return run.resumed_ms +
         std::max<std::int64_t>(0, SinceMs(run.works_since) - restore);
}

void Workers::EndRun(Worker* worker,
                     const std::string& task,
                     const std::string& how) {
  const auto found = worker->running.find(task);
  if (found == worker->running.end()) {
    return;
  }
  Run run = found->second;
  worker->running.erase(found);
  // A new value is made with work, and at a stop.
  if (run.plan.has_checkpoints && how == "stopped" && run.is_working) {
    run.saved = MakeCheckpoint(this->WorkedMs(run));
  }
  std::int64_t& highest = worker->highest_ended[task];
  highest = std::max(highest, run.number);
  Json::Value row;
  row.append(Json::Int64(worker->next_end++));
  row.append(task);
  row.append(Json::Int64(run.number));
  row.append(how);
  row.append(run.plan.has_checkpoints ? run.saved : "");
  worker->ended.push_back(row);
  this->finished.push_back(
      End{this->record->Seconds(), worker->plan.id, task, run.number, how});
  this->record->Line("worker " + worker->plan.id + " ends " + task + " run " +
                     std::to_string(run.number) + ": " + how + " saved \"" +
                     run.saved + "\"");
  this->changed.notify_all();
  if (how != "done" && how != "broken") {
    this->BreakGang(task, run.number);
  }
}

// The other members of a gang end when one member has ended.
void Workers::BreakGang(const std::string& task, std::int64_t number) {
  for (auto& [id, worker] : this->workers) {
    std::vector<std::string> members;
    for (const auto& [name, run] : worker.running) {
      if (run.plan.gang > 0 && run.number == number && name != task &&
          run.is_working && StepOf(name) == StepOf(task)) {
        members.push_back(name);
      }
    }
    for (const std::string& name : members) {
      this->EndRun(&worker, name, "broken");
    }
  }
}

// Gangs whose members are all there begin to work.
void Workers::GatherGangs() {
  std::map<std::pair<std::string, std::int64_t>, std::vector<Run*>> gangs;
  for (auto& [id, worker] : this->workers) {
    for (auto& [task, run] : worker.running) {
      if (run.plan.gang > 0 && !run.is_working && !run.is_stopping) {
        gangs[{StepOf(task), run.number}].push_back(&run);
      }
    }
  }
  for (const auto& [gang, members] : gangs) {
    if (static_cast<int>(members.size()) == members.front()->plan.gang) {
      for (Run* const run : members) {
        run->is_working = true;
        run->works_since = Clock::now();
      }
    }
  }
}

void Workers::Tick() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const Clock::time_point now = Clock::now();
  for (auto& [id, worker] : this->workers) {
    if (!worker.is_up) {
      if (worker.is_listed && now >= worker.gone_at) {
        worker.is_listed = false;
        this->platform->Remove("servers/" + id);
      }
      continue;
    }
    if (now >= worker.next_beat) {
      this->WriteEntry(&worker);
    }
    std::vector<std::pair<std::string, std::string>> ends;
    const bool is_lapsed =
        worker.until_ms > 0 && this->ClockOf(worker) >= worker.until_ms;
    for (auto& [task, run] : worker.running) {
      if (is_lapsed) {
        ends.emplace_back(task, "lapsed");
      } else if (run.is_stopping && now >= run.stops_at) {
        ends.emplace_back(task, "stopped");
      } else if (!run.is_working && run.plan.gang > 0 &&
                 now - run.begun_at >= kGangWaits) {
        ends.emplace_back(task, "alone");
      } else if (run.is_working && !run.is_stopping && run.plan.work_ms > 0 &&
                 this->WorkedMs(run) >= run.plan.work_ms) {
        ends.emplace_back(task, run.plan.end);
      } else if (run.is_working && run.plan.has_checkpoints) {
        const std::int64_t step =
            this->WorkedMs(run) / kCheckpointMs * kCheckpointMs;
        const std::int64_t last = run.saved.empty() ? 0 : std::stoll(run.saved);
        if (step > last) {
          run.saved = MakeCheckpoint(step);
        }
      }
    }
    for (const auto& [task, how] : ends) {
      if (how == "done") {
        // The members of a gang end done together.
        const auto found = worker.running.find(task);
        if (found != worker.running.end() && found->second.plan.gang > 0) {
          const std::int64_t number = found->second.number;
          for (auto& [other_id, other] : this->workers) {
            std::vector<std::string> members;
            for (const auto& [name, run] : other.running) {
              if (run.number == number && StepOf(name) == StepOf(task)) {
                members.push_back(name);
              }
            }
            for (const std::string& name : members) {
              this->EndRun(&other, name, "done");
            }
          }
          continue;
        }
      }
      this->EndRun(&worker, task, how);
    }
  }
}

}  // namespace review

#include "StandIns/Worker/worker_server.h"

#include <utility>

#include "Core/Common/hash.h"
#include "Core/Common/json.h"
#include "Core/Transport/event_loop.h"
#include "StandIns/Common/json_reply.h"

namespace daisyroad {
namespace {

constexpr char kTaskPathPrefix[] = "/v1/tasks/";

std::int64_t ToUnixMilliseconds(WallTime time) {
  return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch())
      .count();
}

int HttpStatusOf(StartOutcome outcome) {
  switch (outcome) {
    case StartOutcome::kStarted:
      return 201;
    case StartOutcome::kDuplicate:
      return 412;
    case StartOutcome::kExpired:
      return 409;
    case StartOutcome::kFull:
      return 429;
    case StartOutcome::kLeaving:
      return 503;
  }
  return 500;
}

const char* ReasonName(StartOutcome outcome) {
  switch (outcome) {
    case StartOutcome::kStarted:
      return "started";
    case StartOutcome::kDuplicate:
      return "duplicate";
    case StartOutcome::kExpired:
      return "start_expired";
    case StartOutcome::kFull:
      return "full";
    case StartOutcome::kLeaving:
      return "leaving";
  }
  return "";
}

std::vector<TaskId> ParseTaskIds(const Json::Value& list) {
  std::vector<TaskId> tasks;
  for (const Json::Value& item : list) {
    tasks.emplace_back(item.asString());
  }
  return tasks;
}

}  // namespace

WorkerServer::WorkerServer(EventLoop* loop, Options options)
    : loop(loop),
      options(std::move(options)),
      state(this->options.slots,
            this->NextIncarnation(),
            std::chrono::steady_clock::now()) {}

Status WorkerServer::Start() {
  HttpServerOptions server_options;
  server_options.port = this->options.port;
  return this->server.Start(
      server_options,
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->loop->Post(
            [this, request, respond]() { this->Handle(request, respond); });
      });
}

void WorkerServer::Stop() {
  this->server.Stop();
}

void WorkerServer::Tick(MonotonicTime now) {
  if (this->faults.down) {
    return;
  }
  this->state.Advance(now);
  for (auto poll = this->polls.begin(); poll != this->polls.end();) {
    if (now >= poll->deadline || !this->state.Finished(poll->holder).empty()) {
      poll->respond(JsonReply(200, this->FinishedBody(poll->holder)));
      poll = this->polls.erase(poll);
    } else {
      ++poll;
    }
  }
}

void WorkerServer::Handle(const HttpRequest& request,
                          const HttpResponder& respond) {
  if (request.path.rfind("/standin/", 0) == 0) {
    this->HandleStandIn(request, respond);
    return;
  }
  this->seen_peers.insert(request.peer);
  if (!this->faults.Receives(request) || this->is_rebooting ||
      this->silent_peers.count(request.peer) != 0) {
    return;
  }
  if (this->faults.delay.count() == 0) {
    this->Serve(request, respond);
    return;
  }
  this->loop->After(this->faults.delay, [this, request, respond]() {
    this->Serve(request, respond);
  });
}

void WorkerServer::HandleStandIn(const HttpRequest& request,
                                 const HttpResponder& respond) {
  if (request.path == "/standin/faults") {
    respond(SetFaults(request, &this->faults));
  } else if (request.path == "/standin/silence") {
    // All connections that are open now stay silent permanently.
    this->silent_peers = this->seen_peers;
    for (auto poll = this->polls.begin(); poll != this->polls.end();) {
      poll = this->polls.erase(poll);
    }
    respond(JsonReply(200, this->MakeReplyBase()));
  } else if (request.path == "/standin/starts") {
    respond(JsonReply(200, this->StartRecords()));
  } else {
    respond(JsonReply(404, this->MakeReplyBase()));
  }
}

void WorkerServer::Serve(const HttpRequest& request,
                         const HttpResponder& respond) {
  if (request.path.rfind(kTaskPathPrefix, 0) == 0) {
    this->ServeTask(request, request.path.substr(sizeof(kTaskPathPrefix) - 1),
                    respond);
    return;
  }
  if (request.path == "/v1/status") {
    this->ServeStatus(respond);
    return;
  }
  const Result<Json::Value> body = ParseJson(request.body);
  if (!body.ok() || !body.value().isObject()) {
    respond(JsonReply(400, this->MakeReplyBase()));
  } else if (request.path == "/v1/leases") {
    this->ServeLeases(body.value(), respond);
  } else if (request.path == "/v1/finished") {
    this->ServeFinished(body.value(), respond);
  } else if (!this->MatchesIncarnation(body.value())) {
    respond(JsonReply(409, this->MakeReplyBase()));
  } else if (request.path == "/v1/drain") {
    this->state.Drain();
    this->options.on_leaving_change(true);
    respond(JsonReply(200, this->MakeReplyBase()));
  } else if (request.path == "/v1/reboot") {
    respond(JsonReply(202, this->MakeReplyBase()));
    this->Reboot();
  } else {
    respond(JsonReply(404, this->MakeReplyBase()));
  }
}

void WorkerServer::ServeTask(const HttpRequest& request,
                             const std::string& rest,
                             const HttpResponder& respond) {
  const MonotonicTime now = std::chrono::steady_clock::now();
  if (request.method == "PUT") {
    this->ServeStart(request, TaskId(rest), respond);
    return;
  }
  if (request.method == "GET") {
    const WorkerState::Task* task = this->state.Find(TaskId(rest));
    Json::Value body = this->MakeReplyBase();
    body["id"] = rest;
    body["state"] = WorkerTaskStateName(WorkerTaskState::kUnknown);
    if (task != nullptr) {
      const Json::Value described = this->TaskToJson(*task);
      for (const std::string& name : described.getMemberNames()) {
        body[name] = described[name];
      }
    }
    respond(JsonReply(task == nullptr ? 404 : 200, body));
    return;
  }
  const std::size_t slash = rest.rfind('/');
  const TaskId id(rest.substr(0, slash));
  const std::string command =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  const Result<Json::Value> body = ParseJson(request.body);
  if (body.ok() && !this->MatchesIncarnation(body.value())) {
    respond(JsonReply(409, this->MakeReplyBase()));
    return;
  }
  bool found = false;
  if (command == "stop") {
    found = this->state.Stop(id, now);
  } else if (command == "checkpoint") {
    found = this->state.Checkpoint(id, now);
  } else if (command == "throttle") {
    found = this->state.Throttle(id, now);
  }
  respond(JsonReply(found ? 200 : 404, this->MakeReplyBase()));
}

void WorkerServer::ServeStart(const HttpRequest& request,
                              const TaskId& id,
                              const HttpResponder& respond) {
  const Result<Json::Value> parsed = ParseJson(request.body);
  if (!parsed.ok() || !parsed.value().isObject()) {
    respond(JsonReply(400, this->MakeReplyBase()));
    return;
  }
  const Json::Value& body = parsed.value();
  StartTask task;
  task.task = id;
  task.holder = body["holder"].asString();
  task.team = body["team"].asString();
  task.queue = body["queue"].asString();
  task.payload = body["payload"].asString();
  task.checkpoint = body["checkpoint"].asString();
  task.lease = Milliseconds(body["lease_ms"].asInt64());
  task.start_before = WorkerClock(body["start_before_ms"].asInt64());
  const StartReply started = this->state.Start(
      task, this->faults.fail_all, std::chrono::steady_clock::now());
  if (this->faults.DropNextAnswer()) {
    return;
  }
  Json::Value reply = this->MakeReplyBase();
  reply["reason"] = ReasonName(started.outcome);
  reply["state"] = WorkerTaskStateName(started.state);
  respond(JsonReply(HttpStatusOf(started.outcome), reply));
}

void WorkerServer::ServeLeases(const Json::Value& body,
                               const HttpResponder& respond) {
  const LeaseReply renewed =
      this->state.Renew(body["holder"].asString(), ParseTaskIds(body["tasks"]),
                        Milliseconds(body["lease_ms"].asInt64()),
                        WorkerClock(body["renew_before_ms"].asInt64()),
                        std::chrono::steady_clock::now());
  Json::Value reply = this->MakeReplyBase();
  reply["lost"] = Json::Value(Json::arrayValue);
  for (const TaskId& task : renewed.lost) {
    reply["lost"].append(task.str());
  }
  respond(JsonReply(200, reply));
}

void WorkerServer::ServeFinished(const Json::Value& body,
                                 const HttpResponder& respond) {
  for (const TaskId& task : ParseTaskIds(body["acknowledged"])) {
    this->state.Acknowledge(task);
  }
  const std::string holder = body["holder"].asString();
  if (!this->state.Finished(holder).empty()) {
    respond(JsonReply(200, this->FinishedBody(holder)));
    return;
  }
  this->polls.push_back(Poll{holder,
                             std::chrono::steady_clock::now() +
                                 Milliseconds(body["wait_ms"].asInt64()),
                             respond});
}

void WorkerServer::ServeStatus(const HttpResponder& respond) {
  Json::Value reply = this->MakeReplyBase();
  reply["slots"] = this->state.slots();
  reply["uncollected"] = this->state.CountUnacknowledged();
  reply["running"] = Json::Value(Json::arrayValue);
  for (const WorkerState::Task* task : this->state.Running()) {
    Json::Value item;
    item["id"] = task->id.str();
    item["holder"] = task->holder;
    reply["running"].append(item);
  }
  respond(JsonReply(200, reply));
}

void WorkerServer::Reboot() {
  this->is_rebooting = true;
  this->polls.clear();
  this->loop->After(this->options.reboot_time, [this]() {
    this->state.Reboot(this->NextIncarnation(),
                       std::chrono::steady_clock::now());
    this->is_rebooting = false;
    this->options.on_leaving_change(false);
  });
}

bool WorkerServer::MatchesIncarnation(const Json::Value& body) const {
  return !body.isObject() || !body["incarnation"].isString() ||
         body["incarnation"].asString() == this->state.incarnation();
}

Json::Value WorkerServer::MakeReplyBase() const {
  Json::Value body;
  body["worker_now_ms"] =
      Json::Int64(this->state.Clock(std::chrono::steady_clock::now()).count());
  body["incarnation"] = this->state.incarnation();
  body["leaving"] = this->state.leaving();
  return body;
}

Json::Value WorkerServer::TaskToJson(const WorkerState::Task& task) const {
  Json::Value body;
  body["id"] = task.id.str();
  body["state"] = WorkerTaskStateName(task.state);
  if (task.state == WorkerTaskState::kDone) {
    body["answer"] = task.answer;
    body["digest"] = Sha256Hex(task.answer);
  }
  if (task.state == WorkerTaskState::kCheckpointed) {
    body["checkpoint"] = std::to_string(task.earlier_progress.count());
  }
  if (task.state != WorkerTaskState::kRunning) {
    body["run_ms"] = Json::Int64(
        std::chrono::duration_cast<Milliseconds>(task.ended - task.resumed)
            .count());
  }
  return body;
}

Json::Value WorkerServer::FinishedBody(const std::string& holder) const {
  Json::Value body = this->MakeReplyBase();
  body["finished"] = Json::Value(Json::arrayValue);
  for (const WorkerState::Task* task : this->state.Finished(holder)) {
    body["finished"].append(this->TaskToJson(*task));
  }
  return body;
}

Json::Value WorkerServer::StartRecords() const {
  Json::Value list(Json::arrayValue);
  for (const WorkerState::StartRecord& record : this->state.starts()) {
    Json::Value item;
    item["task"] = record.task.str();
    item["team"] = record.team;
    item["echo"] = record.echo;
    item["worker"] = this->options.name;
    item["started_ms"] = Json::Int64(ToUnixMilliseconds(record.started));
    item["ended_ms"] = Json::Int64(ToUnixMilliseconds(record.ended));
    item["resumed"] = record.resumed;
    list.append(item);
  }
  return list;
}

std::string WorkerServer::NextIncarnation() {
  return this->options.name + "-" +
         std::to_string(ToUnixMilliseconds(std::chrono::system_clock::now())) +
         "-" + std::to_string(++this->boot_count);
}

}  // namespace daisyroad

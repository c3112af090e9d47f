#include "Core/Platform/http_worker_client.h"

#include <optional>
#include <utility>

#include "Core/Common/json.h"
#include "Core/Transport/http_client.h"

namespace daisyroad {
namespace {

WorkerTaskState ParseTaskState(const std::string& text) {
  if (text == "running") {
    return WorkerTaskState::kRunning;
  }
  if (text == "done") {
    return WorkerTaskState::kDone;
  }
  if (text == "failed") {
    return WorkerTaskState::kFailed;
  }
  if (text == "stopped") {
    return WorkerTaskState::kStopped;
  }
  if (text == "checkpointed") {
    return WorkerTaskState::kCheckpointed;
  }
  return WorkerTaskState::kUnknown;
}

WorkerClock ReadClock(const Json::Value& body) {
  return WorkerClock(body["worker_now_ms"].asInt64());
}

// Every response of a worker contains its clock and incarnation.
bool HasWorkerFields(const Json::Value& body) {
  return body.isObject() && body["worker_now_ms"].isInt64() &&
         body["incarnation"].isString();
}

std::optional<StartOutcome> ToStartOutcome(int status,
                                           const Json::Value& body) {
  switch (status) {
    case 201:
      return StartOutcome::kStarted;
    case 412:
      return StartOutcome::kDuplicate;
    case 409:
      return StartOutcome::kExpired;
    case 429:
      return StartOutcome::kFull;
    case 503:
      if (body["reason"].asString() == "leaving") {
        return StartOutcome::kLeaving;
      }
      return std::nullopt;
    default:
      return std::nullopt;
  }
}

TaskReport ReadReport(const Json::Value& item) {
  TaskReport report;
  report.task = TaskId(item["id"].asString());
  report.state = ParseTaskState(item["state"].asString());
  report.answer = item["answer"].asString();
  report.digest = item["digest"].asString();
  report.checkpoint = item["checkpoint"].asString();
  report.run_time = Milliseconds(item["run_ms"].asInt64());
  return report;
}

const char* CommandName(WorkerCommand command) {
  switch (command) {
    case WorkerCommand::kStop:
      return "stop";
    case WorkerCommand::kCheckpoint:
      return "checkpoint";
    case WorkerCommand::kThrottle:
      return "throttle";
    case WorkerCommand::kDrain:
      return "drain";
    case WorkerCommand::kReboot:
      return "reboot";
  }
  return "";
}

Json::Value ToJsonArray(const std::vector<TaskId>& tasks) {
  Json::Value list(Json::arrayValue);
  for (const TaskId& task : tasks) {
    list.append(task.str());
  }
  return list;
}

std::string MakeStartBody(const StartTask& task) {
  Json::Value body;
  body["holder"] = task.holder;
  body["team"] = task.team;
  body["queue"] = task.queue;
  body["payload"] = task.payload;
  body["checkpoint"] = task.checkpoint;
  body["lease_ms"] = Json::Int64(task.lease.count());
  body["start_before_ms"] = Json::Int64(task.start_before.count());
  return WriteJson(body);
}

WorkerStatus ReadStatus(const Json::Value& body) {
  WorkerStatus status;
  status.now = ReadClock(body);
  status.incarnation = body["incarnation"].asString();
  status.slots = body["slots"].asInt();
  status.leaving = body["leaving"].asBool();
  status.uncollected = body["uncollected"].asInt();
  for (const Json::Value& item : body["running"]) {
    status.running.emplace_back(item["id"].asString());
    status.holders[item["id"].asString()] = item["holder"].asString();
  }
  return status;
}

}  // namespace

HttpWorkerClient::HttpWorkerClient(HttpClient* http,
                                   std::string zone,
                                   Milliseconds timeout)
    : http(http), zone(std::move(zone)), timeout(timeout) {}

void HttpWorkerClient::Start(const std::string& address,
                             const StartTask& task,
                             Milliseconds start_timeout,
                             StartCallback callback) {
  this->SendRequest(
      "PUT", address, "/v1/tasks/" + task.task.str(), MakeStartBody(task),
      start_timeout, false, "worker.start",
      [callback = std::move(callback), address](const Result<Json::Value>& body,
                                                int status) {
        if (!body.ok()) {
          callback(body.error());
          return;
        }
        const std::optional<StartOutcome> outcome =
            ToStartOutcome(status, body.value());
        if (!outcome) {
          callback(Error{Errc::kProtocol, "worker.start", address,
                         "status " + std::to_string(status)});
          return;
        }
        StartReply reply;
        reply.outcome = *outcome;
        reply.state = ParseTaskState(body.value()["state"].asString());
        reply.now = ReadClock(body.value());
        reply.incarnation = body.value()["incarnation"].asString();
        callback(reply);
      });
}

void HttpWorkerClient::Report(const std::string& address,
                              const TaskId& task,
                              bool fresh_connection,
                              ReportCallback callback) {
  this->SendRequest(
      "GET", address, "/v1/tasks/" + task.str(), "", this->timeout,
      fresh_connection, "worker.report",
      [callback = std::move(callback), task, address](
          const Result<Json::Value>& body, int) {
        if (!body.ok()) {
          callback(body.error());
          return;
        }
        TaskReport report = ReadReport(body.value());
        if (report.task != task) {
          callback(Error{Errc::kProtocol, "worker.report", address,
                         "the response is for another task"});
          return;
        }
        report.now = ReadClock(body.value());
        report.incarnation = body.value()["incarnation"].asString();
        callback(report);
      });
}

void HttpWorkerClient::WaitFinished(const std::string& address,
                                    const std::string& holder,
                                    const std::vector<TaskId>& acknowledged,
                                    Milliseconds wait,
                                    FinishedCallback callback) {
  Json::Value request;
  request["holder"] = holder;
  request["acknowledged"] = ToJsonArray(acknowledged);
  request["wait_ms"] = Json::Int64(wait.count());
  this->SendRequest(
      "POST", address, "/v1/finished", WriteJson(request), wait + this->timeout,
      false, "worker.finished",
      [callback = std::move(callback)](const Result<Json::Value>& body, int) {
        if (!body.ok()) {
          callback(body.error());
          return;
        }
        std::vector<TaskReport> reports;
        for (const Json::Value& item : body.value()["finished"]) {
          reports.push_back(ReadReport(item));
          reports.back().now = ReadClock(body.value());
          reports.back().incarnation = body.value()["incarnation"].asString();
        }
        callback(std::move(reports));
      });
}

void HttpWorkerClient::RenewLeases(const std::string& address,
                                   const std::string& holder,
                                   const std::vector<TaskId>& tasks,
                                   Milliseconds lease,
                                   WorkerClock renew_before,
                                   LeaseCallback callback) {
  Json::Value request;
  request["holder"] = holder;
  request["tasks"] = ToJsonArray(tasks);
  request["lease_ms"] = Json::Int64(lease.count());
  request["renew_before_ms"] = Json::Int64(renew_before.count());
  this->SendRequest(
      "POST", address, "/v1/leases", WriteJson(request), this->timeout, false,
      "worker.leases",
      [callback = std::move(callback)](const Result<Json::Value>& body, int) {
        if (!body.ok()) {
          callback(body.error());
          return;
        }
        LeaseReply reply;
        reply.now = ReadClock(body.value());
        reply.incarnation = body.value()["incarnation"].asString();
        reply.leaving = body.value()["leaving"].asBool();
        for (const Json::Value& item : body.value()["lost"]) {
          reply.lost.emplace_back(item.asString());
        }
        callback(std::move(reply));
      });
}

void HttpWorkerClient::Status(const std::string& address,
                              bool fresh_connection,
                              StatusCallback callback) {
  this->SendRequest(
      "GET", address, "/v1/status", "", this->timeout, fresh_connection,
      "worker.status",
      [callback = std::move(callback)](const Result<Json::Value>& body, int) {
        if (!body.ok()) {
          callback(body.error());
          return;
        }
        callback(ReadStatus(body.value()));
      });
}

void HttpWorkerClient::Command(const std::string& address,
                               WorkerCommand command,
                               const TaskId& task,
                               const std::string& incarnation,
                               CommandCallback callback) {
  const std::string prefix =
      task.empty() ? "/v1/" : "/v1/tasks/" + task.str() + "/";
  const std::string step = std::string("worker.") + CommandName(command);
  Json::Value request(Json::objectValue);
  if (!incarnation.empty()) {
    request["incarnation"] = incarnation;
  }
  this->SendRequest("POST", address, prefix + CommandName(command),
                    WriteJson(request), this->timeout, false, step,
                    [callback = std::move(callback), address, step](
                        const Result<Json::Value>& body, int status) {
                      if (!body.ok()) {
                        callback(body.error());
                      } else if (status >= 300) {
                        const Errc code =
                            status == 409 ? Errc::kConflict : Errc::kNotFound;
                        callback(Error{code, step, address,
                                       "status " + std::to_string(status)});
                      } else {
                        callback(OkStatus());
                      }
                    });
}

void HttpWorkerClient::RetireConnections(const std::string& address) {
  this->http->RetireConnections(address);
}

void HttpWorkerClient::SendRequest(const std::string& method,
                                   const std::string& address,
                                   const std::string& path,
                                   const std::string& body,
                                   Milliseconds request_timeout,
                                   bool fresh_connection,
                                   const std::string& step,
                                   JsonCallback callback) {
  HttpClientRequest request;
  request.method = method;
  request.url = "http://" + address + path;
  request.headers["X-Zone"] = this->zone;
  request.headers["Content-Type"] = "application/json";
  if (method == "PUT") {
    request.headers["If-None-Match"] = "*";
  }
  request.body = body;
  request.timeout = request_timeout;
  request.fresh_connection = fresh_connection;
  request.traffic = "worker";
  this->http->Send(
      std::move(request), [callback = std::move(callback), step,
                           address](const Result<HttpResponse>& response) {
        if (!response.ok()) {
          Error error = response.error();
          error.step = step;
          error.peer = address;
          callback(error, 0);
          return;
        }
        Result<Json::Value> parsed = ParseJson(response.value().body);
        if (!parsed.ok() || !HasWorkerFields(parsed.value())) {
          callback(
              Error{Errc::kProtocol, step, address,
                    "the response lacks the worker's clock or incarnation"},
              0);
          return;
        }
        callback(std::move(parsed), response.value().status);
      });
}

}  // namespace daisyroad

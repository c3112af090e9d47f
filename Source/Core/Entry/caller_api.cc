#include "Core/Entry/caller_api.h"

#include <algorithm>
#include <utility>

#include "Core/Common/json.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Control/control_document.h"
#include "Core/Entry/control_service.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/problem.h"
#include "Core/Entry/task_service.h"

namespace daisyroad {
namespace {

constexpr char kTasksPath[] = "/v1/tasks";
constexpr std::chrono::seconds kMaxWait{300};
constexpr std::chrono::hours kMaxDeadline{24};
constexpr std::size_t kMaxKeyLength = 200;

Error Invalid(const std::string& detail) {
  return Error{Errc::kInvalidArgument, "task.submit", "", detail};
}

// Parses a number of seconds, for example from `Prefer: wait=5`. Returns zero
// if there is none.
Milliseconds ReadWait(const std::string& text) {
  const std::size_t start = text.find_first_of("0123456789");
  if (start == std::string::npos) {
    return Milliseconds(0);
  }
  const std::int64_t seconds = std::strtoll(text.c_str() + start, nullptr, 10);
  return std::min<Milliseconds>(std::chrono::seconds(seconds), kMaxWait);
}

Milliseconds PreferredWait(const HttpRequest& request) {
  const std::string prefer = request.Header("prefer");
  const std::size_t wait = prefer.find("wait=");
  return wait == std::string::npos ? Milliseconds(0)
                                   : ReadWait(prefer.substr(wait));
}

bool IsValidKey(const std::string& key) {
  return key.size() <= kMaxKeyLength &&
         std::all_of(key.begin(), key.end(),
                     [](char c) { return c > ' ' && c < 0x7f; });
}

Result<double> ReadAmount(const Json::Value& body,
                          const char* name,
                          double fallback) {
  if (!body.isMember(name)) {
    return fallback;
  }
  if (!body[name].isNumeric() || body[name].asDouble() < 0.0) {
    return Invalid(std::string("\"") + name + "\" must be a number >= 0");
  }
  return body[name].asDouble();
}

Status CheckMembers(const Json::Value& body) {
  static constexpr const char* kMembers[] = {
      "queue", "payload", "deadline_ms", "cores", "memory_gb", "accelerators"};
  for (const std::string& name : body.getMemberNames()) {
    if (std::find_if(std::begin(kMembers), std::end(kMembers),
                     [&name](const char* member) { return name == member; }) ==
        std::end(kMembers)) {
      return Invalid("unknown member \"" + name + "\"");
    }
  }
  return OkStatus();
}

Status ReadSize(const Json::Value& body, Resources* size) {
  const Result<double> cores = ReadAmount(body, "cores", 1.0);
  const Result<double> memory = ReadAmount(body, "memory_gb", 1.0);
  const Result<double> accelerators = ReadAmount(body, "accelerators", 0.0);
  for (const Result<double>* amount : {&cores, &memory, &accelerators}) {
    if (!amount->ok()) {
      return amount->error();
    }
  }
  *size = Resources{cores.value(), memory.value(), accelerators.value(), 1.0};
  return OkStatus();
}

}  // namespace

CallerApi::CallerApi(EntryContext* context,
                     ControlService* control,
                     TaskService* tasks)
    : context(context), control(control), tasks(tasks) {}

void CallerApi::Handle(const HttpRequest& request,
                       const HttpResponder& respond) {
  ++this->context->metrics->Counter("daisyroad_caller_requests_total",
                                    "method=\"" + request.method + "\"");
  if (request.path == kTasksPath) {
    if (request.method == "POST") {
      this->Submit(request, respond);
    } else {
      respond(PlainProblem(405, "method not allowed", "use POST"));
    }
    return;
  }
  const TaskId id(request.path.substr(sizeof(kTasksPath)));
  if (request.method == "GET") {
    this->Lookup(request, id, respond);
  } else if (request.method == "DELETE") {
    this->Cancel(request, id, respond);
  } else {
    respond(PlainProblem(405, "method not allowed", "use GET or DELETE"));
  }
}

void CallerApi::Submit(const HttpRequest& request,
                       const HttpResponder& respond) {
  const Result<TaskSubmission> submission = this->ReadSubmission(request);
  if (!submission.ok()) {
    ++this->context->metrics->Counter("daisyroad_refused_total");
    // An earlier request with the same idempotency key may have run.
    respond(request.Header("idempotency-key").empty()
                ? NotRunProblem(submission.error())
                : Problem(HttpStatusOf(submission.error()),
                          RunOutcome::kUnknown,
                          submission.error().code.message(),
                          submission.error().ToString()));
    return;
  }
  const TeamName team = submission.value().team;
  const AnswerKind kind = submission.value().idempotency_key.empty()
                              ? AnswerKind::kSubmission
                              : AnswerKind::kKeyedSubmission;
  this->tasks->Submit(
      submission.value(), PreferredWait(request),
      [this, team, kind, respond](const Result<Json::Value>& task) {
        this->Answer(team, task, kind, respond);
      });
}

void CallerApi::Lookup(const HttpRequest& request,
                       const TaskId& id,
                       const HttpResponder& respond) {
  const Result<TeamName> team = this->Authenticate(request);
  if (!team.ok()) {
    respond(PlainProblem(HttpStatusOf(team.error()), "unauthorized",
                         team.error().ToString()));
    return;
  }
  this->tasks->Lookup(
      id, ReadWait(request.Query("wait")),
      [this, team = team.value(), respond](const Result<Json::Value>& task) {
        this->Answer(team, task, AnswerKind::kLookup, respond);
      });
}

void CallerApi::Cancel(const HttpRequest& request,
                       const TaskId& id,
                       const HttpResponder& respond) {
  const Result<TeamName> team = this->Authenticate(request);
  if (!team.ok()) {
    respond(PlainProblem(HttpStatusOf(team.error()), "unauthorized",
                         team.error().ToString()));
    return;
  }
  // The task is looked up first, so that only its own team can cancel it.
  this->tasks->Lookup(
      id, Milliseconds(0),
      [this, id, team = team.value(),
       respond](const Result<Json::Value>& found) {
        if (!found.ok() || found.value()["team"].asString() != team.str()) {
          this->Answer(team, found, AnswerKind::kLookup, respond);
          return;
        }
        this->tasks->Cancel(
            id, [this, team, respond](const Result<Json::Value>& task) {
              this->Answer(team, task, AnswerKind::kLookup, respond);
            });
      });
}

Result<TaskSubmission> CallerApi::ReadSubmission(
    const HttpRequest& request) const {
  const Result<TeamName> team = this->Authenticate(request);
  if (!team.ok()) {
    return team.error();
  }
  const Result<Json::Value> body = ParseJson(request.body);
  if (!body.ok()) {
    return body.error();
  }
  const Result<std::string> queue_name = JsonString(body.value(), "queue");
  const Result<std::string> payload = JsonString(body.value(), "payload");
  if (!queue_name.ok() || !payload.ok()) {
    return queue_name.ok() ? payload.error() : queue_name.error();
  }
  const Status members = CheckMembers(body.value());
  if (!members.ok()) {
    return members.error();
  }
  TaskSubmission submission;
  submission.team = team.value();
  submission.queue = QueueName(queue_name.value());
  submission.payload = payload.value();
  submission.idempotency_key = request.Header("idempotency-key");
  if (!IsValidKey(submission.idempotency_key)) {
    return Invalid("Idempotency-Key must be at most 200 printable characters");
  }
  const Status size = ReadSize(body.value(), &submission.size);
  if (!size.ok()) {
    return size.error();
  }
  const TaskQueue* queue =
      this->control->declaration().FindQueue(submission.queue);
  if (queue == nullptr) {
    return Invalid("unknown queue \"" + submission.queue.str() + "\"");
  }
  submission.deadline = queue->default_deadline;
  if (body.value().isMember("deadline_ms")) {
    const Result<std::int64_t> deadline = JsonInt(body.value(), "deadline_ms");
    if (!deadline.ok() || deadline.value() <= 0 ||
        Milliseconds(deadline.value()) > kMaxDeadline) {
      return Invalid("\"deadline_ms\" must be from 1 to 86400000");
    }
    submission.deadline = Milliseconds(deadline.value());
  }
  const Status allowed = this->CheckAllowed(submission, *queue);
  if (!allowed.ok()) {
    return allowed.error();
  }
  return submission;
}

Result<TeamName> CallerApi::Authenticate(const HttpRequest& request) const {
  static constexpr char kBearer[] = "Bearer ";
  const std::string header = request.Header("authorization");
  if (header.empty()) {
    return TeamName();
  }
  if (header.rfind(kBearer, 0) != 0) {
    return Error{Errc::kUnauthorized, "caller.authenticate", "",
                 "the Authorization header must be \"Bearer KEY\""};
  }
  const Result<KeyHolder> holder =
      this->control->document().keys().Authenticate(
          header.substr(sizeof(kBearer) - 1));
  if (!holder.ok()) {
    return holder.error();
  }
  const TeamKey* const team = std::get_if<TeamKey>(&holder.value());
  if (team == nullptr) {
    return Error{Errc::kForbidden, "caller.authenticate", "",
                 "an operator key cannot access tasks"};
  }
  return team->team;
}

Status CallerApi::CheckAllowed(const TaskSubmission& submission,
                               const TaskQueue& queue) const {
  if (static_cast<std::int64_t>(submission.payload.size()) >
      queue.max_payload_bytes) {
    return Invalid("payload is larger than " +
                   std::to_string(queue.max_payload_bytes) + " bytes");
  }
  if (queue.open_to_all) {
    return OkStatus();
  }
  if (submission.team.empty()) {
    return Error{Errc::kUnauthorized, "caller.authenticate", "",
                 "queue \"" + queue.name.str() + "\" requires a team key"};
  }
  const Team* const team =
      this->control->declaration().FindTeam(submission.team);
  if (team == nullptr || std::find(team->queues.begin(), team->queues.end(),
                                   queue.name) == team->queues.end()) {
    return Error{Errc::kForbidden, "caller.authorize", "",
                 "team \"" + submission.team.str() + "\" may not use queue \"" +
                     queue.name.str() + "\""};
  }
  return OkStatus();
}

void CallerApi::Answer(const TeamName& team,
                       const Result<Json::Value>& task,
                       AnswerKind kind,
                       const HttpResponder& respond) const {
  const bool is_submission = kind != AnswerKind::kLookup;
  if (!task.ok()) {
    const Error& error = task.error();
    // Only the registrar of a key knows whether its task has run.
    if (kind == AnswerKind::kKeyedSubmission &&
        !TaskService::IsFromRegistrar(error)) {
      respond(Problem(503, RunOutcome::kUnknown, "outcome not known",
                      error.ToString()));
    } else if (is_submission) {
      respond(NotRunProblem(error));
    } else {
      respond(PlainProblem(HttpStatusOf(error), error.code.message(),
                           error.ToString()));
    }
    return;
  }
  const Json::Value& value = task.value();
  if (value["team"].asString() != team.str()) {
    respond(PlainProblem(404, "not found", "no such task"));
    return;
  }
  const std::string state = value["state"].asString();
  HttpResponse response;
  response.headers["content-type"] = "application/json";
  response.headers["location"] = "/v1/tasks/" + value["id"].asString();
  response.status = 200;
  if (is_submission &&
      (state == "queued" || state == "starting" || state == "running")) {
    response.status = 202;
  } else if (is_submission && state == "failed") {
    respond(Problem(500, RunOutcome::kRan, "the task failed",
                    value["id"].asString()));
    return;
  } else if (is_submission && state == "stopped" &&
             value["outcome"].asString() == "not_run") {
    respond(Problem(429, RunOutcome::kNotRun, "not run",
                    value["reason"].asString()));
    return;
  } else if (is_submission && state != "done") {
    respond(Problem(503, RunOutcome::kUnknown, "outcome not known",
                    value["reason"].asString()));
    return;
  }
  response.body = WriteJson(value);
  respond(response);
}

}  // namespace daisyroad

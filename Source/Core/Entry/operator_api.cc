#include "Core/Entry/operator_api.h"

#include <algorithm>
#include <utility>

#include "Core/Common/json.h"
#include "Core/Control/control_document.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/explain_service.h"
#include "Core/Entry/fleet_api.h"
#include "Core/Entry/problem.h"
#include "Core/Entry/task_service.h"
#include "Core/Keys/key_hasher.h"
#include "Core/Keys/key_secret.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr char kPrefix[] = "/v1/ops/";
constexpr std::chrono::seconds kMaxTailWait{60};
constexpr Milliseconds kTailPollInterval{100};
std::uint64_t ReadNumber(const std::string& text, std::uint64_t fallback) {
  if (text.empty() ||
      !std::all_of(text.begin(), text.end(),
                   [](char c) { return c >= '0' && c <= '9'; }) ||
      text.size() > 18) {
    return fallback;
  }
  return std::stoull(text);
}

std::string BearerOf(const HttpRequest& request) {
  static constexpr char kBearer[] = "Bearer ";
  const std::string header = request.Header("authorization");
  return header.rfind(kBearer, 0) == 0 ? header.substr(sizeof(kBearer) - 1)
                                       : std::string();
}

Json::Value ToJson(const KeyRecord& record) {
  Json::Value value;
  value["id"] = record.id.str();
  const TeamKey* const team = std::get_if<TeamKey>(&record.holder);
  value["operator"] = team == nullptr;
  value["holder"] = team == nullptr ? std::get<OperatorKey>(record.holder).name
                                    : team->team.str();
  value["withdrawn"] = record.withdrawn;
  return value;
}

}  // namespace

OperatorApi::OperatorApi(EntryContext* context,
                         Services services,
                         std::optional<KeyRecord> bootstrap_key)
    : context(context),
      services(services),
      bootstrap(std::move(bootstrap_key)) {}

void OperatorApi::Handle(const HttpRequest& request,
                         const HttpResponder& respond) {
  static const std::map<std::string, Handler> kHandlers = {
      {"status", &OperatorApi::Status},
      {"declaration", &OperatorApi::Declaration},
      {"history", &OperatorApi::History},
      {"rollback", &OperatorApi::Rollback},
      {"keys", &OperatorApi::Keys},
      {"zones", &OperatorApi::Zones},
      {"tasks", &OperatorApi::Task},
      {"explain", &OperatorApi::Explain},
      {"tail", &OperatorApi::Tail},
  };
  const Result<std::string> author = this->Authenticate(request);
  if (!author.ok()) {
    respond(ErrorResponse(author.error()));
    return;
  }
  const std::string path = request.path.substr(sizeof(kPrefix) - 1);
  if (this->services.fleet->Handle(request, path, author.value(), respond)) {
    return;
  }
  const std::size_t slash = path.find('/');
  const auto handler = kHandlers.find(path.substr(0, slash));
  if (handler == kHandlers.end()) {
    respond(PlainProblem(404, "not found", "no call " + request.path));
    return;
  }
  const std::string rest =
      slash == std::string::npos ? std::string() : path.substr(slash + 1);
  (this->*handler->second)(request, rest, respond);
}

Result<std::string> OperatorApi::Authenticate(
    const HttpRequest& request) const {
  const std::string secret = BearerOf(request);
  const KeyTable& keys = this->services.control->document().keys();
  const Result<KeyHolder> holder = keys.Authenticate(secret);
  if (holder.ok()) {
    const OperatorKey* const key = std::get_if<OperatorKey>(&holder.value());
    if (key == nullptr) {
      return Error{Errc::kForbidden, "operator.authenticate", "",
                   "a team key does not authorize operator calls"};
    }
    return key->name;
  }
  const bool has_operator = std::any_of(
      keys.records().begin(), keys.records().end(),
      [](const std::pair<const KeyId, KeyRecord>& entry) {
        return std::holds_alternative<OperatorKey>(entry.second.holder) &&
               !entry.second.withdrawn;
      });
  if (this->bootstrap && !has_operator &&
      KeyHasher::Matches(secret, this->bootstrap->hash)) {
    return std::string("bootstrap");
  }
  return holder.error();
}

void OperatorApi::SubmitChange(const HttpRequest& request,
                               const ControlChange& change,
                               std::uint64_t base_version,
                               const Json::Value& extra_fields,
                               const HttpResponder& respond) {
  const Result<std::string> author = this->Authenticate(request);
  this->services.control->Submit(
      change, base_version, author.ok() ? author.value() : "",
      [this, extra_fields,
       respond](const Result<ControlService::ChangeOutcome>& result) {
        if (!result.ok()) {
          const bool unknown = result.error().code == Errc::kTimeout;
          respond(unknown
                      ? Problem(503, RunOutcome::kUnknown, "outcome not known",
                                result.error().ToString())
                      : ErrorResponse(result.error()));
          return;
        }
        const ControlService::ChangeOutcome& outcome = result.value();
        if (outcome.conflict) {
          HttpResponse response = PlainProblem(
              409, "conflict",
              "another change won: version " + std::to_string(outcome.version) +
                  ", change " + outcome.winning_change);
          Json::Value problem = ParseJson(response.body).value();
          problem["version"] = Json::UInt64(outcome.version);
          problem["change"] = outcome.winning_change;
          response.body = WriteJson(problem);
          respond(response);
          return;
        }
        Json::Value body = extra_fields;
        body["version"] = Json::UInt64(outcome.version);
        body["accepted"] = outcome.accepted;
        body["in_force"] = Json::Value(Json::arrayValue);
        body["pending"] = Json::Value(Json::arrayValue);
        std::set<ZoneName> zones;
        for (const std::pair<const EntryName, RosterMember>& member :
             this->services.control->document().roster().members) {
          zones.insert(member.second.zone);
        }
        for (const ZoneName& zone : zones) {
          body[outcome.in_force.count(zone) != 0 ? "in_force" : "pending"]
              .append(zone.str());
        }
        respond(JsonResponse(body));
      });
}

void OperatorApi::Keys(const HttpRequest& request,
                       const std::string& rest,
                       const HttpResponder& respond) {
  const ControlDocument& document = this->services.control->document();
  if (request.method == "GET") {
    Json::Value list(Json::arrayValue);
    for (const std::pair<const KeyId, KeyRecord>& entry :
         document.keys().records()) {
      list.append(ToJson(entry.second));
    }
    respond(JsonResponse(list));
  } else if (request.method == "POST") {
    this->IssueKey(request, respond);
  } else if (request.method == "DELETE") {
    this->SubmitChange(request, WithdrawKey{KeyId(rest)}, document.version(),
                       Json::Value(Json::objectValue), respond);
  } else {
    respond(MethodProblem());
  }
}

void OperatorApi::IssueKey(const HttpRequest& request,
                           const HttpResponder& respond) {
  const Result<Json::Value> body = ParseJson(request.body);
  const bool for_team =
      body.ok() && body.value().isObject() && body.value()["team"].isString();
  const bool for_operator = body.ok() && body.value().isObject() &&
                            body.value()["operator"].isString();
  if (for_team == for_operator) {
    respond(PlainProblem(400, "invalid argument",
                         "exactly one of \"team\" and \"operator\" is needed"));
    return;
  }
  const TeamName team(body.value()["team"].asString());
  if (for_team &&
      this->services.control->declaration().FindTeam(team) == nullptr) {
    respond(PlainProblem(404, "not found", "no team \"" + team.str() + "\""));
    return;
  }
  const Result<NewKey> key = GenerateKey();
  if (!key.ok()) {
    respond(ErrorResponse(key.error()));
    return;
  }
  KeyRecord record;
  record.id = key.value().id;
  record.hash = key.value().hash;
  if (for_team) {
    record.holder = TeamKey{team};
  } else {
    record.holder = OperatorKey{body.value()["operator"].asString()};
  }
  Json::Value extra_fields;
  extra_fields["id"] = record.id.str();
  extra_fields["secret"] = key.value().text;
  this->SubmitChange(request, daisyroad::GiveKey{record},
                     this->services.control->document().version(), extra_fields,
                     respond);
}

void OperatorApi::Zones(const HttpRequest& request,
                        const std::string& rest,
                        const HttpResponder& respond) {
  const std::size_t slash = rest.find('/');
  const ZoneName zone(rest.substr(0, slash));
  const std::string verb =
      slash == std::string::npos ? std::string() : rest.substr(slash + 1);
  if (request.method != "POST" || (verb != "out" && verb != "in")) {
    respond(MethodProblem());
    return;
  }
  const std::vector<Zone>& zones = this->services.control->declaration().zones;
  if (std::none_of(zones.begin(), zones.end(),
                   [&zone](const Zone& item) { return item.name == zone; })) {
    respond(PlainProblem(404, "not found", "no zone \"" + zone.str() + "\""));
    return;
  }
  const ControlChange change = verb == "out" ? ControlChange(TakeZoneOut{zone})
                                             : ControlChange(TakeZoneIn{zone});
  this->SubmitChange(request, change,
                     this->services.control->document().version(),
                     Json::Value(Json::objectValue), respond);
}

void OperatorApi::Task(const HttpRequest&,
                       const std::string& rest,
                       const HttpResponder& respond) {
  this->services.tasks->Lookup(
      TaskId(rest), Milliseconds(0),
      [this, rest, respond](const Result<Json::Value>& task) {
        if (!task.ok()) {
          respond(ErrorResponse(task.error()));
          return;
        }
        Json::Value body = task.value();
        body["decisions"] = Json::Value(Json::arrayValue);
        for (const DecisionLog::Line& line :
             this->context->decisions->Containing(rest)) {
          body["decisions"].append(line.text);
        }
        respond(JsonResponse(body));
      });
}

void OperatorApi::Explain(const HttpRequest& request,
                          const std::string&,
                          const HttpResponder& respond) {
  this->services.explain->Handle(request, respond);
}

void OperatorApi::Tail(const HttpRequest& request,
                       const std::string&,
                       const HttpResponder& respond) {
  const std::chrono::seconds wait(std::min<std::uint64_t>(
      ReadNumber(request.Query("wait"), 0),
      static_cast<std::uint64_t>(kMaxTailWait.count())));
  this->PollTail(ReadNumber(request.Query("after"), 0), Now() + wait, respond);
}

void OperatorApi::PollTail(std::uint64_t after,
                           MonotonicTime until,
                           const HttpResponder& respond) {
  const std::vector<DecisionLog::Line> lines =
      this->context->decisions->After(after);
  if (lines.empty() && Now() < until) {
    this->context->loop->After(kTailPollInterval,
                               [this, after, until, respond]() {
                                 this->PollTail(after, until, respond);
                               });
    return;
  }
  Json::Value body;
  body["next"] = Json::UInt64(lines.empty() ? after : lines.back().seq);
  body["lines"] = Json::Value(Json::arrayValue);
  for (const DecisionLog::Line& line : lines) {
    body["lines"].append(line.text);
  }
  respond(JsonResponse(body));
}

}  // namespace daisyroad

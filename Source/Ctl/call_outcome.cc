#include "Ctl/call_outcome.h"

#include "Core/Common/json.h"
#include "Ctl/response_text.h"
#include "Ctl/server_client.h"

namespace daisyroad {
namespace {

CallOutcome FromError(const Error& error, bool write) {
  CallOutcome outcome;
  if (error.code == Errc::kUnavailable) {
    outcome.code = ExitCode::kUnreachable;
    outcome.message = "no server could be reached: " + error.detail;
  } else if (write) {
    outcome.code = ExitCode::kOutcomeUnknown;
    outcome.message = "no response, the request may have been carried out: " +
                      error.ToString();
  } else {
    outcome.code = ExitCode::kUnreachable;
    outcome.message = "no response: " + error.ToString();
  }
  return outcome;
}

ExitCode ExitCodeFor(int status, const Json::Value& body) {
  if (status >= 200 && status < 300) {
    return ExitCode::kOk;
  }
  if (status == 409) {
    return ExitCode::kConflict;
  }
  return ValueText(body["outcome"]) == "unknown" ? ExitCode::kOutcomeUnknown
                                                 : ExitCode::kFailed;
}

std::string ProblemText(int status, const Json::Value& body) {
  std::string text = std::to_string(status);
  for (const char* member : {"title", "detail"}) {
    if (!ValueText(body[member]).empty()) {
      text += (text.size() == 3 ? " " : ": ") + ValueText(body[member]);
    }
  }
  if (!ValueText(body["outcome"]).empty()) {
    text += " (outcome: " + ValueText(body["outcome"]) + ")";
  }
  return text;
}

CallOutcome FromResponse(const HttpResponse& response, bool write) {
  CallOutcome outcome;
  outcome.text = response.body;
  const Result<Json::Value> body = ParseJson(response.body);
  const bool has_json_body =
      body.ok() && (body.value().isObject() || body.value().isArray());
  if (has_json_body) {
    outcome.body = body.value();
  }
  const Json::Value members =
      outcome.body.isObject() ? outcome.body : Json::Value(Json::objectValue);
  outcome.code = ExitCodeFor(response.status, members);
  if (outcome.ok() && !has_json_body) {
    outcome.code = write ? ExitCode::kOutcomeUnknown : ExitCode::kFailed;
    outcome.message = "the response is not JSON; is this a daisyroad server?";
  } else if (!outcome.ok()) {
    outcome.message = ProblemText(response.status, members);
  }
  return outcome;
}

}  // namespace

CallOutcome SendCall(const CommandContext& context, const ServerCall& call) {
  const bool write = call.method != "GET";
  const Result<HttpResponse> response = context.client->Send(call);
  return response.ok() ? FromResponse(response.value(), write)
                       : FromError(response.error(), write);
}

CallOutcome Read(const CommandContext& context, const std::string& path) {
  ServerCall call;
  call.path = path;
  return SendCall(context, call);
}

CallOutcome Write(const CommandContext& context,
                  const std::string& method,
                  const std::string& path,
                  const Json::Value& body) {
  ServerCall call;
  call.method = method;
  call.path = path;
  call.body = body.isNull() ? "" : WriteJson(body);
  return SendCall(context, call);
}

ExitCode PrintOutcome(const CommandContext& context,
                      const CallOutcome& outcome,
                      const TextRenderer& render) {
  if (context.invocation.options.json && !outcome.body.isNull()) {
    context.out << WriteJson(outcome.body) << "\n";
  } else if (outcome.ok()) {
    context.out << render(outcome.body);
  }
  if (!outcome.ok()) {
    context.err << "daisyroadctl: " << outcome.message << "\n";
  }
  return outcome.code;
}

}  // namespace daisyroad

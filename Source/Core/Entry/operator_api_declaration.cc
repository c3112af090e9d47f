// Operator API handlers for the declaration and its history.

#include "Core/Entry/operator_api.h"

#include <algorithm>

#include "Core/Common/json.h"
#include "Core/Control/control_document.h"
#include "Core/Declaration/diff_declarations.h"
#include "Core/Declaration/parse_declaration.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/problem.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr std::size_t kDefaultHistory = 20;
// Nine instances that join one after another create nine versions, each of
// which can cause a conflict.
constexpr int kDeclarationRetries = 10;
constexpr Milliseconds kDeclarationRetryDelay{100};

std::uint64_t ReadNumber(const std::string& text, std::uint64_t fallback) {
  if (text.empty() ||
      !std::all_of(text.begin(), text.end(),
                   [](char c) { return c >= '0' && c <= '9'; }) ||
      text.size() > 18) {
    return fallback;
  }
  return std::stoull(text);
}

Json::Value SplitLines(const std::string& text) {
  Json::Value lines(Json::arrayValue);
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find('\n', start), text.size());
    lines.append(text.substr(start, end - start));
    start = end + 1;
  }
  return lines;
}

std::uint64_t BaseVersion(const Json::Value& body, std::uint64_t fallback) {
  return body["base_version"].isUInt64() ? body["base_version"].asUInt64()
                                         : fallback;
}

}  // namespace

void OperatorApi::Declaration(const HttpRequest& request,
                              const std::string& rest,
                              const HttpResponder& respond) {
  if (rest == "validate") {
    this->Validate(request, rest, respond);
    return;
  }
  ControlService* const control = this->services.control;
  if (request.method == "GET") {
    const std::uint64_t current = control->document().version();
    const std::uint64_t version = ReadNumber(request.Query("version"), current);
    const std::function<void(const Result<std::string>&)> answer =
        [respond, version](const Result<std::string>& text) {
          if (!text.ok()) {
            respond(ErrorResponse(text.error()));
            return;
          }
          Json::Value body;
          body["version"] = Json::UInt64(version);
          body["text"] = text.value();
          respond(JsonResponse(body));
        };
    if (version == current) {
      answer(control->document().declaration());
    } else {
      control->FetchDeclaration(version, answer);
    }
    return;
  }
  const Result<Json::Value> body = ParseJson(request.body);
  const Result<std::string> text = body.ok()
                                       ? JsonString(body.value(), "text")
                                       : Result<std::string>(body.error());
  if (request.method != "POST" || !text.ok()) {
    respond(request.method != "POST" ? MethodProblem()
                                     : ErrorResponse(text.error()));
    return;
  }
  const std::string file = body.value()["file"].isString()
                               ? body.value()["file"].asString()
                               : "declaration.toml";
  const auto parsed = ParseDeclaration(text.value(), file);
  if (!parsed.ok()) {
    respond(PlainProblem(400, "the declaration is not valid",
                         parsed.error().detail));
    return;
  }
  this->ApplyDeclarationText(
      request, text.value(),
      BaseVersion(body.value(), control->document().version()), respond);
}

void OperatorApi::ApplyDeclarationText(const HttpRequest& request,
                                       const std::string& text,
                                       std::uint64_t base,
                                       const HttpResponder& respond) {
  ControlService* const control = this->services.control;
  if (base == control->document().version()) {
    this->SubmitDeclaration(request, text, base, kDeclarationRetries, respond);
    return;
  }
  control->FetchDeclaration(base, [this, control, request, text, base, respond](
                                      const Result<std::string>& reviewed) {
    const ControlDocument& document = control->document();
    const bool is_unchanged =
        reviewed.ok() && reviewed.value() == document.declaration();
    this->SubmitDeclaration(request, text,
                            is_unchanged ? document.version() : base,
                            is_unchanged ? kDeclarationRetries : 0, respond);
  });
}

void OperatorApi::SubmitDeclaration(const HttpRequest& request,
                                    const std::string& text,
                                    std::uint64_t base,
                                    int retries,
                                    const HttpResponder& respond) {
  ControlService* const control = this->services.control;
  const std::string in_force = control->document().declaration();
  this->SubmitChange(
      request, ApplyDeclaration{text}, base, Json::Value(Json::objectValue),
      [this, control, request, text, retries, in_force,
       respond](const HttpResponse& response) {
        if (response.status != 409 || retries == 0) {
          respond(response);
          return;
        }
        this->context->loop->After(
            kDeclarationRetryDelay, [this, control, request, text, retries,
                                     in_force, respond, response]() {
              const ControlDocument& document = control->document();
              if (document.declaration() != in_force) {
                respond(response);
                return;
              }
              this->SubmitDeclaration(request, text, document.version(),
                                      retries - 1, respond);
            });
      });
}

void OperatorApi::Validate(const HttpRequest& request,
                           const std::string&,
                           const HttpResponder& respond) {
  const Result<Json::Value> body = ParseJson(request.body);
  const Result<std::string> text = body.ok()
                                       ? JsonString(body.value(), "text")
                                       : Result<std::string>(body.error());
  if (!text.ok()) {
    respond(ErrorResponse(text.error()));
    return;
  }
  const std::string file = body.value()["file"].isString()
                               ? body.value()["file"].asString()
                               : "declaration.toml";
  const auto parsed = ParseDeclaration(text.value(), file);
  Json::Value answer;
  answer["base_version"] =
      Json::UInt64(this->services.control->document().version());
  answer["valid"] = parsed.ok();
  answer["errors"] = parsed.ok() ? Json::Value(Json::arrayValue)
                                 : SplitLines(parsed.error().detail);
  if (parsed.ok()) {
    const std::vector<DeclarationChange> changes =
        DiffDeclarations(this->services.control->declaration(), parsed.value());
    answer["changes"] = DiffJson(changes);
    answer["text"] = DiffText(changes);
    answer["summary"] = DiffSummary(changes);
  }
  respond(JsonResponse(answer));
}

void OperatorApi::History(const HttpRequest& request,
                          const std::string&,
                          const HttpResponder& respond) {
  this->services.control->FetchHistory(
      ReadNumber(request.Query("limit"), kDefaultHistory),
      [respond](const Result<Json::Value>& list) {
        respond(list.ok() ? JsonResponse(list.value())
                          : ErrorResponse(list.error()));
      });
}

void OperatorApi::Rollback(const HttpRequest& request,
                           const std::string&,
                           const HttpResponder& respond) {
  const Result<Json::Value> body = ParseJson(request.body);
  const Result<std::int64_t> version = body.ok()
                                           ? JsonInt(body.value(), "version")
                                           : Result<std::int64_t>(body.error());
  if (request.method != "POST" || !version.ok()) {
    respond(request.method != "POST" ? MethodProblem()
                                     : ErrorResponse(version.error()));
    return;
  }
  const std::uint64_t base =
      BaseVersion(body.value(), this->services.control->document().version());
  this->services.control->FetchDeclaration(
      static_cast<std::uint64_t>(version.value()),
      [this, request, base, respond](const Result<std::string>& text) {
        if (!text.ok()) {
          respond(ErrorResponse(text.error()));
          return;
        }
        this->ApplyDeclarationText(request, text.value(), base, respond);
      });
}

}  // namespace daisyroad

#include "Core/Entry/problem.h"

#include <json/value.h>

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

HttpResponse ToResponse(int status, const Json::Value& body) {
  HttpResponse response;
  response.status = status;
  response.headers["content-type"] = "application/problem+json";
  if (status == 429 || status == 503) {
    response.headers["retry-after"] = "1";
  }
  if (status == 401) {
    response.headers["www-authenticate"] = "Bearer";
  }
  response.body = WriteJson(body);
  return response;
}

Json::Value Body(int status,
                 const std::string& title,
                 const std::string& detail) {
  Json::Value body;
  body["type"] = "about:blank";
  body["title"] = title;
  body["status"] = status;
  body["detail"] = detail;
  return body;
}

}  // namespace

const char* RunOutcomeName(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kNotRun:
      return "not_run";
    case RunOutcome::kUnknown:
      return "unknown";
    case RunOutcome::kRan:
      return "ran";
  }
  return "unknown";
}

HttpResponse Problem(int status,
                     RunOutcome outcome,
                     const std::string& title,
                     const std::string& detail) {
  Json::Value body = Body(status, title, detail);
  body["outcome"] = RunOutcomeName(outcome);
  return ToResponse(status, body);
}

HttpResponse NotRunProblem(const Error& error) {
  return Problem(HttpStatusOf(error), RunOutcome::kNotRun, error.code.message(),
                 error.ToString());
}

HttpResponse PlainProblem(int status,
                          const std::string& title,
                          const std::string& detail) {
  return ToResponse(status, Body(status, title, detail));
}

int HttpStatusOf(const Error& error) {
  if (error.code.category() != DaisyroadCategory()) {
    return 500;
  }
  switch (static_cast<Errc>(error.code.value())) {
    case Errc::kNotFound:
      return 404;
    case Errc::kConflict:
      return 409;
    case Errc::kInvalidArgument:
      return 400;
    case Errc::kUnauthorized:
      return 401;
    case Errc::kForbidden:
      return 403;
    case Errc::kResourceExhausted:
    case Errc::kTimeout:
      return 429;
    case Errc::kUnavailable:
      return 503;
    case Errc::kCancelled:
    case Errc::kProtocol:
    case Errc::kInternal:
      return 500;
  }
  return 500;
}

HttpResponse JsonResponse(const Json::Value& body) {
  HttpResponse response;
  response.headers["content-type"] = "application/json";
  response.body = WriteJson(body);
  return response;
}

HttpResponse ErrorResponse(const Error& error) {
  return PlainProblem(HttpStatusOf(error), error.code.message(),
                      error.ToString());
}

HttpResponse MethodProblem() {
  return PlainProblem(405, "method not allowed", "see docs/api.md");
}

}  // namespace daisyroad

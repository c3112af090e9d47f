#ifndef SOURCE_CORE_ENTRY_PROBLEM_H_
#define SOURCE_CORE_ENTRY_PROBLEM_H_

#include <json/value.h>

#include <string>

#include "Core/Common/error.h"
#include "Core/Transport/http_message.h"

namespace daisyroad {

// Whether the task of a request has run, as far as this instance knows.
enum class RunOutcome { kNotRun, kUnknown, kRan };

const char* RunOutcomeName(RunOutcome outcome);

// Returns an application/problem+json response, with Retry-After for 429 and
// 503.
HttpResponse Problem(int status,
                     RunOutcome outcome,
                     const std::string& title,
                     const std::string& detail);

// Returns a problem for a request that has not run, with the HTTP status of the
// error code.
HttpResponse NotRunProblem(const Error& error);

// Returns a problem without an outcome, for calls that do not concern a task.
HttpResponse PlainProblem(int status,
                          const std::string& title,
                          const std::string& detail);

int HttpStatusOf(const Error& error);

// Returns a 200 response with a JSON body.
HttpResponse JsonResponse(const Json::Value& body);
// Returns a plain problem with the HTTP status of the error code.
HttpResponse ErrorResponse(const Error& error);
HttpResponse MethodProblem();

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_PROBLEM_H_

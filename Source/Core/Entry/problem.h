#ifndef SOURCE_CORE_ENTRY_PROBLEM_H_
#define SOURCE_CORE_ENTRY_PROBLEM_H_

#include <json/value.h>

#include <string>

#include "Core/Common/error.h"
#include "Core/Transport/http_message.h"

namespace daisyroad {

// Whether a request has run, as far as this instance knows.
enum class RunOutcome { kNotRun, kUnknown, kRan };

const char* RunOutcomeName(RunOutcome outcome);

// application/problem+json with Retry-After on 429 and 503.
HttpResponse Problem(int status,
                     RunOutcome outcome,
                     const std::string& title,
                     const std::string& detail);

// Problem of a request that has not run, with the status of the error code.
HttpResponse NotRunProblem(const Error& error);

// Problem of a call that is not about a task.
HttpResponse PlainProblem(int status,
                          const std::string& title,
                          const std::string& detail);

int HttpStatusOf(const Error& error);

// 200 with a JSON body.
HttpResponse JsonResponse(const Json::Value& body);
// Plain problem with the status of the error code.
HttpResponse ErrorResponse(const Error& error);
HttpResponse MethodProblem();

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_PROBLEM_H_

#ifndef SOURCE_CTL_CALL_OUTCOME_H_
#define SOURCE_CTL_CALL_OUTCOME_H_

#include <json/value.h>

#include <functional>
#include <string>

#include "Core/Common/result.h"
#include "Core/Transport/http_message.h"
#include "Ctl/command_context.h"
#include "Ctl/exit_code.h"
#include "Ctl/server_call.h"

namespace daisyroad {

// Result of a call to a server.
struct CallOutcome {
  ExitCode code = ExitCode::kOk;
  Json::Value body;     // of the response; null if there is none
  std::string text;     // body as received
  std::string message;  // error message; empty if `code` is kOk

  bool ok() const { return this->code == ExitCode::kOk; }
  // Whether a write may or may not have been carried out.
  bool is_outcome_unknown() const {
    return this->code == ExitCode::kOutcomeUnknown;
  }
};

// Sends `call` and maps the response to an exit code. If no server could be
// reached, the code is kUnreachable. If a server may have received the call but
// no response arrived, a write is kOutcomeUnknown and a read is kUnreachable.
CallOutcome SendCall(const CommandContext& context, const ServerCall& call);

// Sends a GET request for `path`.
CallOutcome Read(const CommandContext& context, const std::string& path);

// Sends a `method` request for `path`, with `body` unless it is null.
CallOutcome Write(const CommandContext& context,
                  const std::string& method,
                  const std::string& path,
                  const Json::Value& body = Json::Value());

using TextRenderer = std::function<std::string(const Json::Value&)>;

// Prints the response body, as JSON with --json and otherwise through `render`,
// and the error message of a failed call. Returns the exit code of `outcome`.
ExitCode PrintOutcome(const CommandContext& context,
                      const CallOutcome& outcome,
                      const TextRenderer& render);

}  // namespace daisyroad

#endif  // SOURCE_CTL_CALL_OUTCOME_H_

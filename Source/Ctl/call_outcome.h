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

// What became of a call.
struct CallOutcome {
  ExitCode code = ExitCode::kOk;
  Json::Value body;     // of the answer; null if there is none
  std::string text;     // body as received
  std::string message;  // for people; empty if `code` is kOk

  bool ok() const { return this->code == ExitCode::kOk; }
  // Whether a write may have been carried out.
  bool open() const { return this->code == ExitCode::kOutcomeUnknown; }
};

// Sends `call` and classifies its answer. A write without an answer is
// kOutcomeUnknown, a read without one kUnreachable.
CallOutcome Perform(const CommandContext& context, const ServerCall& call);

// GET of `path`.
CallOutcome Read(const CommandContext& context, const std::string& path);

// `method` on `path`, with `body` unless it is null.
CallOutcome Write(const CommandContext& context,
                  const std::string& method,
                  const std::string& path,
                  const Json::Value& body = Json::Value());

using TextRenderer = std::function<std::string(const Json::Value&)>;

// Prints the answer, as JSON with --json and else through `render`, or the
// message of a failure.
ExitCode Print(const CommandContext& context,
               const CallOutcome& outcome,
               const TextRenderer& render);

}  // namespace daisyroad

#endif  // SOURCE_CTL_CALL_OUTCOME_H_

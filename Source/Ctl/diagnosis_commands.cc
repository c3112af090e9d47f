#include "Ctl/diagnosis_commands.h"

#include <string>

#include "Ctl/call_outcome.h"
#include "Ctl/response_text.h"
#include "Ctl/server_client.h"

namespace daisyroad {
namespace {

using Arguments = std::vector<std::string>;

constexpr std::int64_t kTailWaitSeconds = 10;

std::string ExplainText(const Json::Value& body) {
  return "verdict: " + ValueText(Member(body, "verdict")) + "\n" +
         ValueText(Member(body, "paragraph")) + "\n\n" +
         ListText(Member(body, "rows"),
                  {"at", "observation", "for", "against"});
}

ExitCode RunExplain(const CommandContext& context, const Arguments&) {
  const CtlOptions& options = context.invocation.options;
  std::vector<std::string> queries;
  if (!options.task.empty()) {
    queries.push_back("task=" + EscapeUrl(options.task));
  }
  if (!options.service.empty()) {
    queries.push_back("service=" + EscapeUrl(options.service));
  }
  if (options.since_seconds >= 0) {
    queries.push_back("since=" + std::to_string(options.since_seconds));
  }
  if (queries.size() != 1) {
    context.err
        << "daisyroadctl: give exactly one of --task, --service and --since\n";
    return ExitCode::kUsage;
  }
  return PrintOutcome(context,
                      Read(context, "/v1/ops/explain?" + queries.front()),
                      ExplainText);
}

std::string LinesText(const Json::Value& body) {
  std::string text;
  for (const Json::Value& line : Member(body, "lines")) {
    text += ValueText(line) + "\n";
  }
  return text;
}

// Each entry instance keeps its own decision log; the lines come from the
// server that responds.
ExitCode RunTail(const CommandContext& context, const Arguments&) {
  const std::int64_t limit = context.invocation.options.max_lines;
  std::int64_t printed = 0;
  std::string next = "0";
  while (limit == 0 || printed < limit) {
    ServerCall call;
    call.path = "/v1/ops/tail?after=" + next +
                "&wait=" + std::to_string(kTailWaitSeconds);
    call.server_wait = std::chrono::seconds(kTailWaitSeconds);
    CallOutcome outcome = SendCall(context, call);
    if (outcome.ok() && !Member(outcome.body, "next").isUInt64()) {
      outcome.code = ExitCode::kFailed;
      outcome.message = "the response has no member \"next\"";
    }
    const std::int64_t lines =
        static_cast<std::int64_t>(Member(outcome.body, "lines").size());
    if (limit != 0 && lines > limit - printed) {
      outcome.body["lines"].resize(
          static_cast<Json::ArrayIndex>(limit - printed));
    }
    const ExitCode code = PrintOutcome(context, outcome, LinesText);
    context.out.flush();
    if (code != ExitCode::kOk) {
      return code;
    }
    printed += lines;
    next = ValueText(outcome.body["next"]);
  }
  return ExitCode::kOk;
}

}  // namespace

std::vector<Command> DiagnosisCommands() {
  return {
      {{"explain"},
       {},
       {"task", "service", "since"},
       "report whether the network, a worker, the store, overload, the "
       "configuration or the caller's deadline was at fault",
       &RunExplain},
      {{"tail"},
       {},
       {"lines"},
       "follow the decision log of one entry instance",
       &RunTail},
  };
}

}  // namespace daisyroad

#include "Ctl/task_commands.h"

#include <string>

#include "Core/Common/json.h"
#include "Ctl/call_outcome.h"
#include "Ctl/response_text.h"
#include "Ctl/server_client.h"

namespace daisyroad {
namespace {

using Arguments = std::vector<std::string>;

constexpr char kTasksPath[] = "/v1/tasks";

std::string TaskText(const Json::Value& task) {
  std::string text = FieldsText(task);
  for (const Json::Value& line : Member(task, "decisions")) {
    text += "  " + ValueText(line) + "\n";
  }
  return text;
}

std::string TaskPath(const std::string& id) {
  return std::string(kTasksPath) + "/" + EscapeUrl(id);
}

// With an operator's key, the response includes the decision log. The operator
// API refuses a team's key, so the task is then read through the callers' API.
ExitCode RunShow(const CommandContext& context, const Arguments& arguments) {
  CallOutcome outcome =
      Read(context, "/v1/ops/tasks/" + EscapeUrl(arguments[0]));
  const int status = Member(outcome.body, "status").isInt()
                         ? outcome.body["status"].asInt()
                         : 0;
  if (!outcome.ok() && (status == 401 || status == 403)) {
    outcome = Read(context, TaskPath(arguments[0]));
  }
  return PrintOutcome(context, outcome, TaskText);
}

void PrintResubmissionAdvice(const CommandContext& context) {
  const std::string& key = context.invocation.options.idempotency_key;
  context.err
      << (key.empty()
              ? "the task had no idempotency key: submitting it again may "
                "run it twice\n"
              : "submit it again with --idempotency_key=" + key +
                    " to learn the outcome; it runs at most once\n");
}

ExitCode RunSubmit(const CommandContext& context, const Arguments& arguments) {
  const CtlOptions& options = context.invocation.options;
  Json::Value body;
  body["queue"] = arguments[0];
  body["payload"] = arguments[1];
  ServerCall call;
  call.method = "POST";
  call.path = kTasksPath;
  call.body = WriteJson(body);
  call.server_wait = std::chrono::seconds(options.wait_seconds);
  if (options.wait_seconds > 0) {
    call.headers["Prefer"] = "wait=" + std::to_string(options.wait_seconds);
  }
  if (!options.idempotency_key.empty()) {
    call.headers["Idempotency-Key"] = options.idempotency_key;
  }
  const CallOutcome outcome = SendCall(context, call);
  const ExitCode code = PrintOutcome(context, outcome, TaskText);
  if (outcome.is_outcome_unknown()) {
    PrintResubmissionAdvice(context);
  }
  return code;
}

// The state of a finished task does not change, so after a lost response the
// outcome is read from the task.
ExitCode RunCancel(const CommandContext& context, const Arguments& arguments) {
  CallOutcome outcome = Write(context, "DELETE", TaskPath(arguments[0]));
  if (outcome.is_outcome_unknown()) {
    context.err << "daisyroadctl: " << outcome.message
                << "; reading back the result\n";
    const CallOutcome found = Read(context, TaskPath(arguments[0]));
    const std::string state = ValueText(Member(found.body, "state"));
    if (state == "stopped" || state == "done" || state == "failed") {
      outcome = found;
    }
  }
  return PrintOutcome(context, outcome, TaskText);
}

}  // namespace

std::vector<Command> TaskCommands() {
  return {
      {{"task", "show"},
       {"ID"},
       {},
       "show a task, with its decision log if the key is an operator's",
       &RunShow},
      {{"task", "submit"},
       {"QUEUE", "PAYLOAD"},
       {"wait", "idempotency_key"},
       "submit a task with a team's key",
       &RunSubmit},
      {{"task", "cancel"},
       {"ID"},
       {},
       "cancel a task with its team's key",
       &RunCancel},
  };
}

}  // namespace daisyroad

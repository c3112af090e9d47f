#include "Ctl/run_ctl.h"

#include <algorithm>

#include "Core/Common/result.h"
#include "Ctl/argument_parser.h"
#include "Ctl/command.h"
#include "Ctl/command_table.h"
#include "Ctl/server_client.h"

namespace daisyroad {
namespace {

ExitCode ReportUsageError(std::ostream& err, const std::string& message) {
  err << "daisyroadctl: " << message << "\nSee daisyroadctl help.\n";
  return ExitCode::kUsage;
}

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

ExitCode PrintHelp(std::vector<std::string> words,
                   std::ostream& out,
                   std::ostream& err) {
  words.erase(std::remove(words.begin(), words.end(), "help"), words.end());
  const std::string text = HelpText(words);
  if (text.empty()) {
    return ReportUsageError(err, "unknown subcommand \"" + Join(words) + "\"");
  }
  out << text;
  return ExitCode::kOk;
}

// Returns an empty string if `command` accepts the given options and number of
// arguments, otherwise an error message.
std::string FindUsageError(const Command& command,
                           const Invocation& invocation,
                           std::size_t arguments) {
  if (arguments != command.arguments.size()) {
    return command.arguments.empty()
               ? Join(command.name) + " takes no arguments"
               : Join(command.name) + " takes " + Join(command.arguments);
  }
  for (const std::string& option : invocation.option_names) {
    if (!IsCommonOption(option) &&
        std::find(command.options.begin(), command.options.end(), option) ==
            command.options.end()) {
      return Join(command.name) + " takes no option --" + option;
    }
  }
  return "";
}

ExitCode RunCommand(const Command& command,
                    const Invocation& invocation,
                    std::ostream& out,
                    std::ostream& err) {
  const std::vector<std::string> arguments(
      invocation.words.begin() +
          static_cast<std::ptrdiff_t>(command.name.size()),
      invocation.words.end());
  const std::string usage_error =
      FindUsageError(command, invocation, arguments.size());
  if (!usage_error.empty()) {
    return ReportUsageError(err, usage_error);
  }
  if (command.is_local) {
    return command.handler(CommandContext{invocation, nullptr, out, err},
                           arguments);
  }
  ServerClient client(invocation.options);
  return command.handler(CommandContext{invocation, &client, out, err},
                         arguments);
}

}  // namespace

int RunCtl(const std::vector<std::string>& arguments,
           std::ostream& out,
           std::ostream& err) {
  const Result<Invocation> parsed = ParseArguments(arguments);
  if (!parsed.ok()) {
    return static_cast<int>(ReportUsageError(err, parsed.error().detail));
  }
  const Invocation& invocation = parsed.value();
  const std::vector<std::string>& words = invocation.words;
  if (invocation.help || (!words.empty() && words.front() == "help")) {
    return static_cast<int>(PrintHelp(words, out, err));
  }
  const Command* const command = FindCommand(words);
  if (command == nullptr) {
    return static_cast<int>(ReportUsageError(
        err, words.empty() ? "a subcommand is required"
                           : "unknown subcommand \"" + Join(words) + "\""));
  }
  return static_cast<int>(RunCommand(*command, invocation, out, err));
}

}  // namespace daisyroad

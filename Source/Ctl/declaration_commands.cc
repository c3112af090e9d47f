#include "Ctl/declaration_commands.h"

#include <chrono>
#include <ctime>
#include <fstream>
#include <iterator>
#include <string>

#include "Core/Declaration/diff_declarations.h"
#include "Core/Declaration/parse_declaration.h"
#include "Ctl/call_outcome.h"
#include "Ctl/lost_answer.h"
#include "Ctl/response_text.h"
#include "Ctl/text_table.h"

namespace daisyroad {
namespace {

using Arguments = std::vector<std::string>;

constexpr char kDeclarationPath[] = "/v1/ops/declaration";
constexpr char kWinnerFile[] = "declaration of the winning version";

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file),
                         std::istreambuf_iterator<char>()};
  if (!file.is_open() || file.bad()) {
    return Error{Errc::kNotFound, "file.read", "", "cannot read " + path};
  }
  return text;
}

ExitCode FailLocally(const CommandContext& context, const std::string& text) {
  context.err << "daisyroadctl: " << text << "\n";
  return ExitCode::kFailed;
}

CallOutcome Validate(const CommandContext& context,
                     const std::string& text,
                     const std::string& file) {
  Json::Value body;
  body["text"] = text;
  body["file"] = file;
  CallOutcome outcome =
      Write(context, "POST", std::string(kDeclarationPath) + "/validate", body);
  if (outcome.open()) {
    // Validation changes nothing, so a missing answer leaves nothing open.
    outcome.code = ExitCode::kUnreachable;
  }
  if (outcome.ok() && !Member(outcome.body, "valid").isBool()) {
    outcome.code = ExitCode::kFailed;
    outcome.message = "the answer lacks \"valid\"";
  }
  return outcome;
}

std::string ErrorsText(const Json::Value& answer) {
  std::string text;
  for (const Json::Value& line : Member(answer, "errors")) {
    text += Text(line) + "\n";
  }
  return text;
}

std::string ChangesText(const Json::Value& answer) {
  std::string text;
  for (const Json::Value& change : Member(answer, "changes")) {
    const std::string field = Text(Member(change, "field"));
    const std::string risk = Text(Member(change, "risk"));
    text += Text(Member(change, "kind")) + " " + Text(Member(change, "item"));
    if (!field.empty()) {
      text += " " + field + ": " + Text(Member(change, "old")) + " -> " +
              Text(Member(change, "new"));
    }
    text += risk.empty() ? "\n" : "  [risk: " + risk + "]\n";
  }
  return text;
}

// `changes` as the server writes them, else built from the structured list.
std::string DiffTextOf(const Json::Value& answer) {
  std::string text = Text(Member(answer, "text"));
  if (text.empty()) {
    text = ChangesText(answer);
  }
  return text.empty() ? "no changes\n" : text;
}

std::string BaseText(const Json::Value& answer) {
  const std::string base = Text(Member(answer, "base_version"));
  return base.empty() ? "" : "against version " + base + "\n";
}

// Prints an answer to Validate(); an invalid declaration is a failure.
ExitCode PrintValidation(const CommandContext& context,
                         CallOutcome outcome,
                         const TextRenderer& render) {
  if (outcome.ok() && !outcome.body["valid"].asBool()) {
    outcome.code = ExitCode::kFailed;
    outcome.message = "the declaration is not valid";
    if (!context.invocation.options.json) {
      context.err << ErrorsText(outcome.body);
    }
  }
  return Print(context, outcome, render);
}

ExitCode RunValidate(const CommandContext& context,
                     const Arguments& arguments) {
  const Result<std::string> text = ReadFile(arguments[0]);
  if (!text.ok()) {
    return FailLocally(context, text.error().detail);
  }
  return PrintValidation(
      context, Validate(context, text.value(), arguments[0]),
      [](const Json::Value& answer) {
        return "valid; " + std::to_string(Member(answer, "changes").size()) +
               " changes " + BaseText(answer);
      });
}

ExitCode RunDiff(const CommandContext& context, const Arguments& arguments) {
  const Result<std::string> text = ReadFile(arguments[0]);
  if (!text.ok()) {
    return FailLocally(context, text.error().detail);
  }
  return PrintValidation(context, Validate(context, text.value(), arguments[0]),
                         [](const Json::Value& answer) {
                           return BaseText(answer) + DiffTextOf(answer) +
                                  Text(Member(answer, "summary"));
                         });
}

// Version in the answer, or the current one if the answer has none.
Result<std::uint64_t> FindBase(const CommandContext& context,
                               const Json::Value& answer) {
  Json::Value base = Member(answer, "base_version");
  if (!base.isUInt64()) {
    base = Member(Read(context, kDeclarationPath).body, "version");
  }
  if (!base.isUInt64()) {
    return Error{Errc::kUnavailable, "base", "",
                 "the current version could not be read"};
  }
  return base.asUInt64();
}

std::string DeclarationAt(const Json::Value& version) {
  return Text(version).empty()
             ? kDeclarationPath
             : std::string(kDeclarationPath) + "?version=" + Text(version);
}

// The text is empty before the first declaration.
Result<Declaration> ParseAnswer(const Json::Value& answer,
                                const std::string& name) {
  const std::string text = Text(Member(answer, "text"));
  return text.empty() ? Result<Declaration>(Declaration())
                      : ParseDeclaration(text, name);
}

// Shows what separates the winning version from the declaration that lost.
// The declarations are compared here, since the server may not have the winning
// version in force yet.
void PrintWinner(const CommandContext& context,
                 const Json::Value& winning_version,
                 const Json::Value& base,
                 const std::string& mine) {
  const CallOutcome winner = Read(context, DeclarationAt(winning_version));
  const Result<Declaration> theirs = ParseAnswer(winner.body, kWinnerFile);
  const Result<Declaration> own = ParseDeclaration(mine, "own declaration");
  if (!winner.ok() || !theirs.ok() || !own.ok()) {
    context.err << "the declaration of the winning version could not be read\n";
    return;
  }
  const CallOutcome before = Read(context, DeclarationAt(base));
  const std::string version = Text(Member(winner.body, "version"));
  if (before.ok() &&
      Member(before.body, "text") == Member(winner.body, "text")) {
    context.err << "version " << version << " has the declaration of version "
                << Text(base) << ", yours can be applied again\n";
    return;
  }
  const std::string difference =
      DiffText(DiffDeclarations(theirs.value(), own.value()));
  context.err << "difference from version " << version << " to yours:\n"
              << (difference.empty() ? "no changes\n" : difference);
}

// Applies `text`, or rolls back to it, on top of the base version in `body`.
ExitCode SubmitDeclaration(const CommandContext& context,
                           const std::string& path,
                           const Json::Value& body,
                           const std::string& text) {
  CallOutcome outcome = Write(context, "POST", path, body);
  if (outcome.open()) {
    context.err << "daisyroadctl: " << outcome.message << "; reading back\n";
    outcome = ReadBackDeclaration(context, body["base_version"].asUInt64(),
                                  text, outcome);
  }
  const ExitCode code = Print(context, outcome, ChangeText);
  if (code == ExitCode::kConflict) {
    PrintWinner(context, Member(outcome.body, "version"), body["base_version"],
                text);
  }
  return code;
}

ExitCode RunApply(const CommandContext& context, const Arguments& arguments) {
  const Result<std::string> text = ReadFile(arguments[0]);
  if (!text.ok()) {
    return FailLocally(context, text.error().detail);
  }
  Json::Value body;
  body["text"] = text.value();
  body["file"] = arguments[0];
  body["base_version"] = Json::Int64(context.invocation.options.base);
  if (context.invocation.options.base < 0) {
    const CallOutcome checked = Validate(context, text.value(), arguments[0]);
    if (!checked.ok() || !checked.body["valid"].asBool()) {
      return PrintValidation(context, checked, FieldsText);
    }
    const Result<std::uint64_t> base = FindBase(context, checked.body);
    if (!base.ok()) {
      return FailLocally(context, base.error().detail);
    }
    if (!context.invocation.options.json) {
      context.out << BaseText(checked.body) << DiffTextOf(checked.body);
    }
    body["base_version"] = Json::UInt64(base.value());
  }
  return SubmitDeclaration(context, kDeclarationPath, body, text.value());
}

ExitCode RunRollback(const CommandContext& context,
                     const Arguments& arguments) {
  const std::string& version = arguments[0];
  if (version.empty() || version.size() > 18 ||
      version.find_first_not_of("0123456789") != std::string::npos) {
    context.err << "daisyroadctl: VERSION must be a number\n";
    return ExitCode::kUsage;
  }
  const CallOutcome old =
      Read(context, std::string(kDeclarationPath) + "?version=" + version);
  if (!old.ok()) {
    return Print(context, old, FieldsText);
  }
  Json::Value body;
  body["version"] = Json::Int64(std::stoll(version));
  body["base_version"] = Json::Int64(context.invocation.options.base);
  if (context.invocation.options.base < 0) {
    const Result<std::uint64_t> base = FindBase(context, Json::Value());
    if (!base.ok()) {
      return FailLocally(context, base.error().detail);
    }
    body["base_version"] = Json::UInt64(base.value());
  }
  return SubmitDeclaration(context, "/v1/ops/rollback", body,
                           Text(Member(old.body, "text")));
}

// `at` is in seconds since 1970.
std::string HistoryTime(const Json::Value& at) {
  if (!at.isInt64()) {
    return Text(at);
  }
  const std::time_t seconds = static_cast<std::time_t>(at.asInt64());
  std::tm parts{};
  char buffer[32];
  if (gmtime_r(&seconds, &parts) == nullptr ||
      std::strftime(buffer, sizeof(buffer), "%Y-%m-%d %H:%M:%SZ", &parts) ==
          0) {
    return Text(at);
  }
  return buffer;
}

std::string HistoryText(const Json::Value& list) {
  TextTable table({"VERSION", "AT", "AUTHOR", "CHANGE"});
  for (const Json::Value& item : list) {
    table.AddRow({Text(Member(item, "version")),
                  HistoryTime(Member(item, "at")), Text(Member(item, "author")),
                  Text(Member(item, "change"))});
  }
  return table.ToString();
}

ExitCode RunHistory(const CommandContext& context, const Arguments&) {
  return Print(
      context,
      Read(context, "/v1/ops/history?limit=" +
                        std::to_string(context.invocation.options.limit)),
      HistoryText);
}

}  // namespace

std::vector<Command> DeclarationCommands() {
  return {
      {{"validate"},
       {"FILE"},
       {},
       "check a declaration without changing anything",
       &RunValidate},
      {{"diff"},
       {"FILE"},
       {},
       "show the difference between the declaration in force and FILE",
       &RunDiff},
      {{"apply"},
       {"FILE"},
       {"base"},
       "put a declaration in force; without --base, shows the difference and "
       "is based on the version that it was made against",
       &RunApply},
      {{"history"},
       {},
       {"limit"},
       "list the versions of the configuration, newest first",
       &RunHistory},
      {{"rollback"},
       {"VERSION"},
       {"base"},
       "put the declaration of an old version in force as a new version",
       &RunRollback},
  };
}

}  // namespace daisyroad

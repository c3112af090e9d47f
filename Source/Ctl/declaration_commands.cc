#include "Ctl/declaration_commands.h"

#include <chrono>
#include <ctime>
#include <fstream>
#include <iterator>
#include <string>

#include "Core/Declaration/diff_declarations.h"
#include "Core/Declaration/parse_declaration.h"
#include "Core/Declaration/review_declaration.h"
#include "Ctl/call_outcome.h"
#include "Ctl/lost_answer.h"
#include "Ctl/response_text.h"
#include "Ctl/server_client.h"
#include "Ctl/text_table.h"

namespace daisyroad {
namespace {

using Arguments = std::vector<std::string>;

constexpr char kDeclarationPath[] = "/v1/ops/declaration";
constexpr char kInForceName[] = "declaration in force";
constexpr char kWinningVersionName[] = "declaration of the winning version";

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file),
                         std::istreambuf_iterator<char>()};
  if (!file.is_open() || file.bad()) {
    return Error{Errc::kNotFound, "file.read", "", "cannot read " + path};
  }
  return text;
}

ExitCode ReportLocalError(const CommandContext& context,
                          const std::string& text) {
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
  if (outcome.is_outcome_unknown()) {
    // Validation has no side effects, so a lost response cannot hide a change.
    outcome.code = ExitCode::kUnreachable;
  }
  if (outcome.ok() && !Member(outcome.body, "valid").isBool()) {
    outcome.code = ExitCode::kFailed;
    outcome.message = "the response has no member \"valid\"";
  }
  return outcome;
}

std::string ErrorsText(const Json::Value& response) {
  std::string text;
  for (const Json::Value& line : Member(response, "errors")) {
    text += ValueText(line) + "\n";
  }
  return text;
}

std::string ChangesText(const Json::Value& response) {
  std::string text;
  for (const Json::Value& change : Member(response, "changes")) {
    const std::string field = ValueText(Member(change, "field"));
    const std::string risk = ValueText(Member(change, "risk"));
    text += ValueText(Member(change, "kind")) + " " +
            ValueText(Member(change, "item"));
    if (!field.empty()) {
      text += " " + field + ": " + ValueText(Member(change, "old")) + " -> " +
              ValueText(Member(change, "new"));
    }
    text += risk.empty() ? "\n" : "  [risk: " + risk + "]\n";
  }
  return text;
}

// The server's text of the changes, or one built from the list `changes` if the
// response has no text.
std::string ValidationDiffText(const Json::Value& response) {
  std::string text = ValueText(Member(response, "text"));
  if (text.empty()) {
    text = ChangesText(response);
  }
  return text.empty() ? "no changes\n" : text;
}

std::string BaseText(const Json::Value& response) {
  const std::string base = ValueText(Member(response, "base_version"));
  return base.empty() ? "" : "against version " + base + "\n";
}

// Prints the outcome of Validate(); an invalid declaration is a failure.
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
  return PrintOutcome(context, outcome, render);
}

ExitCode RunValidate(const CommandContext& context,
                     const Arguments& arguments) {
  const Result<std::string> text = ReadFile(arguments[0]);
  if (!text.ok()) {
    return ReportLocalError(context, text.error().detail);
  }
  return PrintValidation(
      context, Validate(context, text.value(), arguments[0]),
      [](const Json::Value& response) {
        return "valid; " + std::to_string(Member(response, "changes").size()) +
               " changes " + BaseText(response);
      });
}

ExitCode RunDiff(const CommandContext& context, const Arguments& arguments) {
  const Result<std::string> text = ReadFile(arguments[0]);
  if (!text.ok()) {
    return ReportLocalError(context, text.error().detail);
  }
  return PrintValidation(context, Validate(context, text.value(), arguments[0]),
                         [](const Json::Value& response) {
                           return BaseText(response) +
                                  ValidationDiffText(response) +
                                  ValueText(Member(response, "summary"));
                         });
}

// Returns the base version in the response, or the current version if the
// response has none.
Result<std::uint64_t> FindBase(const CommandContext& context,
                               const Json::Value& response) {
  Json::Value base = Member(response, "base_version");
  if (!base.isUInt64()) {
    base = Member(Read(context, kDeclarationPath).body, "version");
  }
  if (!base.isUInt64()) {
    return Error{Errc::kUnavailable, "base", "",
                 "cannot read the current version"};
  }
  return base.asUInt64();
}

std::string DeclarationVersionPath(const Json::Value& version) {
  return ValueText(version).empty()
             ? kDeclarationPath
             : std::string(kDeclarationPath) + "?version=" + ValueText(version);
}

// Parses the declaration in a response. Its text is empty until the first
// declaration is applied.
Result<Declaration> ParseDeclarationResponse(const Json::Value& response,
                                             const std::string& name) {
  const std::string text = ValueText(Member(response, "text"));
  return text.empty() ? Result<Declaration>(Declaration())
                      : ParseDeclaration(text, name);
}

void PrintSection(std::ostream& out,
                  const std::string& title,
                  const std::string& lines) {
  if (!lines.empty()) {
    out << title << ":\n" << lines;
  }
}

ExitCode PrintReview(const CommandContext& context,
                     const DeclarationReview& review) {
  if (!review.faults.empty()) {
    PrintSection(context.out, "faults", review.faults);
    return ExitCode::kFailed;
  }
  PrintSection(context.out, "entries that match nothing", review.ineffective);
  PrintSection(context.out, "limits that contradict each other",
               review.conflicts);
  if (review.ineffective.empty() && review.conflicts.empty()) {
    context.out << "no faults, nothing doubtful\n";
    return ExitCode::kOk;
  }
  return ExitCode::kDoubtful;
}

// Reviews the file without a server, and against the version in force if
// servers were given.
ExitCode RunCheck(const CommandContext& context, const Arguments& arguments) {
  const Result<std::string> text = ReadFile(arguments[0]);
  if (!text.ok()) {
    return ReportLocalError(context, text.error().detail);
  }
  const bool has_server = context.invocation.option_names.contains("server");
  if (!has_server) {
    return PrintReview(context,
                       ReviewDeclaration(text.value(), arguments[0], nullptr));
  }
  ServerClient client(context.invocation.options);
  const CommandContext remote{context.invocation, &client, context.out,
                              context.err};
  const CallOutcome outcome = Read(remote, kDeclarationPath);
  const Result<Declaration> in_force =
      ParseDeclarationResponse(outcome.body, kInForceName);
  const bool is_known = outcome.ok() && in_force.ok();
  const DeclarationReview review = ReviewDeclaration(
      text.value(), arguments[0], is_known ? &in_force.value() : nullptr);
  const ExitCode code = PrintReview(context, review);
  if (!is_known) {
    context.err << "daisyroadctl: cannot read the declaration in force: "
                << (outcome.ok() ? in_force.error().detail : outcome.message)
                << "\n";
    return code != ExitCode::kOk ? code
           : outcome.ok()        ? ExitCode::kFailed
                                 : outcome.code;
  }
  if (code != ExitCode::kFailed) {
    const std::string version = ValueText(Member(outcome.body, "version"));
    PrintSection(context.out, "differences from version " + version,
                 review.changes.empty() ? "none\n" : review.changes);
  }
  return code;
}

// Prints the difference between the version that caused a conflict and the
// declaration that was refused. The comparison is done in the client because
// the winning version may not be in force on the server yet.
void PrintConflictDiff(const CommandContext& context,
                       const Json::Value& winning_version,
                       const Json::Value& base,
                       const std::string& own_text) {
  const CallOutcome winning_outcome =
      Read(context, DeclarationVersionPath(winning_version));
  const Result<Declaration> winning_declaration =
      ParseDeclarationResponse(winning_outcome.body, kWinningVersionName);
  const Result<Declaration> own_declaration =
      ParseDeclaration(own_text, "your declaration");
  if (!winning_outcome.ok() || !winning_declaration.ok() ||
      !own_declaration.ok()) {
    context.err << "cannot read the declaration of the winning version\n";
    return;
  }
  const CallOutcome base_outcome = Read(context, DeclarationVersionPath(base));
  const std::string version =
      ValueText(Member(winning_outcome.body, "version"));
  if (base_outcome.ok() && Member(base_outcome.body, "text") ==
                               Member(winning_outcome.body, "text")) {
    context.err << "version " << version << " has the declaration of version "
                << ValueText(base) << ", yours can be applied again\n";
    return;
  }
  const std::string difference = DiffText(
      DiffDeclarations(winning_declaration.value(), own_declaration.value()));
  context.err << "difference from version " << version << " to yours:\n"
              << (difference.empty() ? "no changes\n" : difference);
}

// Posts a change that puts the declaration `text` in force, based on the
// version `base_version` in `body`. After a conflict, prints the difference to
// the winning version.
ExitCode SubmitDeclaration(const CommandContext& context,
                           const std::string& path,
                           const Json::Value& body,
                           const std::string& text) {
  CallOutcome outcome = Write(context, "POST", path, body);
  if (outcome.is_outcome_unknown()) {
    context.err << "daisyroadctl: " << outcome.message
                << "; reading back the result\n";
    outcome = ReadBackDeclaration(context, body["base_version"].asUInt64(),
                                  text, outcome);
  }
  const ExitCode code = PrintOutcome(context, outcome, ChangeText);
  if (code == ExitCode::kConflict) {
    PrintConflictDiff(context, Member(outcome.body, "version"),
                      body["base_version"], text);
  }
  return code;
}

ExitCode RunApply(const CommandContext& context, const Arguments& arguments) {
  const Result<std::string> text = ReadFile(arguments[0]);
  if (!text.ok()) {
    return ReportLocalError(context, text.error().detail);
  }
  Json::Value body;
  body["text"] = text.value();
  body["file"] = arguments[0];
  body["base_version"] = Json::Int64(context.invocation.options.base_version);
  if (context.invocation.options.base_version < 0) {
    const CallOutcome validation =
        Validate(context, text.value(), arguments[0]);
    if (!validation.ok() || !validation.body["valid"].asBool()) {
      return PrintValidation(context, validation, FieldsText);
    }
    const Result<std::uint64_t> base = FindBase(context, validation.body);
    if (!base.ok()) {
      return ReportLocalError(context, base.error().detail);
    }
    if (!context.invocation.options.json) {
      context.out << BaseText(validation.body)
                  << ValidationDiffText(validation.body);
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
    return PrintOutcome(context, old, FieldsText);
  }
  Json::Value body;
  body["version"] = Json::Int64(std::stoll(version));
  body["base_version"] = Json::Int64(context.invocation.options.base_version);
  if (context.invocation.options.base_version < 0) {
    const Result<std::uint64_t> base = FindBase(context, Json::Value());
    if (!base.ok()) {
      return ReportLocalError(context, base.error().detail);
    }
    body["base_version"] = Json::UInt64(base.value());
  }
  return SubmitDeclaration(context, "/v1/ops/rollback", body,
                           ValueText(Member(old.body, "text")));
}

// Formats `at`, in seconds since the Unix epoch, as UTC.
std::string HistoryTime(const Json::Value& at) {
  if (!at.isInt64()) {
    return ValueText(at);
  }
  const std::time_t seconds = static_cast<std::time_t>(at.asInt64());
  std::tm parts{};
  char buffer[32];
  if (gmtime_r(&seconds, &parts) == nullptr ||
      std::strftime(buffer, sizeof(buffer), "%Y-%m-%d %H:%M:%SZ", &parts) ==
          0) {
    return ValueText(at);
  }
  return buffer;
}

std::string HistoryText(const Json::Value& list) {
  TextTable table({"VERSION", "AT", "AUTHOR", "CHANGE"});
  for (const Json::Value& item : list) {
    table.AddRow(
        {ValueText(Member(item, "version")), HistoryTime(Member(item, "at")),
         ValueText(Member(item, "author")), ValueText(Member(item, "change"))});
  }
  return table.ToString();
}

ExitCode RunHistory(const CommandContext& context, const Arguments&) {
  return PrintOutcome(
      context,
      Read(context, "/v1/ops/history?limit=" +
                        std::to_string(context.invocation.options.limit)),
      HistoryText);
}

}  // namespace

std::vector<Command> DeclarationCommands() {
  return {
      {{"check"},
       {"FILE"},
       {},
       "review a declaration before it is sent: faults, entries that match "
       "nothing, limits that contradict each other; with --server also what "
       "differs from the version in force",
       &RunCheck,
       true},
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

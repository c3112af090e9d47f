#include "Ctl/key_commands.h"

#include <set>
#include <string>

#include "Core/Common/json.h"
#include "Core/Keys/key_secret.h"
#include "Ctl/call_outcome.h"
#include "Ctl/lost_answer.h"
#include "Ctl/response_text.h"
#include "Ctl/server_client.h"

namespace daisyroad {
namespace {

using Arguments = std::vector<std::string>;

constexpr char kKeysPath[] = "/v1/ops/keys";

ExitCode RunGenerate(const CommandContext& context, const Arguments&) {
  const Result<NewKey> key = GenerateKey();
  if (!key.ok()) {
    context.err << "daisyroadctl: " << key.error().ToString() << "\n";
    return ExitCode::kFailed;
  }
  const std::string record = key.value().id.str() + ":" +
                             key.value().hash.salt + ":" +
                             key.value().hash.digest;
  if (context.invocation.options.json) {
    Json::Value body;
    body["secret"] = key.value().text;
    body["bootstrap_operator_key"] = record;
    context.out << WriteJson(body) << "\n";
  } else {
    context.out << key.value().text << "\n" << record << "\n";
  }
  return ExitCode::kOk;
}

std::set<std::string> KeyIds(const Json::Value& list,
                             const std::string& holder) {
  std::set<std::string> ids;
  for (const Json::Value& item : list) {
    if (ValueText(Member(item, "holder")) == holder) {
      ids.insert(ValueText(Member(item, "id")));
    }
  }
  return ids;
}

// The secret of a new key is lost with the response. Prints the keys that the
// holder was given since `before` was read, so that the operator can withdraw
// them.
ExitCode ReportLostSecret(const CommandContext& context,
                          const CallOutcome& unknown_outcome,
                          const Json::Value& before,
                          const std::string& holder) {
  context.err << "daisyroadctl: " << unknown_outcome.message
              << "; reading back the result\n";
  const std::set<std::string> known = KeyIds(before, holder);
  std::string added_ids;
  const CallOutcome found = ReadBackEffect(
      context, kKeysPath,
      [&](const Json::Value& list) {
        for (const std::string& id : KeyIds(list, holder)) {
          added_ids += known.count(id) == 0 ? " " + id : "";
        }
        return !added_ids.empty();
      },
      unknown_outcome);
  if (found.ok()) {
    context.err << "given to " << holder << " meanwhile:" << added_ids
                << "; the secret is lost: withdraw the key and give another\n";
  } else {
    context.err << "no new key of " << holder << " is listed so far\n";
  }
  return ExitCode::kOutcomeUnknown;
}

std::string NewKeyText(const Json::Value& body) {
  return "id:     " + ValueText(Member(body, "id")) +
         "\nsecret: " + ValueText(Member(body, "secret")) +
         "  (shown only now)\n" + ChangeText(body);
}

ExitCode RunGive(const CommandContext& context, const Arguments&) {
  const CtlOptions& options = context.invocation.options;
  if (options.team.empty() == options.operator_name.empty()) {
    context.err << "daisyroadctl: give exactly one of --team and --operator\n";
    return ExitCode::kUsage;
  }
  const CallOutcome before = Read(context, kKeysPath);
  if (!before.ok()) {
    return PrintOutcome(context, before, FieldsText);
  }
  const bool for_team = !options.team.empty();
  const std::string holder = for_team ? options.team : options.operator_name;
  Json::Value body;
  body[for_team ? "team" : "operator"] = holder;
  const CallOutcome outcome = Write(context, "POST", kKeysPath, body);
  return outcome.is_outcome_unknown()
             ? ReportLostSecret(context, outcome, before.body, holder)
             : PrintOutcome(context, outcome, NewKeyText);
}

ExitCode RunWithdraw(const CommandContext& context,
                     const Arguments& arguments) {
  const std::string& id = arguments[0];
  CallOutcome outcome =
      Write(context, "DELETE", std::string(kKeysPath) + "/" + EscapeUrl(id));
  if (outcome.is_outcome_unknown()) {
    context.err << "daisyroadctl: " << outcome.message
                << "; reading back the result\n";
    outcome = ReadBackEffect(
        context, kKeysPath,
        [&id](const Json::Value& list) {
          for (const Json::Value& item : list) {
            if (ValueText(Member(item, "id")) == id) {
              return ValueText(Member(item, "withdrawn")) == "yes";
            }
          }
          return false;
        },
        outcome);
  }
  return PrintOutcome(context, outcome, [&id](const Json::Value& body) {
    return Member(body, "read_back").isBool()
               ? "key " + id + " is withdrawn (read back)\n"
               : ChangeText(body);
  });
}

ExitCode RunList(const CommandContext& context, const Arguments&) {
  return PrintOutcome(
      context, Read(context, kKeysPath), [](const Json::Value& list) {
        return ListText(list,
                        {"id", "holder", "operator", "withdrawn", "created"});
      });
}

}  // namespace

std::vector<Command> KeyCommands() {
  return {
      {{"key", "generate"},
       {},
       {},
       "print a new secret and its ID:SALT:DIGEST for the daemon's "
       "--bootstrap_operator_key; calls no server",
       &RunGenerate,
       true},
      {{"key", "give"},
       {},
       {"team", "operator"},
       "give a key to a team or an operator; the secret is shown once",
       &RunGive},
      {{"key", "withdraw"}, {"ID"}, {}, "withdraw a key", &RunWithdraw},
      {{"key", "list"}, {}, {}, "list the keys without secrets", &RunList},
  };
}

}  // namespace daisyroad

#include "Ctl/argument_parser.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "absl/flags/commandlineflag.h"
#include "absl/flags/flag.h"
#include "absl/flags/reflection.h"
#include "absl/time/time.h"

ABSL_FLAG(std::vector<std::string>,
          server,
          {"127.0.0.1:18101"},
          "caller addresses of entry instances, IP:PORT, separated by commas");
ABSL_FLAG(std::string, key, "", "key; without it DAISYROAD_KEY is used");
ABSL_FLAG(std::string, key_file, "", "file that holds the key");
ABSL_FLAG(bool, json, false, "print the server's JSON");
ABSL_FLAG(absl::Duration,
          timeout,
          absl::Seconds(5),
          "time limit of each request, for example 500ms or 5s");
ABSL_FLAG(std::int64_t, base, -1, "version that the change is based on");
ABSL_FLAG(std::string, team, "", "team that the key is for");
ABSL_FLAG(std::string, operator, "", "operator that the key is for");
ABSL_FLAG(std::vector<std::string>,
          what_if,
          {},
          "POOL:N, plan as if the pool had N instances; may be repeated");
ABSL_FLAG(std::int64_t, wait, 0, "seconds to wait for the answer, at most 300");
ABSL_FLAG(std::string,
          idempotency_key,
          "",
          "key under which the task runs at most once on its queue");
ABSL_FLAG(std::string, task, "", "task to explain");
ABSL_FLAG(std::string, service, "", "service to explain");
ABSL_FLAG(std::int64_t, since, -1, "explain the last SECONDS");
ABSL_FLAG(std::int64_t, limit, 20, "greatest number of versions to list");
ABSL_FLAG(std::int64_t, lines, 0, "end after this many lines; 0 for no end");

namespace daisyroad {
namespace {

constexpr const char* kCommonOptions[] = {"server", "key", "key_file", "json",
                                          "timeout"};
constexpr const char* kOwnOptions[] = {
    "server",          "key",   "key_file", "json",
    "timeout",         "base",  "team",     "operator",
    "what_if",         "wait",  "task",     "service",
    "idempotency_key", "since", "limit",    "lines"};
constexpr std::int64_t kMaxWaitSeconds = 300;

Error Usage(const std::string& detail) {
  return Error{Errc::kInvalidArgument, "arguments", "", detail};
}

bool IsOwnOption(const std::string& name) {
  return std::find(std::begin(kOwnOptions), std::end(kOwnOptions), name) !=
         std::end(kOwnOptions);
}

// Calls do not depend on earlier ones. absl::FlagSaver is not used: it writes a
// line to standard error for each flag that it restores.
void ResetOptions() {
  for (const char* name : kOwnOptions) {
    absl::CommandLineFlag* const flag = absl::FindCommandLineFlag(name);
    std::string fault;
    flag->ParseFrom(flag->DefaultValue(), &fault);
  }
}

// Reads the option at `index`, which is moved to its last word.
Status ParseOption(const std::vector<std::string>& arguments,
                   std::size_t* index,
                   std::set<std::string>* given) {
  const std::string& argument = arguments[*index];
  const std::size_t equals = argument.find('=');
  std::string name = argument.substr(2, equals - 2);
  std::replace(name.begin(), name.end(), '-', '_');
  absl::CommandLineFlag* const flag =
      IsOwnOption(name) ? absl::FindCommandLineFlag(name) : nullptr;
  if (flag == nullptr) {
    return Usage("unknown option --" + name);
  }
  std::string value = "true";
  if (equals != std::string::npos) {
    value = argument.substr(equals + 1);
  } else if (!flag->IsOfType<bool>()) {
    if (*index + 1 >= arguments.size()) {
      return Usage("--" + name + " needs a value");
    }
    value = arguments[++*index];
  }
  if (flag->IsOfType<std::vector<std::string>>() && given->count(name) != 0) {
    value = flag->CurrentValue() + "," + value;
  }
  std::string fault;
  if (!flag->ParseFrom(value, &fault)) {
    return Usage(fault);
  }
  given->insert(name);
  return OkStatus();
}

Result<std::string> ReadKey(const std::set<std::string>& given) {
  if (given.count("key") != 0 && given.count("key_file") != 0) {
    return Usage("--key and --key_file exclude each other");
  }
  if (given.count("key") != 0) {
    return absl::GetFlag(FLAGS_key);
  }
  if (given.count("key_file") == 0) {
    const char* const variable = std::getenv("DAISYROAD_KEY");
    return std::string(variable == nullptr ? "" : variable);
  }
  const std::string path = absl::GetFlag(FLAGS_key_file);
  std::ifstream file(path);
  std::string key;
  if (!(file >> key)) {
    return Usage("cannot read a key from " + path);
  }
  return key;
}

Status CheckRanges(const CtlOptions& options) {
  if (options.servers.empty() ||
      std::any_of(options.servers.begin(), options.servers.end(),
                  [](const std::string& text) { return text.empty(); })) {
    return Usage("--server must name at least one IP:PORT");
  }
  if (options.timeout <= Milliseconds(0)) {
    return Usage("--timeout must be positive");
  }
  if (options.wait_seconds < 0 || options.wait_seconds > kMaxWaitSeconds) {
    return Usage("--wait must be from 0 to 300");
  }
  if (options.limit < 1 || options.lines < 0) {
    return Usage("--limit must be positive and --lines not negative");
  }
  return OkStatus();
}

CtlOptions CollectOptions() {
  CtlOptions options;
  options.servers = absl::GetFlag(FLAGS_server);
  options.json = absl::GetFlag(FLAGS_json);
  options.timeout = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout));
  options.base = absl::GetFlag(FLAGS_base);
  options.team = absl::GetFlag(FLAGS_team);
  options.operator_name = absl::GetFlag(FLAGS_operator);
  options.what_if = absl::GetFlag(FLAGS_what_if);
  options.wait_seconds = absl::GetFlag(FLAGS_wait);
  options.idempotency_key = absl::GetFlag(FLAGS_idempotency_key);
  options.task = absl::GetFlag(FLAGS_task);
  options.service = absl::GetFlag(FLAGS_service);
  options.since_seconds = absl::GetFlag(FLAGS_since);
  options.limit = absl::GetFlag(FLAGS_limit);
  options.lines = absl::GetFlag(FLAGS_lines);
  return options;
}

}  // namespace

Result<Invocation> ParseArguments(const std::vector<std::string>& arguments) {
  ResetOptions();
  Invocation invocation;
  bool only_words = false;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (only_words || !argument.starts_with('-') || argument == "-") {
      invocation.words.push_back(argument);
    } else if (argument == "--") {
      only_words = true;
    } else if (argument == "--help" || argument == "-h") {
      invocation.help = true;
    } else if (argument.rfind("--", 0) != 0) {
      return Usage("unknown option " + argument);
    } else {
      const Status parsed =
          ParseOption(arguments, &i, &invocation.option_names);
      if (!parsed.ok()) {
        return parsed.error();
      }
    }
  }
  invocation.options = CollectOptions();
  const Status ranges = CheckRanges(invocation.options);
  if (!ranges.ok()) {
    return ranges.error();
  }
  const Result<std::string> key = ReadKey(invocation.option_names);
  if (!key.ok()) {
    return key.error();
  }
  invocation.options.key = key.value();
  return invocation;
}

std::string OptionHelp(const std::string& name) {
  const absl::CommandLineFlag* const flag = absl::FindCommandLineFlag(name);
  std::string line = "  --" + name;
  line.resize(std::max<std::size_t>(line.size() + 1, 22), ' ');
  return line + (flag == nullptr ? "" : flag->Help()) + "\n";
}

std::string CommonOptionsHelp() {
  std::string text;
  for (const char* name : kCommonOptions) {
    text += OptionHelp(name);
  }
  return text;
}

bool IsCommonOption(const std::string& name) {
  return std::find(std::begin(kCommonOptions), std::end(kCommonOptions),
                   name) != std::end(kCommonOptions);
}

}  // namespace daisyroad

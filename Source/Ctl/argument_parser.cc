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
ABSL_FLAG(std::int64_t, limit, 20, "maximum number of versions to list");
ABSL_FLAG(std::int64_t, lines, 0, "stop after this many lines; 0 for no limit");

namespace daisyroad {
namespace {

constexpr const char* kCommonOptions[] = {"server", "key", "key_file", "json",
                                          "timeout"};
constexpr const char* kCtlOptions[] = {
    "server",          "key",   "key_file", "json",
    "timeout",         "base",  "team",     "operator",
    "what_if",         "wait",  "task",     "service",
    "idempotency_key", "since", "limit",    "lines"};
constexpr std::int64_t kMaxWaitSeconds = 300;

Error UsageError(const std::string& detail) {
  return Error{Errc::kInvalidArgument, "arguments", "", detail};
}

bool IsCtlOption(const std::string& name) {
  return std::find(std::begin(kCtlOptions), std::end(kCtlOptions), name) !=
         std::end(kCtlOptions);
}

// Restores the default values so that a call of ParseArguments() does not
// depend on earlier calls. absl::FlagSaver is not used because it writes a line
// to standard error for each flag that it restores.
void ResetOptions() {
  for (const char* name : kCtlOptions) {
    absl::CommandLineFlag* const flag = absl::FindCommandLineFlag(name);
    std::string error;
    flag->ParseFrom(flag->DefaultValue(), &error);
  }
}

// Parses the option at `index` and advances `index` to the last argument that
// belongs to it.
Status ParseOption(const std::vector<std::string>& arguments,
                   std::size_t* index,
                   std::set<std::string>* given_options) {
  const std::string& argument = arguments[*index];
  const std::size_t equals = argument.find('=');
  std::string name = argument.substr(2, equals - 2);
  std::replace(name.begin(), name.end(), '-', '_');
  absl::CommandLineFlag* const flag =
      IsCtlOption(name) ? absl::FindCommandLineFlag(name) : nullptr;
  if (flag == nullptr) {
    return UsageError("unknown option --" + name);
  }
  std::string value = "true";
  if (equals != std::string::npos) {
    value = argument.substr(equals + 1);
  } else if (!flag->IsOfType<bool>()) {
    if (*index + 1 >= arguments.size()) {
      return UsageError("--" + name + " requires a value");
    }
    value = arguments[++*index];
  }
  if (flag->IsOfType<std::vector<std::string>>() &&
      given_options->count(name) != 0) {
    value = flag->CurrentValue() + "," + value;
  }
  std::string error;
  if (!flag->ParseFrom(value, &error)) {
    return UsageError(error);
  }
  given_options->insert(name);
  return OkStatus();
}

Result<std::string> ReadKey(const std::set<std::string>& given_options) {
  if (given_options.count("key") != 0 && given_options.count("key_file") != 0) {
    return UsageError("--key and --key_file are mutually exclusive");
  }
  if (given_options.count("key") != 0) {
    return absl::GetFlag(FLAGS_key);
  }
  if (given_options.count("key_file") == 0) {
    const char* const variable = std::getenv("DAISYROAD_KEY");
    return std::string(variable == nullptr ? "" : variable);
  }
  const std::string path = absl::GetFlag(FLAGS_key_file);
  std::ifstream file(path);
  std::string key;
  if (!(file >> key)) {
    return UsageError("cannot read a key from " + path);
  }
  return key;
}

Status CheckRanges(const CtlOptions& options) {
  if (options.servers.empty() ||
      std::any_of(options.servers.begin(), options.servers.end(),
                  [](const std::string& text) { return text.empty(); })) {
    return UsageError("--server must name at least one IP:PORT");
  }
  if (options.timeout <= Milliseconds(0)) {
    return UsageError("--timeout must be positive");
  }
  if (options.wait_seconds < 0 || options.wait_seconds > kMaxWaitSeconds) {
    return UsageError("--wait must be between 0 and 300");
  }
  if (options.limit < 1 || options.max_lines < 0) {
    return UsageError(
        "--limit must be positive and --lines must not be negative");
  }
  return OkStatus();
}

CtlOptions CollectOptions() {
  CtlOptions options;
  options.servers = absl::GetFlag(FLAGS_server);
  options.json = absl::GetFlag(FLAGS_json);
  options.timeout = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout));
  options.base_version = absl::GetFlag(FLAGS_base);
  options.team = absl::GetFlag(FLAGS_team);
  options.operator_name = absl::GetFlag(FLAGS_operator);
  options.what_if = absl::GetFlag(FLAGS_what_if);
  options.wait_seconds = absl::GetFlag(FLAGS_wait);
  options.idempotency_key = absl::GetFlag(FLAGS_idempotency_key);
  options.task = absl::GetFlag(FLAGS_task);
  options.service = absl::GetFlag(FLAGS_service);
  options.since_seconds = absl::GetFlag(FLAGS_since);
  options.limit = absl::GetFlag(FLAGS_limit);
  options.max_lines = absl::GetFlag(FLAGS_lines);
  return options;
}

}  // namespace

Result<Invocation> ParseArguments(const std::vector<std::string>& arguments) {
  ResetOptions();
  Invocation invocation;
  bool has_options_ended = false;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (has_options_ended || !argument.starts_with('-') || argument == "-") {
      invocation.words.push_back(argument);
    } else if (argument == "--") {
      has_options_ended = true;
    } else if (argument == "--help" || argument == "-h") {
      invocation.help = true;
    } else if (argument.rfind("--", 0) != 0) {
      return UsageError("unknown option " + argument);
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

// daisyroad-load: runs a site's demand and faults against live entry instances
// and checks the responses against the start records of the workers.
//
// Exit codes: 0 if the run is clean, 1 if it violated an invariant or an event
// failed, 2 for invalid flags or files or an unreachable site.

#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "Core/Common/json.h"
#include "Core/Declaration/declaration.h"
#include "Core/Declaration/parse_declaration.h"
#include "Load/blocking_http.h"
#include "Load/demand_plan.h"
#include "Load/event_script.h"
#include "Load/load_run.h"
#include "Load/run_report.h"
#include "Load/worker_fleet.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/time/time.h"

ABSL_FLAG(std::string, declaration, "", "TOML file of the site; required");
ABSL_FLAG(std::vector<std::string>,
          entries,
          {},
          "caller addresses of the entry instances, IP:PORT; required");
ABSL_FLAG(std::string,
          instances,
          "127.0.0.1:18001",
          "IP:PORT of the instance list");
ABSL_FLAG(std::string,
          operator_key_file,
          "",
          "file with an operator's key; required");
ABSL_FLAG(std::string, script, "", "TOML file with events");
ABSL_FLAG(std::vector<std::string>,
          process,
          {},
          "processes that the script sends signals to, NAME=ID");
ABSL_FLAG(std::string, json, "", "file for the report as JSON");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the demand");
ABSL_FLAG(absl::Duration, length, absl::Seconds(60), "length of the demand");
ABSL_FLAG(absl::Duration,
          burst,
          absl::Seconds(6),
          "length of the burst of one queue");
ABSL_FLAG(double,
          overload,
          1.3,
          "demand of a burst relative to the capacity of the pool");
ABSL_FLAG(absl::Duration,
          urgent_run,
          absl::Milliseconds(500),
          "mean run time of urgent tasks");
ABSL_FLAG(absl::Duration,
          long_run,
          absl::Seconds(3),
          "mean run time of long tasks");

namespace daisyroad {
namespace {

constexpr int kSetupFailure = 2;
// Time within which a new key is in force on every entry instance.
constexpr std::chrono::seconds kKeyPropagationTime{5};

Error MakeStartError(const std::string& peer, const std::string& detail) {
  return Error{Errc::kInvalidArgument, "load.start", peer, detail};
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return MakeStartError(path, "cannot be read");
  }
  return text.str();
}

Result<std::map<std::string, pid_t>> ReadProcesses() {
  std::map<std::string, pid_t> processes;
  for (const std::string& item : absl::GetFlag(FLAGS_process)) {
    const std::size_t equals = item.find('=');
    const int id =
        equals == std::string::npos ? 0 : std::atoi(item.c_str() + equals + 1);
    // kill() treats 0 and negative ids as process groups; 1 is init.
    if (id <= 1) {
      return MakeStartError("--process",
                            "\"" + item + "\" is not of the form NAME=ID");
    }
    processes[item.substr(0, equals)] = id;
  }
  return processes;
}

Result<std::vector<ScriptedEvent>> ReadScript() {
  const std::string path = absl::GetFlag(FLAGS_script);
  if (path.empty()) {
    return std::vector<ScriptedEvent>();
  }
  const Result<std::map<std::string, pid_t>> processes = ReadProcesses();
  if (!processes.ok()) {
    return processes.error();
  }
  const Result<std::string> text = ReadFile(path);
  if (!text.ok()) {
    return text.error();
  }
  return ParseEventScript(text.value(), path, processes.value());
}

Result<Declaration> ReadDeclaration() {
  const std::string path = absl::GetFlag(FLAGS_declaration);
  const Result<std::string> text = ReadFile(path);
  if (!text.ok()) {
    return text.error();
  }
  return ParseDeclaration(text.value(), path);
}

Result<std::string> ReadOperatorKey() {
  const Result<std::string> text =
      ReadFile(absl::GetFlag(FLAGS_operator_key_file));
  if (!text.ok()) {
    return text.error();
  }
  return text.value().substr(0, text.value().find_first_of("\r\n"));
}

Milliseconds ToMilliseconds(absl::Duration duration) {
  return Milliseconds(absl::ToInt64Milliseconds(duration));
}

DemandSettings ReadDemand() {
  DemandSettings demand;
  demand.seed = absl::GetFlag(FLAGS_seed);
  // Without a unique label, idempotency keys would repeat those of an earlier
  // run with the same seed and get its answers.
  demand.label =
      "s" + std::to_string(demand.seed) + "-" +
      std::to_string(
          std::chrono::system_clock::now().time_since_epoch().count());
  demand.length = ToMilliseconds(absl::GetFlag(FLAGS_length));
  demand.burst = ToMilliseconds(absl::GetFlag(FLAGS_burst));
  demand.overload = absl::GetFlag(FLAGS_overload);
  demand.mean_urgent_run = ToMilliseconds(absl::GetFlag(FLAGS_urgent_run));
  demand.mean_long_run = ToMilliseconds(absl::GetFlag(FLAGS_long_run));
  return demand;
}

class LoadProgram {
 public:
  LoadProgram(Declaration declaration, std::string operator_secret)
      : declaration(std::move(declaration)) {
    this->calls.entries = absl::GetFlag(FLAGS_entries);
    this->calls.seed = absl::GetFlag(FLAGS_seed);
    this->events.entries = this->calls.entries;
    this->events.operator_secret = std::move(operator_secret);
  }

  Result<Json::Value> Run(const DemandSettings& demand,
                          const std::vector<ScriptedEvent>& script) {
    const Result<std::vector<ListedInstance>> fleet =
        FetchWorkers(&this->http, absl::GetFlag(FLAGS_instances));
    if (!fleet.ok()) {
      return fleet.error();
    }
    const Status keys = this->IssueKeys();
    if (!keys.ok()) {
      return keys.error();
    }
    std::this_thread::sleep_for(kKeyPropagationTime);
    const LoadRunResult run =
        PlayLoad(this->calls, PlanDemand(this->declaration, demand),
                 this->events, script);
    const Result<std::vector<StartRecord>> starts =
        FetchStartRecords(&this->http, fleet.value());
    if (!starts.ok()) {
      return starts.error();
    }
    return MakeReport(this->declaration, run,
                      FilterByLabel(starts.value(), demand.label));
  }

 private:
  Status IssueKeys() {
    for (const Team& team : this->declaration.teams) {
      Json::Value body;
      body["team"] = team.name.str();
      const Result<Json::Value> key = this->http.Call(
          "POST", "http://" + this->calls.entries.front() + "/v1/ops/keys",
          body, this->events.operator_secret);
      if (!key.ok()) {
        return key.error();
      }
      this->calls.secrets[team.name] = key.value()["secret"].asString();
      this->events.key_ids[team.name] = key.value()["id"].asString();
    }
    return OkStatus();
  }

  static std::vector<StartRecord> FilterByLabel(
      const std::vector<StartRecord>& starts,
      const std::string& label) {
    std::vector<StartRecord> own;
    for (const StartRecord& start : starts) {
      if (start.echo.rfind(label + "-", 0) == 0) {
        own.push_back(start);
      }
    }
    return own;
  }

  Declaration declaration;
  CallSettings calls;
  EventPlayer::Options events;
  BlockingHttp http;
};

int Fail(const Error& error) {
  std::cerr << error.ToString() << "\n";
  return kSetupFailure;
}

int Main() {
  const Result<Declaration> declaration = ReadDeclaration();
  if (!declaration.ok()) {
    return Fail(declaration.error());
  }
  const Result<std::vector<ScriptedEvent>> script = ReadScript();
  if (!script.ok()) {
    return Fail(script.error());
  }
  const Result<std::string> operator_key = ReadOperatorKey();
  if (!operator_key.ok()) {
    return Fail(operator_key.error());
  }
  if (absl::GetFlag(FLAGS_entries).empty()) {
    return Fail(
        MakeStartError("--entries", "at least one address is required"));
  }
  LoadProgram program(declaration.value(), operator_key.value());
  const Result<Json::Value> report = program.Run(ReadDemand(), script.value());
  if (!report.ok()) {
    return Fail(report.error());
  }
  std::cout << ReportText(report.value());
  const std::string path = absl::GetFlag(FLAGS_json);
  if (!path.empty()) {
    std::ofstream file(path);
    file << WriteJson(report.value()) << "\n";
    if (!file) {
      return Fail(MakeStartError(path, "cannot be written"));
    }
  }
  return IsClean(report.value()) ? 0 : 1;
}

}  // namespace
}  // namespace daisyroad

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Plays a site's demand against live entry instances; see docs/load.md.");
  absl::ParseCommandLine(argc, argv);
  return daisyroad::Main();
}

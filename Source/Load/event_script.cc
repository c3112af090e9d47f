#include "Load/event_script.h"

#include <array>
#include <csignal>
#include <optional>

#include "Core/Common/json.h"
#include "Core/Declaration/fault_list.h"
#include "Core/Declaration/table_reader.h"
#include "Core/Declaration/toml_document.h"

namespace daisyroad {
namespace {

constexpr char kStep[] = "load.script";
const std::vector<std::string> kSignalNames = {"KILL", "TERM", "STOP", "CONT"};
constexpr std::array<int, 4> kSignals = {SIGKILL, SIGTERM, SIGSTOP, SIGCONT};

class ScriptReader {
 public:
  ScriptReader(const std::map<std::string, pid_t>& processes, FaultList* faults)
      : processes(processes), faults(faults) {}

  ScriptedEvent ReadEvent(TableReader* table) {
    ScriptedEvent event;
    table->ReadDuration("at", Milliseconds(0), std::chrono::hours(24),
                        event.at);
    if (table->Has("post")) {
      event.action = this->ReadPost(table);
    } else if (table->Has("zone_out")) {
      event.action = ReadZone(table, "zone_out", true);
    } else if (table->Has("zone_in")) {
      event.action = ReadZone(table, "zone_in", false);
    } else if (table->Has("withdraw_key")) {
      std::string team;
      table->ReadName("withdraw_key", team);
      event.action = WithdrawTeamKey{TeamName(team)};
    } else {
      event.action = this->ReadSignal(table);
    }
    table->ReportUnknown();
    return event;
  }

 private:
  PostFault ReadPost(TableReader* table) {
    PostFault fault;
    std::string target;
    table->ReadText("post", Presence::kRequired, target);
    table->ReadText("json", Presence::kOptional, fault.body);
    const std::size_t slash = target.find('/');
    fault.address = target.substr(0, slash);
    if (slash != std::string::npos) {
      fault.path = target.substr(slash);
    }
    if (!ParseJson(fault.body).ok()) {
      this->faults->Add(table->FieldPath("json"), "is not valid JSON");
    }
    return fault;
  }

  static ChangeZone ReadZone(TableReader* table, const char* key, bool out) {
    std::string zone;
    table->ReadName(key, zone);
    return ChangeZone{ZoneName(zone), out};
  }

  SendSignal ReadSignal(TableReader* table) {
    SendSignal action;
    std::string name;
    const std::optional<std::size_t> signal =
        table->ReadChoice("signal", Presence::kRequired, kSignalNames);
    table->ReadText("process", Presence::kRequired, name);
    action.signal = signal ? kSignals.at(*signal) : 0;
    const auto process = this->processes.find(name);
    if (process == this->processes.end()) {
      this->faults->Add(table->FieldPath("process"),
                        "\"" + name + "\" is not given by --process");
    } else {
      action.process = process->second;
    }
    return action;
  }

  const std::map<std::string, pid_t>& processes;
  FaultList* faults;
};

}  // namespace

Result<std::vector<ScriptedEvent>> ParseEventScript(
    std::string_view text,
    const std::string& file_name,
    const std::map<std::string, pid_t>& processes) {
  FaultList faults;
  std::vector<ScriptedEvent> events;
  const std::optional<TomlValue> root = ParseToml(text, faults);
  if (root) {
    TableReader reader(*root, "", faults);
    ScriptReader script(processes, &faults);
    for (TableReader& table : reader.ReadTables("events")) {
      events.push_back(script.ReadEvent(&table));
    }
    reader.ReportUnknown();
  }
  if (!faults.empty()) {
    return faults.ToError(kStep, file_name);
  }
  return events;
}

}  // namespace daisyroad

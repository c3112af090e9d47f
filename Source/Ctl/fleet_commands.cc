#include "Ctl/fleet_commands.h"

#include <algorithm>
#include <string>

#include "Ctl/call_outcome.h"
#include "Ctl/lost_answer.h"
#include "Ctl/response_text.h"
#include "Ctl/server_client.h"
#include "Ctl/text_table.h"

namespace daisyroad {
namespace {

using Arguments = std::vector<std::string>;

constexpr char kPoolsPath[] = "/v1/ops/pools";
constexpr char kMaintenancePath[] = "/v1/ops/maintenance";

std::string StatusText(const Json::Value& body) {
  return "site " + Text(Member(body, "site")) + ", version " +
         Text(Member(body, "version")) + "\n\nENTRY INSTANCES\n" +
         ListText(Member(body, "instances"),
                  {"name", "zone", "version", "alive", "authority", "address",
                   "reason"}) +
         "\nZONES\n" +
         ListText(Member(body, "zones"),
                  {"name", "out", "version_min", "version_max"}) +
         "\nPOOLS\n" +
         ListText(Member(body, "pools"), {"name", "workers", "live", "leaving",
                                          "slots", "running", "queued"}) +
         "\nTEAMS\n" +
         ListText(Member(body, "teams"),
                  {"name", "share", "limit", "running", "queued"});
}

ExitCode RunStatus(const CommandContext& context, const Arguments&) {
  return Print(context, Read(context, "/v1/ops/status"), StatusText);
}

bool ZoneIs(const Json::Value& status, const std::string& zone, bool out) {
  for (const Json::Value& item : Member(status, "zones")) {
    if (Text(Member(item, "name")) == zone) {
      return Member(item, "out").isBool() && item["out"].asBool() == out;
    }
  }
  return false;
}

ExitCode TakeZone(const CommandContext& context,
                  const std::string& zone,
                  bool out) {
  CallOutcome outcome =
      Write(context, "POST",
            "/v1/ops/zones/" + EscapeUrl(zone) + (out ? "/out" : "/in"));
  if (outcome.open()) {
    context.err << "daisyroadctl: " << outcome.message << "; reading back\n";
    outcome = ReadBackEffect(
        context, "/v1/ops/status",
        [&zone, out](const Json::Value& status) {
          return ZoneIs(status, zone, out);
        },
        outcome);
  }
  return Print(context, outcome, ChangeText);
}

ExitCode RunZoneOut(const CommandContext& context, const Arguments& arguments) {
  return TakeZone(context, arguments[0], true);
}

ExitCode RunZoneIn(const CommandContext& context, const Arguments& arguments) {
  return TakeZone(context, arguments[0], false);
}

std::string PoolsText(const Json::Value& list) {
  TextTable table(
      {"POOL", "INSTANCE", "ZONE", "RACK", "STATE", "STEP", "RUNNING"});
  for (const Json::Value& pool : list) {
    for (const Json::Value& item : Member(pool, "instances")) {
      table.AddRow({Text(Member(pool, "pool")), Text(Member(item, "name")),
                    Text(Member(item, "zone")), Text(Member(item, "rack")),
                    Text(Member(item, "state")), Text(Member(item, "step")),
                    Text(Member(item, "running"))});
    }
  }
  return table.ToString();
}

ExitCode RunPoolList(const CommandContext& context, const Arguments&) {
  return Print(context, Read(context, kPoolsPath), PoolsText);
}

Json::Value FindInstance(const Json::Value& pools, const std::string& name) {
  for (const Json::Value& pool : pools) {
    for (const Json::Value& item : Member(pool, "instances")) {
      if (Text(Member(item, "name")) == name) {
        Json::Value found = item;
        found["pool"] = Member(pool, "pool");
        return found;
      }
    }
  }
  return Json::Value();
}

// Whether the instance is in a step of leaving its pool.
bool IsLeaving(const Json::Value& instance) {
  return !Text(Member(instance, "step")).empty() ||
         Text(Member(instance, "state")) == "leaving";
}

// A lost answer to a step of an instance is read back from the pools.
ExitCode StepInstance(
    const CommandContext& context,
    const std::string& path,
    const Json::Value& body,
    const std::string& instance,
    const std::function<bool(const Json::Value&)>& shows_effect) {
  CallOutcome outcome = Write(context, "POST", path, body);
  if (outcome.open()) {
    context.err << "daisyroadctl: " << outcome.message << "; reading back\n";
    outcome = ReadBackEffect(
        context, kPoolsPath,
        [&](const Json::Value& pools) {
          return shows_effect(FindInstance(pools, instance));
        },
        outcome);
  }
  return Print(context, outcome, FieldsText);
}

// A move is read back as written only once the instance is in the target pool:
// a step alone does not say where the instance goes.
ExitCode RunPoolMove(const CommandContext& context,
                     const Arguments& arguments) {
  Json::Value body;
  body["instance"] = arguments[0];
  body["pool"] = arguments[1];
  return StepInstance(context, "/v1/ops/moves", body, arguments[0],
                      [&arguments](const Json::Value& instance) {
                        return Text(Member(instance, "pool")) == arguments[1];
                      });
}

ExitCode RunDrain(const CommandContext& context, const Arguments& arguments) {
  return StepInstance(context,
                      "/v1/ops/instances/" + EscapeUrl(arguments[0]) + "/drain",
                      Json::Value(), arguments[0], IsLeaving);
}

// Columns are the members of the first item.
std::string AnyListText(const Json::Value& list) {
  if (!list.isArray() || list.empty() || !list[0].isObject()) {
    return Text(list) + "\n";
  }
  return ListText(list, list[0].getMemberNames());
}

std::string ScalarsText(const Json::Value& body,
                        const std::vector<std::string>& members) {
  Json::Value chosen(Json::objectValue);
  for (const std::string& member : members) {
    if (!Member(body, member).isNull()) {
      chosen[member] = Member(body, member);
    }
  }
  return FieldsText(chosen);
}

std::string MaintenanceStatusText(const Json::Value& body) {
  return ScalarsText(body, {"paused", "done", "remaining", "rollout_hours",
                            "lower_bound_hours"});
}

ExitCode RunMaintenancePlan(const CommandContext& context, const Arguments&) {
  return Print(
      context, Read(context, kMaintenancePath), [](const Json::Value& body) {
        return AnyListText(Member(body, "waves")) +
               ScalarsText(body, {"rollout_hours", "lower_bound_hours"});
      });
}

ExitCode RunMaintenanceStatus(const CommandContext& context, const Arguments&) {
  return Print(context, Read(context, kMaintenancePath), MaintenanceStatusText);
}

ExitCode SetPaused(const CommandContext& context, bool paused) {
  CallOutcome outcome =
      Write(context, "POST",
            std::string(kMaintenancePath) + (paused ? "/pause" : "/resume"));
  if (outcome.open()) {
    context.err << "daisyroadctl: " << outcome.message << "; reading back\n";
    outcome = ReadBackEffect(
        context, kMaintenancePath,
        [paused](const Json::Value& body) {
          return Member(body, "paused").isBool() &&
                 body["paused"].asBool() == paused;
        },
        outcome);
  }
  return Print(context, outcome, FieldsText);
}

ExitCode RunPause(const CommandContext& context, const Arguments&) {
  return SetPaused(context, true);
}

ExitCode RunResume(const CommandContext& context, const Arguments&) {
  return SetPaused(context, false);
}

// POOL:N
bool IsWhatIf(const std::string& text) {
  const std::size_t colon = text.find(':');
  return colon != std::string::npos && colon > 0 && colon + 1 < text.size() &&
         std::all_of(text.begin() + static_cast<std::ptrdiff_t>(colon) + 1,
                     text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

ExitCode RunPlan(const CommandContext& context, const Arguments&) {
  std::string query;
  for (const std::string& item : context.invocation.options.what_if) {
    if (!IsWhatIf(item)) {
      context.err << "daisyroadctl: --what-if must be POOL:N\n";
      return ExitCode::kUsage;
    }
    query += (query.empty() ? "?" : "&");
    query += "what_if=" + EscapeUrl(item);
  }
  return Print(context, Read(context, "/v1/ops/plan" + query),
               [](const Json::Value& body) {
                 return "BUFFERS\n" + AnyListText(Member(body, "buffers")) +
                        ScalarsText(body, {"cost_instance_hours"}) +
                        "\nGAIN\n" + AnyListText(Member(body, "gain"));
               });
}

}  // namespace

std::vector<Command> FleetCommands() {
  return {
      {{"status"},
       {},
       {},
       "show entry instances, zones, pools and teams",
       &RunStatus},
      {{"zone", "out"},
       {"ZONE"},
       {},
       "take an availability zone out: no task starts there",
       &RunZoneOut},
      {{"zone", "in"}, {"ZONE"}, {}, "bring a zone back", &RunZoneIn},
      {{"pool", "list"}, {}, {}, "list the pools' instances", &RunPoolList},
      {{"pool", "move"},
       {"INSTANCE", "POOL"},
       {},
       "move an instance to another pool",
       &RunPoolMove},
      {{"drain"},
       {"INSTANCE"},
       {},
       "let an instance finish its work and take no new work",
       &RunDrain},
      {{"maintenance", "plan"},
       {},
       {},
       "show the waves of the maintenance roll-out",
       &RunMaintenancePlan},
      {{"maintenance", "status"},
       {},
       {},
       "show the progress of the roll-out",
       &RunMaintenanceStatus},
      {{"maintenance", "pause"}, {}, {}, "start no new wave", &RunPause},
      {{"maintenance", "resume"}, {}, {}, "go on with waves", &RunResume},
      {{"plan"},
       {},
       {"what_if"},
       "show spare capacity by pool and zone, and its cost",
       &RunPlan},
  };
}

}  // namespace daisyroad

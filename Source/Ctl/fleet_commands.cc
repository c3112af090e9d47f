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
  return "site " + ValueText(Member(body, "site")) + ", version " +
         ValueText(Member(body, "version")) + "\n\nENTRY INSTANCES\n" +
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
  return PrintOutcome(context, Read(context, "/v1/ops/status"), StatusText);
}

bool HasZoneOutState(const Json::Value& status,
                     const std::string& zone,
                     bool out) {
  for (const Json::Value& item : Member(status, "zones")) {
    if (ValueText(Member(item, "name")) == zone) {
      return Member(item, "out").isBool() && item["out"].asBool() == out;
    }
  }
  return false;
}

ExitCode SetZoneOut(const CommandContext& context,
                    const std::string& zone,
                    bool out) {
  CallOutcome outcome =
      Write(context, "POST",
            "/v1/ops/zones/" + EscapeUrl(zone) + (out ? "/out" : "/in"));
  if (outcome.is_outcome_unknown()) {
    context.err << "daisyroadctl: " << outcome.message
                << "; reading back the result\n";
    outcome = ReadBackEffect(
        context, "/v1/ops/status",
        [&zone, out](const Json::Value& status) {
          return HasZoneOutState(status, zone, out);
        },
        outcome);
  }
  return PrintOutcome(context, outcome, ChangeText);
}

ExitCode RunZoneOut(const CommandContext& context, const Arguments& arguments) {
  return SetZoneOut(context, arguments[0], true);
}

ExitCode RunZoneIn(const CommandContext& context, const Arguments& arguments) {
  return SetZoneOut(context, arguments[0], false);
}

std::string PoolsText(const Json::Value& list) {
  TextTable table(
      {"POOL", "INSTANCE", "ZONE", "RACK", "STATE", "STEP", "RUNNING"});
  for (const Json::Value& pool : list) {
    for (const Json::Value& item : Member(pool, "instances")) {
      table.AddRow(
          {ValueText(Member(pool, "pool")), ValueText(Member(item, "name")),
           ValueText(Member(item, "zone")), ValueText(Member(item, "rack")),
           ValueText(Member(item, "state")), ValueText(Member(item, "step")),
           ValueText(Member(item, "running"))});
    }
  }
  return table.ToString();
}

ExitCode RunPoolList(const CommandContext& context, const Arguments&) {
  return PrintOutcome(context, Read(context, kPoolsPath), PoolsText);
}

Json::Value FindInstance(const Json::Value& pools, const std::string& name) {
  for (const Json::Value& pool : pools) {
    for (const Json::Value& item : Member(pool, "instances")) {
      if (ValueText(Member(item, "name")) == name) {
        Json::Value found = item;
        found["pool"] = Member(pool, "pool");
        return found;
      }
    }
  }
  return Json::Value();
}

// Whether the instance is leaving its pool.
bool IsLeaving(const Json::Value& instance) {
  return !ValueText(Member(instance, "step")).empty() ||
         ValueText(Member(instance, "state")) == "leaving";
}

// Posts a change to an instance. If the response is lost, the outcome is read
// back from the list of pools.
ExitCode ChangeInstance(
    const CommandContext& context,
    const std::string& path,
    const Json::Value& body,
    const std::string& instance,
    const std::function<bool(const Json::Value&)>& shows_effect) {
  CallOutcome outcome = Write(context, "POST", path, body);
  if (outcome.is_outcome_unknown()) {
    context.err << "daisyroadctl: " << outcome.message
                << "; reading back the result\n";
    outcome = ReadBackEffect(
        context, kPoolsPath,
        [&](const Json::Value& pools) {
          return shows_effect(FindInstance(pools, instance));
        },
        outcome);
  }
  return PrintOutcome(context, outcome, FieldsText);
}

// After a lost response, a move counts as accepted only once the instance is in
// the target pool, because its current step does not name the target pool.
ExitCode RunPoolMove(const CommandContext& context,
                     const Arguments& arguments) {
  Json::Value body;
  body["instance"] = arguments[0];
  body["pool"] = arguments[1];
  return ChangeInstance(context, "/v1/ops/moves", body, arguments[0],
                        [&arguments](const Json::Value& instance) {
                          return ValueText(Member(instance, "pool")) ==
                                 arguments[1];
                        });
}

ExitCode RunDrain(const CommandContext& context, const Arguments& arguments) {
  return ChangeInstance(
      context, "/v1/ops/instances/" + EscapeUrl(arguments[0]) + "/drain",
      Json::Value(), arguments[0], IsLeaving);
}

// Formats a table whose columns are the members of the first item.
std::string ListTextWithAllMembers(const Json::Value& list) {
  if (!list.isArray() || list.empty() || !list[0].isObject()) {
    return ValueText(list) + "\n";
  }
  return ListText(list, list[0].getMemberNames());
}

std::string SelectedFieldsText(const Json::Value& body,
                               const std::vector<std::string>& members) {
  Json::Value selected(Json::objectValue);
  for (const std::string& member : members) {
    if (!Member(body, member).isNull()) {
      selected[member] = Member(body, member);
    }
  }
  return FieldsText(selected);
}

std::string MaintenanceStatusText(const Json::Value& body) {
  return SelectedFieldsText(body, {"paused", "done", "remaining",
                                   "rollout_hours", "lower_bound_hours"});
}

ExitCode RunMaintenancePlan(const CommandContext& context, const Arguments&) {
  return PrintOutcome(
      context, Read(context, kMaintenancePath), [](const Json::Value& body) {
        return ListTextWithAllMembers(Member(body, "waves")) +
               SelectedFieldsText(body, {"rollout_hours", "lower_bound_hours"});
      });
}

ExitCode RunMaintenanceStatus(const CommandContext& context, const Arguments&) {
  return PrintOutcome(context, Read(context, kMaintenancePath),
                      MaintenanceStatusText);
}

ExitCode SetPaused(const CommandContext& context, bool paused) {
  CallOutcome outcome =
      Write(context, "POST",
            std::string(kMaintenancePath) + (paused ? "/pause" : "/resume"));
  if (outcome.is_outcome_unknown()) {
    context.err << "daisyroadctl: " << outcome.message
                << "; reading back the result\n";
    outcome = ReadBackEffect(
        context, kMaintenancePath,
        [paused](const Json::Value& body) {
          return Member(body, "paused").isBool() &&
                 body["paused"].asBool() == paused;
        },
        outcome);
  }
  return PrintOutcome(context, outcome, FieldsText);
}

ExitCode RunPause(const CommandContext& context, const Arguments&) {
  return SetPaused(context, true);
}

ExitCode RunResume(const CommandContext& context, const Arguments&) {
  return SetPaused(context, false);
}

// Whether `text` has the form POOL:N.
bool IsWhatIfValue(const std::string& text) {
  const std::size_t colon = text.find(':');
  return colon != std::string::npos && colon > 0 && colon + 1 < text.size() &&
         std::all_of(text.begin() + static_cast<std::ptrdiff_t>(colon) + 1,
                     text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

ExitCode RunPlan(const CommandContext& context, const Arguments&) {
  std::string query;
  for (const std::string& item : context.invocation.options.what_if) {
    if (!IsWhatIfValue(item)) {
      context.err << "daisyroadctl: --what-if must be POOL:N\n";
      return ExitCode::kUsage;
    }
    query += (query.empty() ? "?" : "&");
    query += "what_if=" + EscapeUrl(item);
  }
  return PrintOutcome(
      context, Read(context, "/v1/ops/plan" + query),
      [](const Json::Value& body) {
        return "BUFFERS\n" + ListTextWithAllMembers(Member(body, "buffers")) +
               SelectedFieldsText(body, {"cost_instance_hours"}) + "\nGAIN\n" +
               ListTextWithAllMembers(Member(body, "gain"));
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
      {{"maintenance", "resume"}, {}, {}, "start new waves again", &RunResume},
      {{"plan"},
       {},
       {"what_if"},
       "show spare capacity by pool and zone, and its cost",
       &RunPlan},
  };
}

}  // namespace daisyroad

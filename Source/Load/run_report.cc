#include "Load/run_report.h"

#include <algorithm>
#include <cstdio>
#include <map>

#include "Core/Common/json.h"
#include "Core/Declaration/declaration.h"
#include "Load/latency_histogram.h"
#include "Load/run_audit.h"
#include "Load/share_meter.h"

namespace daisyroad {
namespace {

constexpr std::size_t kMaxExamples = 10;
constexpr std::size_t kMaxReasonLength = 120;

double InMilliseconds(std::chrono::microseconds time) {
  return static_cast<double>(time.count()) / 1000.0;
}

double Seconds(WallTime from, WallTime to) {
  return std::chrono::duration<double>(to - from).count();
}

const char* StateName(CallState state) {
  switch (state) {
    case CallState::kNotSent:
      return "not_sent";
    case CallState::kOpen:
      return "open";
    case CallState::kDone:
      return "done";
    case CallState::kFailed:
      return "failed";
    case CallState::kStopped:
      return "stopped";
    case CallState::kNotRun:
      return "not_run";
    case CallState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

Json::Value Percentiles(const LatencyHistogram& latencies) {
  Json::Value value;
  value["p50"] = InMilliseconds(latencies.Percentile(0.5));
  value["p90"] = InMilliseconds(latencies.Percentile(0.9));
  value["p99"] = InMilliseconds(latencies.Percentile(0.99));
  value["max"] = InMilliseconds(latencies.Percentile(1.0));
  return value;
}

Json::Value Finding(const std::vector<std::string>& echoes) {
  Json::Value value;
  value["count"] = Json::UInt64(echoes.size());
  value["examples"] = Json::Value(Json::arrayValue);
  for (std::size_t i = 0; i < std::min(echoes.size(), kMaxExamples); ++i) {
    value["examples"].append(echoes[i]);
  }
  return value;
}

Json::Value Findings(const AuditReport& audit) {
  Json::Value value;
  value["lost_answers"] = Finding(audit.lost_answers);
  value["wrong_answers"] = Finding(audit.wrong_answers);
  value["doubled_runs"] = Finding(audit.doubled_runs);
  value["false_not_run"] = Finding(audit.false_not_run);
  value["done_but_not_run"] = Finding(audit.done_not_run);
  value["starts_in_zone_out"] = Finding(audit.starts_in_zone_out);
  value["withdrawn_key_accepted"] = Finding(audit.withdrawn_key_accepts);
  return value;
}

Json::Value CountStates(const LoadRunResult& run) {
  Json::Value counts(Json::objectValue);
  for (const CallRecord& call : run.calls) {
    Json::Value& count = counts[StateName(call.state)];
    count = count.asUInt64() + 1;
  }
  return counts;
}

// Last error of a call. Digits are removed so that the same error of different
// calls is counted together.
std::string ReasonOf(const CallRecord& call) {
  const Result<Json::Value> problem = ParseJson(call.detail);
  std::string detail = call.detail;
  if (problem.ok() && problem.value().isObject()) {
    detail = problem.value()["detail"].asString();
  }
  detail.erase(std::remove_if(detail.begin(), detail.end(),
                              [](char c) { return c >= '0' && c <= '9'; }),
               detail.end());
  return std::string(StateName(call.state)) + " " +
         std::to_string(call.status) + " " + detail.substr(0, kMaxReasonLength);
}

// Counts the last errors of the calls that ended as not run or unknown.
Json::Value CountReasons(const LoadRunResult& run) {
  Json::Value counts(Json::objectValue);
  for (const CallRecord& call : run.calls) {
    if (call.state == CallState::kNotRun || call.state == CallState::kUnknown) {
      Json::Value& count = counts[ReasonOf(call)];
      count = count.asUInt64() + 1;
    }
  }
  return counts;
}

// Latency until the answer and until the first start, by queue.
Json::Value QueueFigures(const LoadRunResult& run,
                         const std::vector<StartRecord>& starts) {
  std::map<std::string, WallTime> first;
  for (const StartRecord& start : starts) {
    const auto known = first.emplace(start.echo, start.started).first;
    known->second = std::min(known->second, start.started);
  }
  std::map<std::string, LatencyHistogram> answers;
  std::map<std::string, LatencyHistogram> start_delays;
  for (const CallRecord& call : run.calls) {
    const std::string& queue = call.plan.queue.str();
    if (call.state == CallState::kDone) {
      answers[queue].Add(call.ended - call.sent);
    }
    const auto start = first.find(call.plan.echo);
    if (start != first.end()) {
      start_delays[queue].Add(start->second - call.sent);
    }
  }
  Json::Value figures(Json::objectValue);
  for (const std::pair<const std::string, LatencyHistogram>& queue : answers) {
    Json::Value& item = figures[queue.first];
    item["done"] = Json::UInt64(queue.second.count());
    item["answer_ms"] = Percentiles(queue.second);
    item["start_ms"] = Percentiles(start_delays[queue.first]);
  }
  return figures;
}

Json::Value TeamFigures(const Declaration& declaration,
                        const AuditReport& audit) {
  Json::Value figures(Json::objectValue);
  for (const Team& team : declaration.teams) {
    const auto most = audit.max_running.find(team.name);
    const int running = most == audit.max_running.end() ? 0 : most->second;
    Json::Value& item = figures[team.name.str()];
    item["most_running"] = running;
    item["upper_limit"] = Json::Int64(team.upper_limit);
    item["over_limit"] = running > team.upper_limit;
  }
  return figures;
}

Json::Value ShareFigures(const std::vector<ShareUse>& uses) {
  Json::Value list(Json::arrayValue);
  for (const ShareUse& use : uses) {
    Json::Value item;
    item["pool"] = use.pool.str();
    item["team"] = use.team.str();
    item["busy_seconds"] = use.busy_seconds;
    item["slot_seconds"] = use.slot_seconds;
    item["due_slot_seconds"] = use.due_slot_seconds;
    item["ratio"] = use.due_slot_seconds > 0.0
                        ? use.slot_seconds / use.due_slot_seconds
                        : 0.0;
    list.append(item);
  }
  return list;
}

// Tasks started in each zone in each second of the run.
Json::Value StartsBySecond(const LoadRunResult& run,
                           const std::vector<StartRecord>& starts) {
  const std::size_t length =
      static_cast<std::size_t>(Seconds(run.started, run.ended)) + 1;
  std::map<std::string, std::vector<int>> counts;
  for (const StartRecord& start : starts) {
    std::vector<int>& zone = counts[start.zone.str()];
    zone.resize(length);
    const double at = Seconds(run.started, start.started);
    if (at >= 0.0 && static_cast<std::size_t>(at) < length) {
      ++zone[static_cast<std::size_t>(at)];
    }
  }
  Json::Value value(Json::objectValue);
  for (const std::pair<const std::string, std::vector<int>>& zone : counts) {
    for (const int count : zone.second) {
      value[zone.first].append(count);
    }
  }
  return value;
}

Json::Value EventList(const LoadRunResult& run) {
  Json::Value list(Json::arrayValue);
  for (const PlayedEvent& event : run.events) {
    Json::Value item;
    item["at_s"] = Seconds(run.started, event.sent);
    item["answered_s"] = Seconds(run.started, event.answered);
    item["ok"] = event.ok;
    item["detail"] = event.detail;
    list.append(item);
  }
  return list;
}

template <typename... Arguments>
std::string Line(const char* format, Arguments... arguments) {
  char buffer[256];
  std::snprintf(buffer, sizeof(buffer), format, arguments...);
  return std::string(buffer) + "\n";
}

std::string QueueText(const Json::Value& queues) {
  std::string text =
      Line("%-24s %7s %9s %9s %9s %9s %9s", "queue (ms)", "done", "ans p50",
           "ans p99", "ans max", "start p50", "start p99");
  for (const std::string& name : queues.getMemberNames()) {
    const Json::Value& queue = queues[name];
    text += Line("%-24s %7d %9.1f %9.1f %9.1f %9.1f %9.1f", name.c_str(),
                 queue["done"].asInt(), queue["answer_ms"]["p50"].asDouble(),
                 queue["answer_ms"]["p99"].asDouble(),
                 queue["answer_ms"]["max"].asDouble(),
                 queue["start_ms"]["p50"].asDouble(),
                 queue["start_ms"]["p99"].asDouble());
  }
  return text;
}

std::string ShareText(const Json::Value& shares) {
  std::string text = Line("%-16s %-18s %8s %12s %12s %7s", "pool", "team",
                          "busy s", "slot s", "due slot s", "ratio");
  for (const Json::Value& item : shares) {
    text +=
        Line("%-16s %-18s %8.1f %12.1f %12.1f %7.3f", item["pool"].asCString(),
             item["team"].asCString(), item["busy_seconds"].asDouble(),
             item["slot_seconds"].asDouble(),
             item["due_slot_seconds"].asDouble(), item["ratio"].asDouble());
  }
  return text;
}

}  // namespace

Json::Value MakeReport(const Declaration& declaration,
                       const LoadRunResult& run,
                       const std::vector<StartRecord>& starts) {
  const AuditReport audit = AuditRun(run, starts);
  Json::Value report;
  const double seconds = Seconds(run.started, run.ended);
  report["site"] = declaration.site;
  report["seconds"] = seconds;
  report["calls"] = Json::UInt64(run.calls.size());
  report["states"] = CountStates(run);
  report["reasons"] = CountReasons(run);
  report["done_per_second"] = report["states"]["done"].asDouble() / seconds;
  report["late_answers"] = Finding(audit.late_answers);
  report["findings"] = Findings(audit);
  report["queues"] = QueueFigures(run, starts);
  report["teams"] = TeamFigures(declaration, audit);
  report["shares"] = ShareFigures(MeasureShares(declaration, run, starts));
  report["starts_by_second"] = StartsBySecond(run, starts);
  report["events"] = EventList(run);
  return report;
}

std::string ReportText(const Json::Value& report) {
  std::string text =
      Line("site %s: %d calls in %.1f s, %.1f done/s",
           report["site"].asCString(), report["calls"].asInt(),
           report["seconds"].asDouble(), report["done_per_second"].asDouble());
  for (const std::string& state : report["states"].getMemberNames()) {
    text += Line("  %-10s %7d", state.c_str(), report["states"][state].asInt());
  }
  text += Line("late answers: %d", report["late_answers"]["count"].asInt());
  for (const std::string& name : report["findings"].getMemberNames()) {
    text += Line("%-24s %7d", name.c_str(),
                 report["findings"][name]["count"].asInt());
  }
  text += QueueText(report["queues"]);
  for (const std::string& name : report["teams"].getMemberNames()) {
    const Json::Value& team = report["teams"][name];
    text += Line("team %-20s most running %4d of %4d%s", name.c_str(),
                 team["most_running"].asInt(), team["upper_limit"].asInt(),
                 team["over_limit"].asBool() ? "  OVER" : "");
  }
  return text + ShareText(report["shares"]);
}

bool IsClean(const Json::Value& report) {
  const std::vector<std::string> findings = report["findings"].getMemberNames();
  const std::vector<std::string> teams = report["teams"].getMemberNames();
  // If an event failed, the checks that depend on it have tested nothing.
  return std::all_of(
             report["events"].begin(), report["events"].end(),
             [](const Json::Value& event) { return event["ok"].asBool(); }) &&
         std::all_of(findings.begin(), findings.end(),
                     [&report](const std::string& name) {
                       return report["findings"][name]["count"] == 0;
                     }) &&
         std::none_of(teams.begin(), teams.end(),
                      [&report](const std::string& name) {
                        return report["teams"][name]["over_limit"].asBool();
                      });
}

}  // namespace daisyroad

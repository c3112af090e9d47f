#include "Load/run_audit.h"

#include <algorithm>
#include <utility>

namespace daisyroad {
namespace {

using StartsByEcho = std::map<std::string, std::vector<StartRecord>>;

struct Interval {
  WallTime from;
  WallTime to;
};

StartsByEcho GroupByEcho(const std::vector<StartRecord>& starts) {
  StartsByEcho grouped;
  for (const StartRecord& start : starts) {
    grouped[start.echo].push_back(start);
  }
  return grouped;
}

int CountRuns(const StartsByEcho& starts, const std::string& echo) {
  const auto found = starts.find(echo);
  if (found == starts.end()) {
    return 0;
  }
  return static_cast<int>(
      std::count_if(found->second.begin(), found->second.end(),
                    [](const StartRecord& start) { return !start.resumed; }));
}

void AuditCall(const CallRecord& call,
               const StartsByEcho& starts,
               AuditReport* report) {
  const std::string& echo = call.plan.echo;
  const int runs = CountRuns(starts, echo);
  if (call.state == CallState::kUnknown || call.state == CallState::kOpen) {
    report->lost_answers.push_back(echo);
  }
  if (call.has_wrong_answer) {
    report->wrong_answers.push_back(echo);
  }
  if (call.state == CallState::kDone &&
      call.ended - call.sent > call.plan.deadline + call.plan.run) {
    report->late_answers.push_back(echo);
  }
  if (!call.plan.idempotent && runs > 1) {
    report->doubled_runs.push_back(echo);
  }
  // After an attempt with unknown outcome, `not_run` covers only the later
  // attempt.
  if (call.state == CallState::kNotRun && !call.is_uncertain && runs > 0) {
    report->false_not_run.push_back(echo);
  }
  if (call.state == CallState::kDone && runs == 0) {
    report->done_not_run.push_back(echo);
  }
}

// Intervals in which no task may start in each zone, from when taking it out
// must be in force until it is taken in again.
std::map<ZoneName, std::vector<Interval>> ZoneOutIntervals(
    const LoadRunResult& run) {
  std::map<ZoneName, std::vector<Interval>> times;
  for (const PlayedEvent& event : run.events) {
    const ChangeZone* change = std::get_if<ChangeZone>(&event.event.action);
    if (change == nullptr || !event.ok) {
      continue;
    }
    std::vector<Interval>& zone = times[change->zone];
    if (change->is_out) {
      zone.push_back(
          Interval{event.answered + kPropagationTime, WallTime::max()});
    } else if (!zone.empty()) {
      zone.back().to = event.sent;
    }
  }
  return times;
}

void AuditZones(const LoadRunResult& run,
                const std::vector<StartRecord>& starts,
                AuditReport* report) {
  const std::map<ZoneName, std::vector<Interval>> out = ZoneOutIntervals(run);
  for (const StartRecord& start : starts) {
    const auto zone = out.find(start.zone);
    if (zone == out.end()) {
      continue;
    }
    for (const Interval& interval : zone->second) {
      if (start.started > interval.from && start.started < interval.to) {
        report->starts_in_zone_out.push_back(start.echo);
      }
    }
  }
}

void AuditKeys(const LoadRunResult& run, AuditReport* report) {
  for (const PlayedEvent& event : run.events) {
    const WithdrawTeamKey* key =
        std::get_if<WithdrawTeamKey>(&event.event.action);
    if (key == nullptr || !event.ok) {
      continue;
    }
    for (const CallRecord& call : run.calls) {
      if (call.plan.team == key->team && call.was_accepted &&
          call.sent > event.answered + kPropagationTime) {
        report->withdrawn_key_accepts.push_back(call.plan.echo);
      }
    }
  }
}

std::map<TeamName, int> CountMaxRunning(
    const std::vector<StartRecord>& starts) {
  // Records have millisecond resolution, so ends sort before starts at the same
  // time.
  std::map<TeamName, std::vector<std::pair<WallTime, int>>> steps;
  for (const StartRecord& start : starts) {
    steps[start.team].emplace_back(start.started, 1);
    steps[start.team].emplace_back(start.ended, -1);
  }
  std::map<TeamName, int> most;
  for (std::pair<const TeamName, std::vector<std::pair<WallTime, int>>>& team :
       steps) {
    std::sort(team.second.begin(), team.second.end());
    int running = 0;
    for (const std::pair<WallTime, int>& step : team.second) {
      running += step.second;
      most[team.first] = std::max(most[team.first], running);
    }
  }
  return most;
}

}  // namespace

AuditReport AuditRun(const LoadRunResult& run,
                     const std::vector<StartRecord>& starts) {
  AuditReport report;
  const StartsByEcho by_echo = GroupByEcho(starts);
  for (const CallRecord& call : run.calls) {
    AuditCall(call, by_echo, &report);
  }
  AuditZones(run, starts, &report);
  AuditKeys(run, &report);
  report.max_running = CountMaxRunning(starts);
  return report;
}

}  // namespace daisyroad

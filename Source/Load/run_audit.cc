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
    report->lost.push_back(echo);
  }
  if (call.wrong_answer) {
    report->wrong.push_back(echo);
  }
  if (call.state == CallState::kDone &&
      call.ended - call.sent > call.plan.deadline + call.plan.run) {
    report->late.push_back(echo);
  }
  if (!call.plan.idempotent && runs > 1) {
    report->doubled.push_back(echo);
  }
  // After an attempt of unknown fate, `not_run` speaks of the later call only.
  if (call.state == CallState::kNotRun && !call.uncertain && runs > 0) {
    report->false_not_run.push_back(echo);
  }
  if (call.state == CallState::kDone && runs == 0) {
    report->done_not_run.push_back(echo);
  }
}

// Times from which no start may come in each zone, up to its return.
std::map<ZoneName, std::vector<Interval>> OutTimes(const LoadRunResult& run) {
  std::map<ZoneName, std::vector<Interval>> times;
  for (const PlayedEvent& event : run.events) {
    const ChangeZone* change = std::get_if<ChangeZone>(&event.event.action);
    if (change == nullptr || !event.ok) {
      continue;
    }
    std::vector<Interval>& zone = times[change->zone];
    if (change->out) {
      zone.push_back(Interval{event.answered + kInForceTime, WallTime::max()});
    } else if (!zone.empty()) {
      zone.back().to = event.sent;
    }
  }
  return times;
}

void AuditZones(const LoadRunResult& run,
                const std::vector<StartRecord>& starts,
                AuditReport* report) {
  const std::map<ZoneName, std::vector<Interval>> out = OutTimes(run);
  for (const StartRecord& start : starts) {
    const auto zone = out.find(start.zone);
    if (zone == out.end()) {
      continue;
    }
    for (const Interval& interval : zone->second) {
      if (start.started > interval.from && start.started < interval.to) {
        report->out_zone_starts.push_back(start.echo);
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
      if (call.plan.team == key->team && call.accepted &&
          call.sent > event.answered + kInForceTime) {
        report->withdrawn_accepts.push_back(call.plan.echo);
      }
    }
  }
}

std::map<TeamName, int> MostRunning(const std::vector<StartRecord>& starts) {
  // At equal times the ends come first: records have whole milliseconds.
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
  report.most_running = MostRunning(starts);
  return report;
}

}  // namespace daisyroad

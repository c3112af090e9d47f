// Accounts of running tasks and the decisions that move room between teams.

#include <algorithm>
#include <chrono>

#include "Core/Shares/fair_queue.h"

namespace daisyroad {
namespace {

// Bounds the work of one call; the next call continues.
constexpr std::size_t kMaximumReclaims = 64;
// Running tasks of a team that are looked at as victims, latest start first.
constexpr int kVictimAttempts = 8;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::size_t FairQueue::TeamIndex(const TeamName& name) {
  const std::size_t* known = this->FindTeam(name);
  if (known != nullptr) {
    return *known;
  }
  const std::size_t index = this->ledger.AddTeam(1.0);
  this->team_index.emplace(name, index);
  this->teams.emplace_back();
  return index;
}

const std::size_t* FairQueue::FindTeam(const TeamName& name) const {
  const std::map<TeamName, std::size_t>::const_iterator it =
      this->team_index.find(name);
  return it == this->team_index.end() ? nullptr : &it->second;
}

std::size_t FairQueue::Running(const TeamName& team) const {
  const std::size_t* index = this->FindTeam(team);
  return index == nullptr ? 0 : this->teams[*index].running;
}

double FairQueue::Usage(const TeamName& team) const {
  const std::size_t* index = this->FindTeam(team);
  return index == nullptr ? 0.0 : this->ledger.Usage(*index);
}

double FairQueue::Deficit(const TeamName& team) const {
  const std::size_t* index = this->FindTeam(team);
  return index == nullptr ? 0.0 : this->ledger.Deficit(*index);
}

TaskStore::List& FairQueue::WaitingList(Team& team, TaskClass task_class) {
  return task_class == TaskClass::kUrgent ? team.urgent : team.background;
}

void FairQueue::Link(Index index, bool front) {
  const TaskStore::Node& node = this->store.At(index);
  const bool is_long = node.task.task_class == TaskClass::kLong;
  Team& team = this->teams[node.team];
  TaskStore::List& list = this->WaitingList(team, node.task.task_class);
  (is_long ? team.queued_long : team.queued_urgent) +=
      node.share * node.seconds;
  this->long_waiting += is_long ? 1 : 0;
  ++this->waiting;
  if (front) {
    this->store.PushFront(list, index);
  } else {
    this->store.PushBack(list, index);
  }
  this->UpdateWaiting(node.team);
}

void FairQueue::UnlinkWaiting(Index index) {
  const TaskStore::Node& node = this->store.At(index);
  const bool is_long = node.task.task_class == TaskClass::kLong;
  Team& team = this->teams[node.team];
  TaskStore::List& list = this->WaitingList(team, node.task.task_class);
  double& work = is_long ? team.queued_long : team.queued_urgent;
  this->store.Unlink(list, index);
  // An empty list has no work; this also ends the accumulation of rounding.
  work = list.count == 0 ? 0.0 : work - node.share * node.seconds;
  this->long_waiting -= is_long ? 1 : 0;
  --this->waiting;
  this->UpdateWaiting(node.team);
}

void FairQueue::UpdateWaiting(std::size_t team) {
  const Team& state = this->teams[team];
  this->ledger.SetWaiting(team,
                          state.urgent.count + state.background.count > 0);
}

// Replaces what the running task is charged for.
void FairQueue::Charge(Index index, const Resources& usage) {
  TaskStore::Node& node = this->store.At(index);
  Team& team = this->teams[node.team];
  const double share = usage.DominantShare(this->total);
  const double change = share - node.share;
  if (node.reclaiming) {
    team.reclaiming += change;
    this->teams[node.claimant].promised += change;
    this->long_reclaiming += change;
  }
  if (node.task.task_class == TaskClass::kLong) {
    this->long_usage += change;
  } else {
    team.urgent_usage += change;
  }
  node.usage = usage;
  node.share = share;
  this->ledger.AddUsage(node.team, change);
}

void FairQueue::Release(Index index) {
  this->EndReclaim(index, true);
  this->Charge(index, Resources{});
  TaskStore::Node& node = this->store.At(index);
  Team& team = this->teams[node.team];
  --team.running;
  this->throttled_count -= node.throttled ? 1 : 0;
  node.throttled = false;
  if (node.task.task_class == TaskClass::kLong) {
    this->store.Unlink(team.running_long, index);
  }
}

void FairQueue::EndReclaim(Index index, bool room_is_free) {
  TaskStore::Node& node = this->store.At(index);
  if (!node.reclaiming) {
    return;
  }
  node.reclaiming = false;
  Team& claimant = this->teams[node.claimant];
  claimant.promised = std::max(0.0, claimant.promised - node.share);
  claimant.grants += room_is_free ? 1 : 0;
  Team& team = this->teams[node.team];
  team.reclaiming = std::max(0.0, team.reclaiming - node.share);
  this->long_reclaiming = std::max(0.0, this->long_reclaiming - node.share);
}

void FairQueue::ReclaimFailed(const TaskId& id, MonotonicTime now) {
  const Index index = this->store.Find(id);
  if (index != TaskStore::kNone && this->store.At(index).running) {
    this->EndReclaim(index, false);
    // Counts as a new start, so that the task is not chosen again at once.
    this->store.At(index).started = now;
  }
}

bool FairQueue::UrgentMayPass(std::size_t team) const {
  return this->ledger.Deficit(team) > -Seconds(this->settings.urgent_credit) *
                                          this->ledger.Entitlement(team);
}

bool FairQueue::LongIsBelowMinimum() const {
  return this->long_waiting > 0 &&
         this->long_usage < this->settings.long_minimum;
}

std::vector<ReclaimDecision> FairQueue::Reclaim(MonotonicTime now,
                                                const Resources& free) {
  this->ledger.Accrue(now);
  std::vector<ReclaimDecision> decisions;
  if (this->waiting == 0) {
    this->RestoreThrottled(decisions);
    return decisions;
  }
  const bool slots_free = free.slots >= 1.0;
  while (decisions.size() < kMaximumReclaims) {
    const Index victim = this->Victim(now, slots_free);
    if (victim == TaskStore::kNone) {
      break;
    }
    const std::size_t from = this->store.At(victim).team;
    std::optional<std::size_t> claimant = this->UrgentClaimant();
    if (!claimant.has_value()) {
      claimant = this->LongClaimant();
      if (!claimant.has_value() || *claimant == from ||
          this->ledger.Score(*claimant, this->teams[*claimant].promised) -
                  this->VictimScore(from) <
              Seconds(this->settings.reclaim_gap)) {
        break;
      }
    }
    decisions.push_back(this->BeginReclaim(victim, *claimant));
  }
  return decisions;
}

// A team whose waiting urgent work exceeds the room already being freed for it.
std::optional<std::size_t> FairQueue::UrgentClaimant() const {
  const double remaining = this->long_usage - this->long_reclaiming;
  if (remaining <= this->settings.long_minimum) {
    return std::nullopt;
  }
  for (std::size_t team = 0; team < this->teams.size(); ++team) {
    const Team& state = this->teams[team];
    if (state.urgent.count == 0 || !this->UrgentMayPass(team)) {
      continue;
    }
    const double share = this->store.At(state.urgent.head).share;
    if (static_cast<double>(state.urgent.count) * share >
        state.promised + share / 2) {
      return team;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> FairQueue::LongClaimant() const {
  std::optional<std::size_t> best;
  double best_score = 0.0;
  for (std::size_t team = 0; team < this->teams.size(); ++team) {
    const Team& state = this->teams[team];
    if (state.background.count + state.urgent.count == 0) {
      continue;
    }
    const double score = this->ledger.Score(team, state.promised);
    if (!best.has_value() || score > best_score) {
      best = team;
      best_score = score;
    }
  }
  return best;
}

double FairQueue::VictimScore(std::size_t team) const {
  return this->ledger.Score(team, -this->teams[team].reclaiming);
}

// A running long task of the team that is furthest ahead.
FairQueue::Index FairQueue::Victim(MonotonicTime now, bool slots_free) const {
  Index best = TaskStore::kNone;
  double best_score = 0.0;
  for (std::size_t team = 0; team < this->teams.size(); ++team) {
    if (this->teams[team].running_long.count == 0) {
      continue;
    }
    const double score = this->VictimScore(team);
    if (best != TaskStore::kNone && score >= best_score) {
      continue;
    }
    const Index index = this->VictimOf(this->teams[team], now, slots_free);
    if (index != TaskStore::kNone) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

// Throttling frees cores but no slot, so it helps only while slots are free.
FairQueue::Index FairQueue::VictimOf(const Team& team,
                                     MonotonicTime now,
                                     bool slots_free) const {
  Index index = team.running_long.tail;
  for (int i = 0; i < kVictimAttempts && index != TaskStore::kNone; ++i) {
    const TaskStore::Node& node = this->store.At(index);
    const bool useful =
        node.task.checkpointable || (slots_free && !node.throttled);
    if (!node.reclaiming && useful &&
        now - node.started >= this->settings.minimum_run) {
      return index;
    }
    index = node.previous;
  }
  return TaskStore::kNone;
}

ReclaimDecision FairQueue::BeginReclaim(Index victim, std::size_t claimant) {
  TaskStore::Node& node = this->store.At(victim);
  ReclaimDecision decision;
  decision.task = node.task.id;
  decision.from = node.task.team;
  for (const std::pair<const TeamName, std::size_t>& entry : this->team_index) {
    if (entry.second == claimant) {
      decision.to = entry.first;
    }
  }
  if (!node.task.checkpointable) {
    decision.action = ReclaimAction::kThrottle;
    node.throttled = true;
    ++this->throttled_count;
    return decision;
  }
  node.reclaiming = true;
  node.claimant = claimant;
  this->teams[claimant].promised += node.share;
  this->teams[node.team].reclaiming += node.share;
  this->long_reclaiming += node.share;
  return decision;
}

void FairQueue::RestoreThrottled(std::vector<ReclaimDecision>& decisions) {
  for (Team& team : this->teams) {
    Index index =
        this->throttled_count > 0 ? team.running_long.head : TaskStore::kNone;
    for (; index != TaskStore::kNone; index = this->store.At(index).next) {
      TaskStore::Node& node = this->store.At(index);
      if (node.throttled) {
        node.throttled = false;
        --this->throttled_count;
        decisions.push_back({node.task.id, ReclaimAction::kRestore,
                             node.task.team, TeamName()});
      }
    }
  }
}

}  // namespace daisyroad

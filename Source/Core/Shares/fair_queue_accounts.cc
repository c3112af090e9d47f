// Accounts of waiting and running tasks.

#include <algorithm>

#include "Core/Shares/fair_queue.h"

namespace daisyroad {

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
  const bool waits = state.urgent.count + state.background.count > 0;
  this->ledger.SetWaiting(team, waits && !state.blocked);
}

// Shares are fractions of the cell; when workers come or go, the tasks already
// known take a different fraction.
void FairQueue::Rescale() {
  for (Index index = 0; index < this->store.index_end(); ++index) {
    TaskStore::Node& node = this->store.At(index);
    if (node.task.id.empty()) {
      continue;
    }
    if (node.running) {
      this->Charge(index, node.usage);
      continue;
    }
    const double share = node.size.DominantShare(this->total);
    Team& team = this->teams[node.team];
    (node.task.task_class == TaskClass::kLong ? team.queued_long
                                              : team.queued_urgent) +=
        (share - node.share) * node.seconds;
    node.share = share;
  }
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

}  // namespace daisyroad

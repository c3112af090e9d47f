// FairQueue: accounting of waiting and running tasks.

#include <algorithm>

#include "Core/Shares/fair_queue.h"

namespace daisyroad {

std::size_t FairQueue::FindOrAddTeam(const TeamName& name) {
  const std::size_t* existing = this->FindTeam(name);
  if (existing != nullptr) {
    return *existing;
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
  return index == nullptr ? 0 : this->teams[*index].running_count;
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
  return task_class == TaskClass::kUrgent ? team.waiting_urgent
                                          : team.waiting_long;
}

void FairQueue::AddWaiting(Index index, bool at_front) {
  const TaskStore::Node& node = this->store.At(index);
  const bool is_long = node.task.task_class == TaskClass::kLong;
  Team& team = this->teams[node.team];
  TaskStore::List& list = this->WaitingList(team, node.task.task_class);
  (is_long ? team.waiting_long_work : team.waiting_urgent_work) +=
      node.share * node.expected_seconds;
  this->waiting_long_count += is_long ? 1 : 0;
  ++this->waiting_task_count;
  if (at_front) {
    this->store.PushFront(list, index);
  } else {
    this->store.PushBack(list, index);
  }
  this->UpdateWaiting(node.team);
}

void FairQueue::RemoveWaiting(Index index) {
  const TaskStore::Node& node = this->store.At(index);
  const bool is_long = node.task.task_class == TaskClass::kLong;
  Team& team = this->teams[node.team];
  TaskStore::List& list = this->WaitingList(team, node.task.task_class);
  double& work = is_long ? team.waiting_long_work : team.waiting_urgent_work;
  this->store.Unlink(list, index);
  // An empty list has no work; the reset discards accumulated rounding errors.
  work = list.count == 0 ? 0.0 : work - node.share * node.expected_seconds;
  this->waiting_long_count -= is_long ? 1 : 0;
  --this->waiting_task_count;
  this->UpdateWaiting(node.team);
}

void FairQueue::UpdateWaiting(std::size_t team) {
  const Team& state = this->teams[team];
  const bool has_waiting =
      state.waiting_urgent.count + state.waiting_long.count > 0;
  this->ledger.SetWaiting(team, has_waiting && !state.is_blocked);
}

// Recomputes the shares of all tasks: they are fractions of the cell, and its
// capacity changes when workers are added or removed.
void FairQueue::RescaleShares() {
  for (Index index = 0; index < this->store.index_end(); ++index) {
    TaskStore::Node& node = this->store.At(index);
    if (node.task.id.empty()) {
      continue;
    }
    if (node.is_running) {
      this->SetUsage(index, node.usage);
      continue;
    }
    const double share = node.size.DominantShare(this->cell_capacity);
    Team& team = this->teams[node.team];
    (node.task.task_class == TaskClass::kLong ? team.waiting_long_work
                                              : team.waiting_urgent_work) +=
        (share - node.share) * node.expected_seconds;
    node.share = share;
  }
}

// Replaces the usage for which a running task is accounted.
void FairQueue::SetUsage(Index index, const Resources& usage) {
  TaskStore::Node& node = this->store.At(index);
  Team& team = this->teams[node.team];
  const double share = usage.DominantShare(this->cell_capacity);
  const double share_change = share - node.share;
  if (node.is_being_reclaimed) {
    team.reclaiming_from += share_change;
    this->teams[node.claimant].reclaiming_for += share_change;
    this->reclaiming_long_usage += share_change;
  }
  if (node.task.task_class == TaskClass::kLong) {
    this->long_usage += share_change;
  } else {
    team.urgent_usage += share_change;
  }
  node.usage = usage;
  node.share = share;
  this->ledger.AddUsage(node.team, share_change);
}

void FairQueue::Release(Index index) {
  this->EndReclaim(index, true);
  this->SetUsage(index, Resources{});
  TaskStore::Node& node = this->store.At(index);
  Team& team = this->teams[node.team];
  --team.running_count;
  this->throttled_count -= node.is_throttled ? 1 : 0;
  node.is_throttled = false;
  if (node.task.task_class == TaskClass::kLong) {
    this->store.Unlink(team.running_long, index);
  }
}

void FairQueue::EndReclaim(Index index, bool is_capacity_free) {
  TaskStore::Node& node = this->store.At(index);
  if (!node.is_being_reclaimed) {
    return;
  }
  node.is_being_reclaimed = false;
  Team& claimant = this->teams[node.claimant];
  claimant.reclaiming_for = std::max(0.0, claimant.reclaiming_for - node.share);
  claimant.pending_grants += is_capacity_free ? 1 : 0;
  Team& team = this->teams[node.team];
  team.reclaiming_from = std::max(0.0, team.reclaiming_from - node.share);
  this->reclaiming_long_usage =
      std::max(0.0, this->reclaiming_long_usage - node.share);
}

}  // namespace daisyroad

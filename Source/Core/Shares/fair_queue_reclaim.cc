// FairQueue: decisions to reclaim resources from running long tasks.

#include <algorithm>
#include <chrono>

#include "Core/Shares/fair_queue.h"

namespace daisyroad {
namespace {

// Limits the work of one Reclaim call; the next call continues.
constexpr std::size_t kMaximumReclaims = 64;
constexpr std::chrono::seconds kAllowanceWindow{5};
constexpr double kMinimumShare = 1e-9;
// Number of running long tasks per team that are considered as victims, latest
// start first.
constexpr int kVictimAttempts = 8;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void FairQueue::ReclaimFailed(const TaskId& id, MonotonicTime now) {
  const Index index = this->store.Find(id);
  if (index != TaskStore::kNone && this->store.At(index).is_running) {
    this->EndReclaim(index, false);
    // Restarts minimum_run_time, so that the task is not selected again at
    // once.
    this->store.At(index).started_at = now;
  }
}

bool FairQueue::HasUrgentCredit(std::size_t team) const {
  const Team& state = this->teams[team];
  const TaskStore::Node& first = this->store.At(state.waiting_urgent.head);
  const double share = this->ledger.Entitlement(team);
  // Urgent tasks that already run beyond the share have used up credit that the
  // deficit does not reflect yet.
  const double excess =
      std::max(0.0, state.urgent_usage + state.reclaiming_for - share);
  const double credit = std::max(Seconds(this->settings.urgent_credit) * share,
                                 this->settings.urgent_credit_tasks *
                                     first.share * first.expected_seconds);
  return this->ledger.Deficit(team) - excess * first.expected_seconds > -credit;
}

bool FairQueue::IsLongBelowMinimum() const {
  return this->waiting_long_count > 0 &&
         this->long_usage < this->settings.long_minimum;
}

std::vector<ReclaimDecision> FairQueue::Reclaim(MonotonicTime now,
                                                const Resources& free) {
  this->ledger.Accrue(now);
  this->RefillAllowance(now);
  std::vector<ReclaimDecision> decisions;
  if (this->waiting_task_count == 0) {
    this->RestoreThrottled(decisions);
    return decisions;
  }
  const bool has_free_slots = free.slots >= 1.0;
  while (decisions.size() < kMaximumReclaims) {
    std::optional<ReclaimCandidate> candidate =
        this->FindUrgentReclaim(now, has_free_slots);
    if (!candidate.has_value()) {
      candidate = this->FindBalancingReclaim(now, has_free_slots);
    }
    if (!candidate.has_value()) {
      break;
    }
    decisions.push_back(
        this->BeginReclaim(candidate->victim, candidate->claimant));
  }
  return decisions;
}

// Share of the urgent tasks that have waited for urgent_reclaim_delay or
// longer.
double FairQueue::OverdueUrgentShare(const Team& team,
                                     MonotonicTime now) const {
  double share = 0.0;
  Index index = team.waiting_urgent.head;
  for (std::size_t i = 0; i < kMaximumReclaims && index != TaskStore::kNone;
       ++i) {
    const TaskStore::Node& node = this->store.At(index);
    if (now - node.enqueued_at < this->settings.urgent_reclaim_delay) {
      break;
    }
    share += node.share;
    index = node.next;
  }
  return share;
}

// Finds a victim for a team whose overdue urgent tasks exceed what is already
// being reclaimed for it. A team that has used up its urgent credit gets
// resources of its own long tasks only; without that, its long tasks would keep
// its whole share while its urgent tasks wait.
std::optional<FairQueue::ReclaimCandidate> FairQueue::FindUrgentReclaim(
    MonotonicTime now,
    bool has_free_slots) const {
  if (this->long_usage - this->reclaiming_long_usage <=
      this->settings.long_minimum) {
    return std::nullopt;
  }
  for (std::size_t team = 0; team < this->teams.size(); ++team) {
    const Team& state = this->teams[team];
    if (state.waiting_urgent.count == 0 || state.is_blocked ||
        this->OverdueUrgentShare(state, now) <=
            state.reclaiming_for + kMinimumShare) {
      continue;
    }
    const Index victim = this->HasUrgentCredit(team)
                             ? this->FindVictim(now, has_free_slots)
                             : this->FindTeamVictim(state, now, has_free_slots);
    if (victim != TaskStore::kNone) {
      return ReclaimCandidate{team, victim};
    }
  }
  return std::nullopt;
}

// Finds a victim of the team that is furthest ahead for the team that is
// furthest behind, if the checkpoint allowance permits.
std::optional<FairQueue::ReclaimCandidate> FairQueue::FindBalancingReclaim(
    MonotonicTime now,
    bool has_free_slots) const {
  if (this->checkpoint_allowance <= 0.0) {
    return std::nullopt;
  }
  const std::optional<std::size_t> claimant = this->FindMostUnderservedTeam();
  const Index victim = this->FindVictim(now, has_free_slots);
  if (!claimant.has_value() || victim == TaskStore::kNone) {
    return std::nullopt;
  }
  const std::size_t victim_team = this->store.At(victim).team;
  const double score_gap =
      this->ledger.Score(*claimant, this->teams[*claimant].reclaiming_for) -
      this->VictimScore(victim_team);
  if (*claimant == victim_team ||
      score_gap < Seconds(this->settings.reclaim_score_gap)) {
    return std::nullopt;
  }
  return ReclaimCandidate{*claimant, victim};
}

std::optional<std::size_t> FairQueue::FindMostUnderservedTeam() const {
  std::optional<std::size_t> best;
  double best_score = 0.0;
  for (std::size_t team = 0; team < this->teams.size(); ++team) {
    const Team& state = this->teams[team];
    if (state.waiting_long.count + state.waiting_urgent.count == 0 ||
        state.is_blocked) {
      continue;
    }
    const double score = this->ledger.Score(team, state.reclaiming_for);
    if (!best.has_value() || score > best_score) {
      best = team;
      best_score = score;
    }
  }
  return best;
}

double FairQueue::VictimScore(std::size_t team) const {
  return this->ledger.Score(team, -this->teams[team].reclaiming_from);
}

// Returns a running long task of the team that is furthest ahead.
FairQueue::Index FairQueue::FindVictim(MonotonicTime now,
                                       bool has_free_slots) const {
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
    const Index index =
        this->FindTeamVictim(this->teams[team], now, has_free_slots);
    if (index != TaskStore::kNone) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

// Tasks that cannot be checkpointed can only be throttled. Throttling frees
// cores but no slot, so it helps only while slots are free.
FairQueue::Index FairQueue::FindTeamVictim(const Team& team,
                                           MonotonicTime now,
                                           bool has_free_slots) const {
  Index index = team.running_long.tail;
  for (int i = 0; i < kVictimAttempts && index != TaskStore::kNone; ++i) {
    const TaskStore::Node& node = this->store.At(index);
    const bool can_free_resources =
        node.task.checkpointable || (has_free_slots && !node.is_throttled);
    if (!node.is_being_reclaimed && can_free_resources &&
        now - node.started_at >= this->settings.minimum_run_time) {
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
    node.is_throttled = true;
    ++this->throttled_count;
    return decision;
  }
  this->checkpoint_allowance -=
      node.share * Seconds(this->settings.checkpoint_cost);
  node.is_being_reclaimed = true;
  node.claimant = claimant;
  this->teams[claimant].reclaiming_for += node.share;
  this->teams[node.team].reclaiming_from += node.share;
  this->reclaiming_long_usage += node.share;
  return decision;
}

void FairQueue::RefillAllowance(MonotonicTime now) {
  const double allowance_limit =
      this->settings.checkpoint_budget * Seconds(kAllowanceWindow);
  if (now > this->last_reclaim_at) {
    // Checkpoints for urgent tasks may overdraw the allowance. The clamp limits
    // for how long a burst of them can suspend the balancing of shares to
    // kAllowanceWindow.
    this->checkpoint_allowance = std::clamp(
        this->checkpoint_allowance + this->settings.checkpoint_budget *
                                         Seconds(now - this->last_reclaim_at),
        -allowance_limit, allowance_limit);
    this->last_reclaim_at = now;
  }
}

void FairQueue::RestoreThrottled(std::vector<ReclaimDecision>& decisions) {
  for (Team& team : this->teams) {
    Index index =
        this->throttled_count > 0 ? team.running_long.head : TaskStore::kNone;
    for (; index != TaskStore::kNone; index = this->store.At(index).next) {
      TaskStore::Node& node = this->store.At(index);
      if (node.is_throttled) {
        node.is_throttled = false;
        --this->throttled_count;
        decisions.push_back({node.task.id, ReclaimAction::kRestore,
                             node.task.team, TeamName()});
      }
    }
  }
}

}  // namespace daisyroad

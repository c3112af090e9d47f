// Decisions that move room of long work between teams.

#include <algorithm>
#include <chrono>

#include "Core/Shares/fair_queue.h"

namespace daisyroad {
namespace {

// Bounds the work of one call; the next call continues.
constexpr std::size_t kMaximumReclaims = 64;
constexpr std::chrono::seconds kAllowanceMemory{5};
constexpr double kSmallestShare = 1e-9;
// Running tasks of a team that are looked at as victims, latest start first.
constexpr int kVictimAttempts = 8;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void FairQueue::ReclaimFailed(const TaskId& id, MonotonicTime now) {
  const Index index = this->store.Find(id);
  if (index != TaskStore::kNone && this->store.At(index).running) {
    this->EndReclaim(index, false);
    // Counts as a new start, so that the task is not chosen again at once.
    this->store.At(index).started = now;
  }
}

bool FairQueue::UrgentMayPass(std::size_t team) const {
  const Team& state = this->teams[team];
  const TaskStore::Node& first = this->store.At(state.urgent.head);
  const double share = this->ledger.Entitlement(team);
  // Urgent work that already runs beyond the share has used up credit that the
  // deficit does not show yet.
  const double excess =
      std::max(0.0, state.urgent_usage + state.promised - share);
  const double credit = std::max(
      Seconds(this->settings.urgent_credit) * share,
      this->settings.urgent_credit_tasks * first.share * first.seconds);
  return this->ledger.Deficit(team) - excess * first.seconds > -credit;
}

bool FairQueue::LongIsBelowMinimum() const {
  return this->long_waiting > 0 &&
         this->long_usage < this->settings.long_minimum;
}

std::vector<ReclaimDecision> FairQueue::Reclaim(MonotonicTime now,
                                                const Resources& free) {
  this->ledger.Accrue(now);
  this->RefillAllowance(now);
  std::vector<ReclaimDecision> decisions;
  if (this->waiting == 0) {
    this->RestoreThrottled(decisions);
    return decisions;
  }
  const bool slots_free = free.slots >= 1.0;
  while (decisions.size() < kMaximumReclaims) {
    std::optional<Claim> claim = this->UrgentClaim(now, slots_free);
    if (!claim.has_value()) {
      claim = this->LongClaim(now, slots_free);
    }
    if (!claim.has_value()) {
      break;
    }
    decisions.push_back(this->BeginReclaim(claim->victim, claim->team));
  }
  return decisions;
}

// Share of the urgent work that has waited longer than the patience.
double FairQueue::OverdueUrgent(const Team& team, MonotonicTime now) const {
  double share = 0.0;
  Index index = team.urgent.head;
  for (std::size_t i = 0; i < kMaximumReclaims && index != TaskStore::kNone;
       ++i) {
    const TaskStore::Node& node = this->store.At(index);
    if (now - node.enqueued < this->settings.urgent_patience) {
      break;
    }
    share += node.share;
    index = node.next;
  }
  return share;
}

// Room for a team whose overdue urgent work exceeds what is being freed for it.
// A team that has used up its credit gets the room of its own long work only;
// otherwise its long work would hold the whole share while urgent work waits.
std::optional<FairQueue::Claim> FairQueue::UrgentClaim(MonotonicTime now,
                                                       bool slots_free) const {
  if (this->long_usage - this->long_reclaiming <= this->settings.long_minimum) {
    return std::nullopt;
  }
  for (std::size_t team = 0; team < this->teams.size(); ++team) {
    const Team& state = this->teams[team];
    if (state.urgent.count == 0 || state.blocked ||
        this->OverdueUrgent(state, now) <= state.promised + kSmallestShare) {
      continue;
    }
    const Index victim = this->UrgentMayPass(team)
                             ? this->Victim(now, slots_free)
                             : this->VictimOf(state, now, slots_free);
    if (victim != TaskStore::kNone) {
      return Claim{team, victim};
    }
  }
  return std::nullopt;
}

// Room for the team that is furthest behind, from the one furthest ahead.
std::optional<FairQueue::Claim> FairQueue::LongClaim(MonotonicTime now,
                                                     bool slots_free) const {
  if (this->checkpoint_allowance <= 0.0) {
    return std::nullopt;
  }
  const std::optional<std::size_t> claimant = this->MostDeserving();
  const Index victim = this->Victim(now, slots_free);
  if (!claimant.has_value() || victim == TaskStore::kNone) {
    return std::nullopt;
  }
  const std::size_t from = this->store.At(victim).team;
  const double gap =
      this->ledger.Score(*claimant, this->teams[*claimant].promised) -
      this->VictimScore(from);
  if (*claimant == from || gap < Seconds(this->settings.reclaim_gap)) {
    return std::nullopt;
  }
  return Claim{*claimant, victim};
}

std::optional<std::size_t> FairQueue::MostDeserving() const {
  std::optional<std::size_t> best;
  double best_score = 0.0;
  for (std::size_t team = 0; team < this->teams.size(); ++team) {
    const Team& state = this->teams[team];
    if (state.background.count + state.urgent.count == 0 || state.blocked) {
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
  this->checkpoint_allowance -=
      node.share * Seconds(this->settings.checkpoint_cost);
  node.reclaiming = true;
  node.claimant = claimant;
  this->teams[claimant].promised += node.share;
  this->teams[node.team].reclaiming += node.share;
  this->long_reclaiming += node.share;
  return decision;
}

void FairQueue::RefillAllowance(MonotonicTime now) {
  const double bound =
      this->settings.checkpoint_budget * Seconds(kAllowanceMemory);
  if (now > this->last_reclaim) {
    // Urgent work may overdraw the allowance; the clamp keeps a long burst from
    // suspending the balance of shares for longer than the memory.
    this->checkpoint_allowance = std::clamp(
        this->checkpoint_allowance + this->settings.checkpoint_budget *
                                         Seconds(now - this->last_reclaim),
        -bound, bound);
    this->last_reclaim = now;
  }
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

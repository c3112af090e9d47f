#include "Core/Limits/team_allotment.h"

#include <algorithm>
#include <utility>

#include "Core/Limits/limit_ledger.h"

namespace daisyroad {

TeamAllotment::TeamAllotment(EntryName self, TeamName team, Options options)
    : self(std::move(self)), team(std::move(team)), options(options) {}

std::int64_t TeamAllotment::usable() const {
  if (this->is_evicted) {
    return 0;
  }
  std::int64_t count =
      LimitLedger::Target(this->known_snapshot.record, this->self);
  if (this->pending_write) {
    count = std::min(
        count, LimitLedger::Count(this->pending_write->record, this->self));
  }
  return count;
}

bool TeamAllotment::TryStart() {
  if (this->active_tasks >= this->usable() - this->reserved_count) {
    return false;
  }
  this->active_tasks += 1;
  return true;
}

void TeamAllotment::OnFinished() {
  this->active_tasks -= 1;
}

void TeamAllotment::SetLimit(std::int64_t limit, std::uint64_t version) {
  if (version > this->declared_version) {
    this->declared_limit = limit;
    this->declared_version = version;
  }
}

PeerDemand TeamAllotment::Report() const {
  return PeerDemand{this->Demand(), this->usable()};
}

std::int64_t TeamAllotment::DemandWithSlack() const {
  return this->Demand() + this->Demand() / this->options.slack_divisor;
}

void TeamAllotment::ApplySnapshot(const LimitSnapshot& snapshot) {
  if (snapshot.revision <= this->known_snapshot.revision && this->has_read) {
    return;  // a stale read
  }
  this->known_snapshot = snapshot;
  this->has_read = true;
  const bool has_allotment = snapshot.record.allotments.contains(this->self);
  this->is_evicted =
      this->is_evicted || (this->had_allotment && !has_allotment);
  this->had_allotment = this->had_allotment || has_allotment;
}

void TeamAllotment::OnRecord(const std::optional<LimitSnapshot>& snapshot,
                             MonotonicTime now) {
  this->is_reading = false;
  this->next_read_at = now + this->options.retry_delay;
  if (!snapshot) {
    return;
  }
  this->ApplySnapshot(*snapshot);
  if (!this->pending_write) {
    return;
  }
  // A later revision either results from the write or makes it fail.
  if (this->known_snapshot.revision > this->pending_write->base) {
    this->pending_write.reset();
    return;
  }
  this->can_resend = snapshot->revision == this->pending_write->base;
}

std::vector<LimitAction> TeamAllotment::OnWriteAnswer(
    std::uint64_t answered_serial,
    WriteOutcome outcome,
    std::uint64_t revision,
    MonotonicTime now) {
  if (!this->pending_write || this->pending_write->serial != answered_serial) {
    return {};
  }
  if (outcome == WriteOutcome::kWritten) {
    const LimitSnapshot written{revision, this->pending_write->record};
    this->pending_write.reset();
    this->ApplySnapshot(written);
    return {};
  }
  this->is_reading = true;
  this->next_read_at = now + this->options.retry_delay;
  return {ReadLimit{this->team}};
}

std::vector<LimitAction> TeamAllotment::Tick(
    const Peers& peers,
    const std::vector<EntryName>& reclaimable_holders,
    Random* random,
    MonotonicTime now) {
  if (this->is_evicted || this->is_reading) {
    return {};
  }
  const bool needs_read = this->pending_write && !this->can_resend;
  if (!this->has_read || needs_read) {
    if (now < this->next_read_at) {
      return {};
    }
    this->next_read_at = now + this->options.retry_delay;
    this->is_reading = true;
    return {ReadLimit{this->team}};
  }
  if (now < this->next_write_at) {
    return {};
  }
  if (!this->pending_write) {
    LimitRecord next = this->known_snapshot.record;
    if (!this->PlanChanges(peers, reclaimable_holders, now, &next)) {
      return {};
    }
    this->serial += 1;
    next.allotments[this->self].serial = this->serial;
    this->pending_write = WriteLimit{this->team, this->known_snapshot.revision,
                                     next, this->serial};
  }
  this->can_resend = false;
  this->next_read_at = now + this->options.retry_delay * 4;
  // Random jitter prevents repeated conflicts between holders.
  this->next_write_at = now + this->options.write_interval / 2 +
                        random->DurationBelow(this->options.write_interval);
  return {*this->pending_write};
}

bool TeamAllotment::PlanChanges(
    const Peers& peers,
    const std::vector<EntryName>& reclaimable_holders,
    MonotonicTime now,
    LimitRecord* next) {
  bool has_changed =
      this->declared_version > 0 &&
      LimitLedger::SetLimit(next, this->declared_limit, this->declared_version);
  for (const EntryName& holder : reclaimable_holders) {
    if (next->allotments.contains(holder)) {
      LimitLedger::Reclaim(next, holder);
      has_changed = true;
    }
  }
  const std::int64_t count = LimitLedger::Count(*next, this->self);
  const std::int64_t target = LimitLedger::Target(*next, this->self);
  if (target < count) {
    const std::int64_t return_count =
        count - std::max(target, this->active_tasks);
    return LimitLedger::Return(next, this->self, return_count) > 0 ||
           has_changed;
  }
  if (this->Demand() > count && LimitLedger::Free(*next) > 0) {
    LimitLedger::Grant(next, this->self, this->DemandWithSlack() - count);
    return true;
  }
  // Nothing is given to peers while part of the limit is free: peers that need
  // it take it themselves.
  const bool has_transferred = LimitLedger::Free(*next) == 0 &&
                               (this->TransferToPeers(peers, next) ||
                                this->TransferToStarvingPeer(peers, next));
  return has_transferred || this->ReturnIdle(peers, now, next) || has_changed;
}

std::int64_t TeamAllotment::IdleCount(const LimitRecord& record) const {
  return LimitLedger::Count(record, this->self) -
         std::max(this->DemandWithSlack(), this->active_tasks);
}

bool TeamAllotment::ReturnIdle(const Peers& peers,
                               MonotonicTime now,
                               LimitRecord* next) {
  const std::int64_t count = LimitLedger::Count(*next, this->self);
  const std::int64_t holders = static_cast<std::int64_t>(peers.size()) + 1;
  const std::int64_t reserve =
      next->limit / (this->options.reserve_divisor * holders);
  const std::int64_t idle =
      std::min(this->IdleCount(*next), count - std::min(count, reserve));
  if (idle <= count / this->options.slack_divisor) {
    this->idle_since.reset();
    return false;
  }
  if (!this->idle_since) {
    this->idle_since = now;
  }
  if (now - *this->idle_since < this->options.idle_timeout) {
    return false;
  }
  this->idle_since.reset();
  return LimitLedger::Return(next, this->self, idle) > 0;
}

bool TeamAllotment::TransferToPeers(const Peers& peers, LimitRecord* next) {
  const std::int64_t idle = this->IdleCount(*next);
  std::int64_t total_idle = idle;
  std::int64_t total_need = 0;
  for (const std::pair<const EntryName, PeerDemand>& peer : peers) {
    const std::int64_t have = LimitLedger::Count(*next, peer.first);
    total_need += std::max<std::int64_t>(0, peer.second.want - have);
    total_idle += std::max<std::int64_t>(0, have - peer.second.want);
  }
  if (idle <= 0 || total_need <= 0) {
    return false;
  }
  // Each donor gives in proportion to its share of all idle allotment, so that
  // several donors together do not give a peer far more than it needs.
  std::int64_t remaining =
      std::min(idle, (total_need * idle + total_idle - 1) / total_idle);
  const std::int64_t offered = remaining;
  for (const std::pair<const EntryName, PeerDemand>& peer : peers) {
    const std::int64_t shortage =
        peer.second.want - LimitLedger::Count(*next, peer.first);
    if (shortage > 0 && remaining > 0) {
      const std::int64_t part = std::min(
          remaining, (offered * shortage + total_need - 1) / total_need);
      remaining -= LimitLedger::Transfer(next, this->self, peer.first, part);
    }
  }
  return remaining < offered;
}

// If no holder has idle allotment, the largest holder withholds one unit from
// its own tasks and transfers it to a peer without any, so that no instance's
// queue is blocked completely.
bool TeamAllotment::TransferToStarvingPeer(const Peers& peers,
                                           LimitRecord* next) {
  const std::int64_t count = LimitLedger::Count(*next, this->self);
  const EntryName* starving = nullptr;
  bool is_largest = count > 1;
  for (const std::pair<const EntryName, PeerDemand>& peer : peers) {
    const std::int64_t have = LimitLedger::Count(*next, peer.first);
    if (have == 0 && peer.second.want > 0) {
      starving = &peer.first;
    }
    is_largest = is_largest &&
                 (have < count || (have == count && this->self < peer.first));
  }
  this->reserved_count = starving != nullptr && is_largest ? 1 : 0;
  if (this->reserved_count == 0 || this->active_tasks >= count) {
    return false;
  }
  this->reserved_count = 0;
  return LimitLedger::Transfer(next, this->self, *starving, 1) > 0;
}

}  // namespace daisyroad

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
  std::int64_t count = LimitLedger::Target(this->known.record, this->self);
  if (this->pending) {
    count =
        std::min(count, LimitLedger::Count(this->pending->record, this->self));
  }
  return count;
}

bool TeamAllotment::TryStart() {
  if (this->active >= this->usable() - this->reserved) {
    return false;
  }
  this->active += 1;
  return true;
}

void TeamAllotment::OnFinished() {
  this->active -= 1;
}

void TeamAllotment::SetLimit(std::int64_t limit, std::uint64_t version) {
  if (version > this->declared_version) {
    this->declared_limit = limit;
    this->declared_version = version;
  }
}

PeerDemand TeamAllotment::Report() const {
  return PeerDemand{this->Want(), this->usable()};
}

std::int64_t TeamAllotment::Keep() const {
  return this->Want() + this->Want() / this->options.slack_divisor;
}

void TeamAllotment::Adopt(const LimitSnapshot& snapshot) {
  if (snapshot.revision <= this->known.revision && this->has_read) {
    return;  // a stale read
  }
  this->known = snapshot;
  this->has_read = true;
  const bool has_entry = snapshot.record.allotments.contains(this->self);
  this->is_evicted = this->is_evicted || (this->had_entry && !has_entry);
  this->had_entry = this->had_entry || has_entry;
}

void TeamAllotment::OnRecord(const std::optional<LimitSnapshot>& snapshot,
                             MonotonicTime now) {
  this->reading = false;
  this->next_read = now + this->options.retry_time;
  if (!snapshot) {
    return;
  }
  this->Adopt(*snapshot);
  if (!this->pending) {
    return;
  }
  // A later revision either contains the write or has made it impossible.
  if (this->known.revision > this->pending->base) {
    this->pending.reset();
    return;
  }
  this->resend = snapshot->revision == this->pending->base;
}

std::vector<LimitAction> TeamAllotment::OnWriteAnswer(std::uint64_t answered,
                                                      WriteOutcome outcome,
                                                      std::uint64_t revision,
                                                      MonotonicTime now) {
  if (!this->pending || this->pending->serial != answered) {
    return {};
  }
  if (outcome == WriteOutcome::kWritten) {
    const LimitSnapshot written{revision, this->pending->record};
    this->pending.reset();
    this->Adopt(written);
    return {};
  }
  this->reading = true;
  this->next_read = now + this->options.retry_time;
  return {ReadLimit{this->team}};
}

std::vector<LimitAction> TeamAllotment::Tick(const Peers& peers,
                                             const std::vector<EntryName>& dead,
                                             Random* random,
                                             MonotonicTime now) {
  if (this->is_evicted || this->reading) {
    return {};
  }
  const bool read_back = this->pending && !this->resend;
  if (!this->has_read || read_back) {
    if (now < this->next_read) {
      return {};
    }
    this->next_read = now + this->options.retry_time;
    this->reading = true;
    return {ReadLimit{this->team}};
  }
  if (now < this->next_write) {
    return {};
  }
  if (!this->pending) {
    LimitRecord next = this->known.record;
    if (!this->Plan(peers, dead, now, &next)) {
      return {};
    }
    this->serial += 1;
    next.allotments[this->self].serial = this->serial;
    this->pending =
        WriteLimit{this->team, this->known.revision, next, this->serial};
  }
  this->resend = false;
  this->next_read = now + this->options.retry_time * 4;
  // Jitter keeps holders from colliding on each attempt.
  this->next_write = now + this->options.write_interval / 2 +
                     random->DurationBelow(this->options.write_interval);
  return {*this->pending};
}

bool TeamAllotment::Plan(const Peers& peers,
                         const std::vector<EntryName>& dead,
                         MonotonicTime now,
                         LimitRecord* next) {
  bool changed =
      this->declared_version > 0 &&
      LimitLedger::SetLimit(next, this->declared_limit, this->declared_version);
  for (const EntryName& holder : dead) {
    if (next->allotments.contains(holder)) {
      LimitLedger::Reclaim(next, holder);
      changed = true;
    }
  }
  const std::int64_t count = LimitLedger::Count(*next, this->self);
  const std::int64_t target = LimitLedger::Target(*next, this->self);
  if (target < count) {
    const std::int64_t give = count - std::max(target, this->active);
    return LimitLedger::Return(next, this->self, give) > 0 || changed;
  }
  if (this->Want() > count && LimitLedger::Free(*next) > 0) {
    LimitLedger::Grant(next, this->self, this->Keep() - count);
    return true;
  }
  // Peers in need take the free part themselves.
  const bool gave =
      LimitLedger::Free(*next) == 0 &&
      (this->GiveToPeers(peers, next) || this->GiveToStarving(peers, next));
  return gave || this->ReturnIdle(peers, now, next) || changed;
}

std::int64_t TeamAllotment::Idle(const LimitRecord& record) const {
  return LimitLedger::Count(record, this->self) -
         std::max(this->Keep(), this->active);
}

bool TeamAllotment::ReturnIdle(const Peers& peers,
                               MonotonicTime now,
                               LimitRecord* next) {
  const std::int64_t count = LimitLedger::Count(*next, this->self);
  const std::int64_t holders = static_cast<std::int64_t>(peers.size()) + 1;
  const std::int64_t reserve =
      next->limit / (this->options.reserve_divisor * holders);
  const std::int64_t idle =
      std::min(this->Idle(*next), count - std::min(count, reserve));
  if (idle <= count / this->options.slack_divisor) {
    this->idle_since.reset();
    return false;
  }
  if (!this->idle_since) {
    this->idle_since = now;
  }
  if (now - *this->idle_since < this->options.idle_time) {
    return false;
  }
  this->idle_since.reset();
  return LimitLedger::Return(next, this->self, idle) > 0;
}

bool TeamAllotment::GiveToPeers(const Peers& peers, LimitRecord* next) {
  const std::int64_t idle = this->Idle(*next);
  std::int64_t all_idle = idle;
  std::int64_t need = 0;
  for (const std::pair<const EntryName, PeerDemand>& peer : peers) {
    const std::int64_t have = LimitLedger::Count(*next, peer.first);
    need += std::max<std::int64_t>(0, peer.second.want - have);
    all_idle += std::max<std::int64_t>(0, have - peer.second.want);
  }
  if (idle <= 0 || need <= 0) {
    return false;
  }
  // Each donor gives in proportion to its idle part, so that several donors
  // together do not give a peer far more than it needs.
  std::int64_t budget = std::min(idle, (need * idle + all_idle - 1) / all_idle);
  const std::int64_t total = budget;
  for (const std::pair<const EntryName, PeerDemand>& peer : peers) {
    const std::int64_t lacks =
        peer.second.want - LimitLedger::Count(*next, peer.first);
    if (lacks > 0 && budget > 0) {
      const std::int64_t part =
          std::min(budget, (total * lacks + need - 1) / need);
      budget -= LimitLedger::Transfer(next, this->self, peer.first, part);
    }
  }
  return budget < total;
}

// Without idle allotment anywhere, the largest holder hands the next free slot
// to a peer that has none, so that no instance's queue stops altogether.
bool TeamAllotment::GiveToStarving(const Peers& peers, LimitRecord* next) {
  const std::int64_t count = LimitLedger::Count(*next, this->self);
  const EntryName* starving = nullptr;
  bool largest = count > 1;
  for (const std::pair<const EntryName, PeerDemand>& peer : peers) {
    const std::int64_t have = LimitLedger::Count(*next, peer.first);
    if (have == 0 && peer.second.want > 0) {
      starving = &peer.first;
    }
    largest =
        largest && (have < count || (have == count && this->self < peer.first));
  }
  this->reserved = starving != nullptr && largest ? 1 : 0;
  if (this->reserved == 0 || this->active >= count) {
    return false;
  }
  this->reserved = 0;
  return LimitLedger::Transfer(next, this->self, *starving, 1) > 0;
}

}  // namespace daisyroad

// Leases and terms of the instances.

#include <algorithm>
#include <utility>

#include "UnitTests/Jobs/takeover_simulation.h"
#include "UnitTests/Jobs/takeover_timing.h"

namespace daisyroad {

void TakeoverSimulation::TickInstance(int index) {
  Instance& instance = this->instances[index];
  const MonotonicTime now = this->Now();
  if (now > instance.lease_until) {
    // The registration is stored under the lease.
    instance.registered = 0;
  }
  if (!instance.is_alive || this->IsPaused(index)) {
    return;
  }
  if (this->ReachesStore(instance) && now >= instance.next_renewal) {
    if (instance.has_lease && now > instance.lease_until) {
      instance.has_lease = false;
      this->EndTerm(&instance, "the lease expired");
    } else {
      if (!instance.has_lease) {
        instance.has_lease = true;
        instance.registered_at = now;
      }
      instance.registered = instance.start_count;
      instance.lease_until = now + kLeaseDuration;
      instance.lease_valid_until = now + kLeaseDuration;
      instance.next_renewal = now + kRenewInterval;
      if (this->record.holder == Process(index, instance.start_count)) {
        this->record.lease_until = instance.lease_until;
      }
    }
  }
  if (now > instance.lease_valid_until + kOutageGrace) {
    this->EndTerm(&instance, "the outage grace period is over");
  }
  if (this->ReachesStore(instance) && now >= instance.next_mirror) {
    instance.next_mirror = now + this->Upto(kMirrorDelay.count());
    this->ReadMirror(index);
  }
}

void TakeoverSimulation::ReadMirror(int index) {
  Instance& instance = this->instances[index];
  if (instance.leader == nullptr) {
    return;
  }
  if (this->IsReplaced(*instance.leader)) {
    this->EndTerm(&instance, "another instance acquired the duty");
    return;
  }
  Leader& leader = *instance.leader;
  const MonotonicTime now = this->Now();
  if (now >= leader.begun_at + kOutageGrace + kCheckInterval) {
    leader.predecessors.clear();
    this->record.predecessors.clear();
  }
  const bool are_gone =
      std::all_of(leader.predecessors.begin(), leader.predecessors.end(),
                  [this, index](const Process& process) {
                    return this->HasTerminated(process, index);
                  });
  if (are_gone && !leader.is_predecessor_gone) {
    ++this->totals->predecessors_gone;
    leader.is_predecessor_gone = true;
    leader.scheduler.SetUnknownRunsOver(now + MaxLeaseDuration());
    this->Trace("fence " + std::to_string(leader.fence) + ": predecessor_gone");
  }
}

bool TakeoverSimulation::HasTerminated(const Process& process,
                                       int asking) const {
  const std::int64_t registered = this->instances[process.first].registered;
  return process.first == asking ||
         (registered != 0 && registered != process.second);
}

bool TakeoverSimulation::MayBeginTerm(int index) const {
  const Instance& instance = this->instances[index];
  return instance.has_lease && instance.leader == nullptr &&
         !this->IsPaused(index) && this->Now() < instance.lease_until &&
         this->Now() >= instance.registered_at + kRegistrationDelay &&
         this->ReachesStore(instance);
}

void TakeoverSimulation::MaybeBeginTerm() {
  const MonotonicTime now = this->Now();
  if (this->record.is_held) {
    const int holder = this->record.holder->first;
    if (now > this->record.lease_until) {
      this->record.is_held = false;
      this->vacant_since = now;
      this->vacant_for = kCheckInterval + this->Upto(kMostRankDelay.count());
    } else if (this->MayBeginTerm(holder)) {
      // The record is of an earlier process of this instance, or of a term that
      // it ended itself.
      this->BeginTerm(holder);
    }
    return;
  }
  if (now < this->vacant_since + this->vacant_for) {
    return;
  }
  std::vector<int> candidates;
  for (int i = 0; i < kInstances; ++i) {
    if (this->MayBeginTerm(i)) {
      candidates.push_back(i);
    }
  }
  if (this->options.has_store_outages && this->record.holder &&
      this->MayBeginTerm(this->record.holder->first) &&
      this->random.Chance(0.7)) {
    this->BeginTerm(this->record.holder->first);
  } else if (!candidates.empty()) {
    this->BeginTerm(candidates[this->random.Below(candidates.size())]);
  }
}

void TakeoverSimulation::BeginTerm(int index) {
  const MonotonicTime now = this->Now();
  Instance& instance = this->instances[index];
  const std::optional<Process> previous = this->record.holder;
  std::vector<Process> predecessors = this->record.predecessors;
  if (this->record.holder) {
    predecessors.push_back(*this->record.holder);
  }
  std::erase_if(predecessors, [this, index](const Process& process) {
    return this->HasTerminated(process, index);
  });
  const std::int64_t number = this->record.number + 1;
  const bool is_gone = predecessors.empty();
  const Milliseconds unknown =
      number == 1
          ? Milliseconds(0)
          : MaxLeaseDuration() + (is_gone ? Milliseconds(0) : kOutageGrace);
  const LeaderPointer leader = std::make_shared<Leader>(number, now + unknown);
  leader->fence = this->record.fence + 10;
  leader->instance = index;
  leader->predecessors = predecessors;
  leader->is_predecessor_gone = is_gone;
  leader->begun_at = now;
  if (number > 1) {
    leader->scheduler.HoldStartsUntil(now + kTakeoverStartDelay);
  }
  this->record.is_held = true;
  this->record.lease_until = instance.lease_until;
  this->record.holder = Process(index, instance.start_count);
  this->record.number = number;
  this->record.fence = leader->fence;
  this->record.predecessors = predecessors;
  instance.leader = leader;
  ++this->totals->terms;
  this->totals->terms_after_own +=
      previous == Process(index, instance.start_count);
  this->totals->chained_terms += predecessors.size() > 1;
  this->Trace("fence " + std::to_string(leader->fence) + ": term_begun i" +
              std::to_string(index) + ", " +
              std::to_string(predecessors.size()) + " predecessors");
  this->Answer(leader, Milliseconds(20) + this->Upto(180),
               [this, leader]() { this->Load(leader); });
}

void TakeoverSimulation::EndTerm(Instance* instance,
                                 const std::string& reason) {
  if (instance->leader == nullptr) {
    return;
  }
  this->Trace("fence " + std::to_string(instance->leader->fence) +
              ": term_ended, " + reason);
  instance->leader->is_stopped = true;
  instance->leader.reset();
}

}  // namespace daisyroad

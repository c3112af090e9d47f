// Faults that are injected.

#include <cstdint>
#include <string>
#include <utility>

#include "UnitTests/Jobs/takeover_simulation.h"
#include "UnitTests/Jobs/takeover_timing.h"

namespace daisyroad {

int TakeoverSimulation::LeadingInstance() const {
  return this->record.holder ? this->record.holder->first : 0;
}

int TakeoverSimulation::ReplacedInstance() const {
  for (int i = 0; i < kInstances; ++i) {
    const LeaderPointer& leader = this->instances[i].leader;
    if (leader != nullptr && this->IsReplaced(*leader)) {
      return i;
    }
  }
  return this->LeadingInstance();
}

void TakeoverSimulation::InjectOptionalFault() {
  const int leading = this->LeadingInstance();
  if (this->options.has_pauses && this->random.Chance(0.35)) {
    const int index =
        this->random.Chance(0.3) ? this->ReplacedInstance() : leading;
    const Milliseconds duration =
        this->random.Chance(0.5) ? this->Upto(2500) : this->Upto(12000);
    if (this->random.Chance(0.7)) {
      this->instances[index].next_pause = duration;
    } else {
      this->PauseInstance(index, duration);
    }
  }
  if (this->options.has_store_outages && this->random.Chance(0.2) &&
      this->Now() >= this->store_away_until) {
    this->StopStore(this->random.Chance(0.5)
                        ? this->Upto(2500)
                        : Milliseconds(1500) + this->Upto(10000));
    // Without other faults, the same instance may begin the next term.
    if (this->random.Chance(0.5)) {
      this->no_faults_until = this->store_away_until + Milliseconds(1500);
    }
  }
}

void TakeoverSimulation::PauseInstance(int index, Milliseconds duration) {
  Instance& instance = this->instances[index];
  if (!instance.is_alive || this->IsPaused(index)) {
    return;
  }
  ++this->totals->pauses;
  instance.paused_until = this->Now() + duration;
  // Its timers run in any order when it goes on.
  instance.next_renewal = instance.paused_until + this->Upto(100);
  instance.next_mirror = instance.paused_until + this->Upto(200);
  this->Trace("fault: i" + std::to_string(index) + " is paused for " +
              std::to_string(duration.count()) + " ms");
}

void TakeoverSimulation::StopStore(Milliseconds duration) {
  ++this->totals->store_outages;
  const bool do_leases_pause = this->random.Chance(0.4);
  this->store_away_until = this->Now() + duration;
  this->Trace("fault: the store is away for " +
              std::to_string(duration.count()) + " ms, leases " +
              (do_leases_pause ? "pause" : "run out"));
  for (std::pair<const WorkerName, Host>& host : this->hosts) {
    host.second.next_check_in =
        this->store_away_until + this->Upto(kCheckInDelay.count());
  }
  if (!do_leases_pause) {
    return;
  }
  this->record.lease_until += duration;
  for (Instance& instance : this->instances) {
    instance.lease_until += duration;
  }
  for (std::pair<const WorkerName, ListedWorker>& entry : this->listed) {
    entry.second.expires_at += duration;
  }
}

void TakeoverSimulation::InjectFault() {
  if (this->Now() < this->no_faults_until) {
    return;
  }
  this->InjectOptionalFault();
  const int leading = this->LeadingInstance();
  Host& host = this->hosts.at(
      WorkerName("w" + std::to_string(this->random.Below(kWorkers))));
  switch (this->random.Below(10)) {
    case 0:
    case 1:
      this->RestartWorker(&host);
      return;
    case 2:
      ++this->totals->cuts;
      host.unreachable_until = this->Now() + this->Upto(9000);
      this->Trace("fault: " + host.listing.name.str() + " unreachable");
      return;
    case 3:
    case 4: {
      const Milliseconds duration = Milliseconds(1000) + this->Upto(10000);
      this->CutZone(this->instances[leading].zone, duration);
      // Its processes may be killed and start again before the cut heals.
      if (this->random.Chance(0.5)) {
        this->queue.After(
            this->Upto(static_cast<std::uint64_t>(duration.count())),
            [this, leading]() { this->KillInstance(leading); });
      }
      return;
    }
    case 5:
      this->CutStoreLink(leading, Milliseconds(1000) + this->Upto(10000));
      return;
    case 6:
      this->BreakLinks(leading);
      return;
    case 7:
      this->KillInstance(this->random.Chance(0.5) ? this->ReplacedInstance()
                                                  : leading);
      return;
    case 8:
      this->ReleaseTerm(leading);
      return;
    default:
      // Two changes in quick succession.
      this->CutStoreLink(leading, Milliseconds(3000) + this->Upto(9000));
      this->queue.After(Milliseconds(1700) + this->Upto(2500), [this]() {
        const int next = this->LeadingInstance();
        if (this->random.Chance(0.5)) {
          this->KillInstance(next);
        } else {
          this->CutStoreLink(next, Milliseconds(3000) + this->Upto(6000));
        }
      });
  }
}

void TakeoverSimulation::RestartWorker(Host* host) {
  if (host->worker == nullptr) {
    return;
  }
  this->Check();
  ++this->totals->worker_restarts;
  this->Trace("fault: " + host->listing.name.str() + " crashes with " +
              std::to_string(host->worker->runs().size()) + " runs");
  host->worker.reset();
  host->ends.clear();
  ++host->start_count;
  const bool is_quick =
      this->options.has_quick_restarts && this->random.Chance(0.7);
  this->totals->quick_restarts += is_quick;
  this->queue.After(Milliseconds(50) + this->Upto(is_quick ? 250 : 2950),
                    [this, host]() { this->BootWorker(host); });
}

void TakeoverSimulation::BootWorker(Host* host) {
  host->worker = std::make_unique<FakeWorker>(this->Now());
  host->booted_at = this->Now();
  host->clock_rate = 1.0 - kMostClockDrift * this->random.Fraction();
  host->listing.incarnation = IncarnationAt(this->Now());
  host->next_check_in = this->Now() + this->Upto(kCheckInDelay.count());
  if (this->options.has_quick_restarts && host->zone == 0) {
    ++this->totals->worker_moves;
    host->listing.address = "boot" + std::to_string(host->start_count) + ":80";
  }
  this->Trace(host->listing.name.str() + " is back");
}

void TakeoverSimulation::CutZone(int zone, Milliseconds duration) {
  ++this->totals->cuts;
  this->cut_until[zone] = this->Now() + duration;
  this->Trace("fault: zone " + std::to_string(zone) + " is cut off for " +
              std::to_string(duration.count()) + " ms");
}

void TakeoverSimulation::CutStoreLink(int instance, Milliseconds duration) {
  ++this->totals->cuts;
  this->instances[instance].store_unreachable_until = this->Now() + duration;
  this->Trace("fault: i" + std::to_string(instance) +
              " is cut off from the store for " +
              std::to_string(duration.count()) + " ms");
}

void TakeoverSimulation::BreakLinks(int instance) {
  ++this->totals->cuts;
  for (const std::pair<const WorkerName, Host>& host : this->hosts) {
    if (this->random.Chance(0.4)) {
      this->instances[instance].broken_links[host.first] =
          this->Now() + this->Upto(9000);
      this->Trace("fault: i" + std::to_string(instance) + " does not reach " +
                  host.first.str());
    }
  }
}

void TakeoverSimulation::KillInstance(int index) {
  Instance& instance = this->instances[index];
  if (!instance.is_alive) {
    return;
  }
  ++this->totals->instances_killed;
  this->Trace("fault: i" + std::to_string(index) + " is killed");
  this->EndTerm(&instance, "killed");
  instance.is_alive = false;
  instance.paused_until = MonotonicTime();
  instance.next_pause.reset();
  instance.has_lease = false;
  this->queue.After(Milliseconds(200) + this->Upto(2800), [this, index]() {
    Instance& restarted = this->instances[index];
    restarted.is_alive = true;
    ++restarted.start_count;
    restarted.next_renewal = this->Now() + this->Upto(500);
    this->Trace("i" + std::to_string(index) + " is back");
  });
}

void TakeoverSimulation::ReleaseTerm(int index) {
  const LeaderPointer leader = this->instances[index].leader;
  if (leader == nullptr || !this->MayCommit(leader)) {
    return;
  }
  this->record.holder.reset();
  this->record.is_held = false;
  this->record.predecessors = leader->predecessors;
  this->vacant_since = this->Now();
  this->vacant_for = this->Upto(kCheckInterval.count());
  this->instances[index].registered = 0;
  this->KillInstance(index);
}

}  // namespace daisyroad

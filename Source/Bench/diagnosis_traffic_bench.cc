// Calls and messages of DiagnosisSimulation and the observations that result.

#include <algorithm>

#include "Bench/diagnosis_layout.h"
#include "Bench/diagnosis_simulation.h"

namespace daisyroad {
namespace {

using namespace diagnosis_layout;

constexpr Milliseconds kReplyTime{5};
constexpr Milliseconds kLateReplyTime{800};
constexpr Milliseconds kSlowStoreReplyTime{600};
constexpr Milliseconds kServiceTime{800};
constexpr char kTeam[] = "assembly";
constexpr char kQueue[] = "confirm";
// A connection without replies is itself a minor network fault, so it is rarer
// than the other background events: about one in four minutes.
constexpr double kBackgroundSilentConnectionRate = 0.002;
constexpr double kRefusalRate = 0.7;

Milliseconds ToMilliseconds(Duration time) {
  return std::chrono::duration_cast<Milliseconds>(time);
}

}  // namespace

void DiagnosisSimulation::ExchangeGossip(std::size_t from, MonotonicTime at) {
  const std::size_t first = this->random.Below(kEntries - 1);
  for (std::size_t i = 0; i < kPeersPerRound; ++i) {
    const std::size_t step = (first + i * 3) % (kEntries - 1);
    const std::size_t peer = (from + 1 + step) % kEntries;
    const std::size_t own_zone = ZoneOfEntry(from);
    const std::size_t target_zone = ZoneOfEntry(peer);
    PeerMessage message{EntryAt(from), EntryAt(peer), ZoneAt(own_zone),
                        ZoneAt(target_zone), MessageFate::kUnanswered};
    const bool has_arrived = this->DeliversMessage(own_zone, target_zone, at) &&
                             this->IsEntryRunning(peer, at);
    if (has_arrived) {
      PeerMessage received = message;
      received.observer = EntryAt(peer);
      received.peer = EntryAt(from);
      received.fate = MessageFate::kArrived;
      this->Record(peer, at, kReplyTime, received);
    }
    if (!has_arrived || !this->DeliversMessage(target_zone, own_zone, at)) {
      this->Record(from, at, kCallTimeout, message);
      continue;
    }
    const bool is_slow =
        this->IsActive(FaultKind::kEntriesSlow, at) &&
        (own_zone == this->faulty_zone || target_zone == this->faulty_zone);
    const bool is_late = is_slow || this->IsPathSlow(own_zone, target_zone, at);
    message.fate = is_late ? MessageFate::kLate : MessageFate::kAnswered;
    this->Record(from, at, is_late ? kLateReplyTime : kReplyTime, message);
  }
}

void DiagnosisSimulation::CallStore(std::size_t from, MonotonicTime at) {
  const std::size_t own_zone = ZoneOfEntry(from);
  const bool is_cut = own_zone == this->faulty_zone &&
                      (this->IsActive(FaultKind::kZoneIsolated, at) ||
                       this->IsActive(FaultKind::kZoneOutboundLost, at) ||
                       this->IsActive(FaultKind::kStorePathCut, at));
  const bool is_slow = this->IsActive(FaultKind::kStoreSlow, at) ||
                       this->random.Chance(kSlowStoreCallRate);
  StoreSample sample{
      EntryAt(from), ZoneAt(own_zone),
      kReplyTime + ToMilliseconds(this->random.DurationBelow(Milliseconds(15))),
      is_cut || this->IsActive(FaultKind::kStoreDown, at)};
  if (sample.failed) {
    sample.latency = kCallTimeout;
  } else if (is_slow) {
    sample.latency = kSlowStoreReplyTime;
  }
  this->Record(from, at, sample.latency, sample);
}

void DiagnosisSimulation::CallWorkers(std::size_t own_zone, MonotonicTime at) {
  const std::size_t from = this->DispatcherOf(own_zone, at);
  if (from == kEntries) {
    return;
  }
  for (std::size_t pool = 0; pool < kPools; ++pool) {
    const std::size_t first = own_zone * kWorkersInZone + pool * kWorkersInCell;
    const std::size_t skipped = this->random.Below(kWorkersInCell);
    for (std::size_t i = 0; i < kWorkersInCell; ++i) {
      if (i != skipped) {
        this->CallWorker(from, first + i, at);
      }
    }
  }
}

void DiagnosisSimulation::CallWorker(std::size_t from,
                                     std::size_t target,
                                     MonotonicTime at) {
  if (target == this->faulty_worker &&
      this->IsActive(FaultKind::kWorkerDown, at)) {
    this->Record(from, at, kReplyTime,
                 RefusedConnection{EntryAt(from), WorkerAt(target),
                                   PoolAt(PoolOfWorker(target)),
                                   ZoneAt(ZoneOfWorker(target))});
    return;
  }
  const bool is_reached = this->CanReachWorker(from, target, at);
  this->Record(
      from, at, is_reached ? kReplyTime : kCallTimeout,
      WorkerContact{EntryAt(from), WorkerAt(target),
                    PoolAt(PoolOfWorker(target)), ZoneAt(ZoneOfEntry(from)),
                    ZoneAt(ZoneOfWorker(target)), is_reached});
  if (is_reached) {
    this->RecordWorkerResults(from, target, at);
  } else if (this->IsEntryRunning(from, at + kCallTimeout)) {
    this->ProbeFromPeers(from, target, at + kCallTimeout);
  }
}

void DiagnosisSimulation::RecordWorkerResults(std::size_t from,
                                              std::size_t target,
                                              MonotonicTime at) {
  WorkerResults results{WorkerAt(target), PoolAt(PoolOfWorker(target)), 0, 0};
  for (int i = 0; i < 2; ++i) {
    const bool has_failed = this->IsWorkerFailingTasks(target, at) ||
                            this->random.Chance(kTaskFailureRate);
    ++(has_failed ? results.failed : results.done);
  }
  this->Record(from, at, kReplyTime, results);
}

// An instance that gets no answer from a worker asks two peers in other zones
// to probe it; see ExplainService.
void DiagnosisSimulation::ProbeFromPeers(std::size_t from,
                                         std::size_t target,
                                         MonotonicTime at) {
  const std::size_t own_zone = ZoneOfEntry(from);
  for (std::size_t i = 1; i <= 2; ++i) {
    const std::size_t peer =
        (own_zone + i) % kZones * kEntriesInZone + this->random.Below(2);
    if (!this->IsEntryRunning(peer, at) ||
        !this->DeliversMessage(own_zone, ZoneOfEntry(peer), at)) {
      continue;
    }
    const bool is_reached = this->CanReachWorker(peer, target, at);
    this->Record(
        peer, at, is_reached ? kReplyTime : kCallTimeout,
        WorkerContact{EntryAt(peer), WorkerAt(target),
                      PoolAt(PoolOfWorker(target)), ZoneAt(ZoneOfEntry(peer)),
                      ZoneAt(ZoneOfWorker(target)), is_reached});
  }
}

void DiagnosisSimulation::RecordQueueDelays(std::size_t own_zone,
                                            MonotonicTime at) {
  const std::size_t from = this->DispatcherOf(own_zone, at);
  if (from == kEntries) {
    return;
  }
  for (std::size_t pool = 0; pool < kPools; ++pool) {
    QueueDelay delay{PoolAt(pool), ZoneAt(own_zone),
                     ToMilliseconds(this->random.Exponential(kReplyTime * 20)),
                     kServiceTime + ToMilliseconds(this->random.DurationBelow(
                                        kServiceTime))};
    const bool is_overloaded =
        (this->IsActive(FaultKind::kPoolOverloaded, at) &&
         pool == PoolOfWorker(this->faulty_worker)) ||
        (this->IsActive(FaultKind::kZoneTakenOut, at) &&
         own_zone != this->faulty_zone);
    if (is_overloaded) {
      // The queue delay grows while tasks arrive faster than the pool can run
      // them.
      delay.wait += ToMilliseconds(at - this->first_onset) +
                    Milliseconds(this->random.Below(2000));
    }
    this->Record(from, at, kReplyTime, delay);
  }
  if (this->IsActive(FaultKind::kShortDeadlines, at)) {
    this->Record(from, at, kReplyTime,
                 ShortDeadline{TaskId(this->random.Hex(4)), QueueName(kQueue),
                               kServiceTime / 4, kServiceTime});
  }
}

void DiagnosisSimulation::RecordRefusals(MonotonicTime at) {
  const auto refuse = [this, at](FaultKind kind, RefusalReason reason) {
    if (this->IsActive(kind, at) && this->random.Chance(kRefusalRate)) {
      this->Record(this->random.Below(kEntries), at, kReplyTime,
                   Refusal{reason, TeamName(kTeam), QueueName(kQueue),
                           ZoneAt(this->faulty_zone)});
    }
  };
  refuse(FaultKind::kTeamOverLimit, RefusalReason::kLimit);
  refuse(FaultKind::kLimitLowered, RefusalReason::kLimit);
  refuse(FaultKind::kKeyWithdrawn, RefusalReason::kKey);
  refuse(FaultKind::kQueueChanged, RefusalReason::kQueue);
}

void DiagnosisSimulation::RecordConfigurationChanges() {
  for (const ActiveFault& fault : this->active_faults) {
    ConfigurationAdopted version{17, ConfigurationEffect::kOther, kTeam};
    switch (fault.kind) {
      case FaultKind::kLimitLowered:
        version.effect = ConfigurationEffect::kLimit;
        break;
      case FaultKind::kKeyWithdrawn:
        version.effect = ConfigurationEffect::kKeyWithdrawn;
        break;
      case FaultKind::kZoneTakenOut:
        version.effect = ConfigurationEffect::kZoneOut;
        version.subject = ZoneAt(this->faulty_zone).str();
        break;
      case FaultKind::kQueueChanged:
        version.effect = ConfigurationEffect::kQueue;
        version.subject = kQueue;
        break;
      default:
        continue;
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      this->Record(i, fault.from, kReplyTime, version);
    }
  }
}

void DiagnosisSimulation::RecordSilentConnections() {
  for (const ActiveFault& fault : this->active_faults) {
    const bool is_zone_wide = fault.kind == FaultKind::kConnectionsLost;
    if (!is_zone_wide && fault.kind != FaultKind::kWorkerReset) {
      continue;
    }
    const std::size_t first =
        is_zone_wide ? this->faulty_zone * kWorkersInZone : this->faulty_worker;
    const std::size_t count = is_zone_wide ? kWorkersInZone : 1;
    const MonotonicTime working_again =
        is_zone_wide ? fault.from : fault.from + Duration(kHostResetTime);
    for (std::size_t i = first; i < first + count; ++i) {
      const std::size_t from =
          this->DispatcherOf(this->faulty_zone, working_again);
      const Duration delay =
          kCallTimeout + this->random.DurationBelow(std::chrono::seconds(3));
      this->Record(from, working_again + delay, kReplyTime,
                   SilentConnection{
                       EntryAt(from), WorkerAt(i), PoolAt(PoolOfWorker(i)),
                       ZoneAt(this->faulty_zone), ZoneAt(this->faulty_zone)});
    }
    if (!is_zone_wide) {
      this->Record(this->DispatcherOf(this->faulty_zone, working_again),
                   working_again, kReplyTime,
                   WorkerRestarted{WorkerAt(this->faulty_worker),
                                   PoolAt(PoolOfWorker(this->faulty_worker))});
    }
  }
}

void DiagnosisSimulation::AddNoise(MonotonicTime at) {
  const std::size_t from = this->random.Below(kEntries);
  const std::size_t target = this->random.Below(kWorkers);
  const PoolName pool = PoolAt(PoolOfWorker(target));
  const ZoneName target_zone = ZoneAt(ZoneOfWorker(target));
  const std::vector<ObservationDetail> background_events = {
      SilentConnection{EntryAt(from), WorkerAt(target), pool,
                       ZoneAt(ZoneOfEntry(from)), target_zone},
      RefusedConnection{EntryAt(from), WorkerAt(target), pool, target_zone},
      WorkerRestarted{WorkerAt(target), pool},
      ConfigurationAdopted{16, ConfigurationEffect::kOther, "the roster"},
      Refusal{RefusalReason::kLimit, TeamName("planning"), QueueName("plan"),
              target_zone},
      ShortDeadline{TaskId(this->random.Hex(4)), QueueName("plan"),
                    kServiceTime / 2, kServiceTime},
      QueueDelay{pool, target_zone, Milliseconds(9000), kServiceTime}};
  for (const ObservationDetail& detail : background_events) {
    const bool is_silent = std::holds_alternative<SilentConnection>(detail);
    if (this->random.Chance(is_silent ? kBackgroundSilentConnectionRate
                                      : kBackgroundEventRate)) {
      this->Record(from, at, kReplyTime, detail);
    }
  }
}

}  // namespace daisyroad

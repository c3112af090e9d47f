// The part of DiagnosisSimulation that produces observations.

#include <algorithm>

#include "Bench/diagnosis_layout.h"
#include "Bench/diagnosis_simulation.h"

namespace daisyroad {
namespace {

using namespace diagnosis_layout;

constexpr Milliseconds kReplyTime{5};
constexpr Milliseconds kLateTime{800};
constexpr Milliseconds kSlowStoreTime{600};
constexpr Milliseconds kServiceTime{800};
constexpr char kTeam[] = "assembly";
constexpr char kQueue[] = "confirm";
// A silent connection is a small fault of the network in itself, so it is no
// everyday event: one in about four minutes.
constexpr double kOddSilent = 0.002;
constexpr double kRefusalChance = 0.7;

Milliseconds ToMilliseconds(Duration time) {
  return std::chrono::duration_cast<Milliseconds>(time);
}

}  // namespace

void DiagnosisSimulation::Exchange(std::size_t from, MonotonicTime at) {
  const std::size_t first = this->random.Below(kEntries - 1);
  for (std::size_t i = 0; i < kPeersAsked; ++i) {
    const std::size_t step = (first + i * 3) % (kEntries - 1);
    const std::size_t peer = (from + 1 + step) % kEntries;
    const std::size_t home = ZoneOfEntry(from);
    const std::size_t there = ZoneOfEntry(peer);
    PeerMessage message{Entry(from), Entry(peer), ZoneAt(home), ZoneAt(there),
                        MessageFate::kUnanswered};
    const bool arrives =
        this->PathWorks(home, there, at) && this->EntryRuns(peer, at);
    if (arrives) {
      PeerMessage seen = message;
      seen.observer = Entry(peer);
      seen.peer = Entry(from);
      seen.fate = MessageFate::kArrived;
      this->Record(peer, at, kReplyTime, seen);
    }
    if (!arrives || !this->PathWorks(there, home, at)) {
      this->Record(from, at, kTimeout, message);
      continue;
    }
    const bool slow = this->Has(FaultKind::kEntriesSlow, at) &&
                      (home == this->zone || there == this->zone);
    const bool late = slow || this->PathLate(home, there, at);
    message.fate = late ? MessageFate::kLate : MessageFate::kAnswered;
    this->Record(from, at, late ? kLateTime : kReplyTime, message);
  }
}

void DiagnosisSimulation::CallStore(std::size_t from, MonotonicTime at) {
  const std::size_t home = ZoneOfEntry(from);
  const bool cut =
      home == this->zone && (this->Has(FaultKind::kZoneIsolated, at) ||
                             this->Has(FaultKind::kZoneMute, at) ||
                             this->Has(FaultKind::kStorePathCut, at));
  const bool slow = this->Has(FaultKind::kStoreSlow, at) ||
                    this->random.Chance(kSlowStoreCall);
  StoreSample sample{
      Entry(from), ZoneAt(home),
      kReplyTime + ToMilliseconds(this->random.DurationBelow(Milliseconds(15))),
      cut || this->Has(FaultKind::kStoreDown, at)};
  if (sample.failed) {
    sample.latency = kTimeout;
  } else if (slow) {
    sample.latency = kSlowStoreTime;
  }
  this->Record(from, at, sample.latency, sample);
}

void DiagnosisSimulation::CallWorkers(std::size_t home, MonotonicTime at) {
  const std::size_t from = this->DispatcherOf(home, at);
  if (from == kEntries) {
    return;
  }
  for (std::size_t pool = 0; pool < kPools; ++pool) {
    const std::size_t first = home * kWorkersInZone + pool * kWorkersInCell;
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
  if (target == this->worker && this->Has(FaultKind::kWorkerDown, at)) {
    this->Record(from, at, kReplyTime,
                 RefusedConnection{Entry(from), Worker(target),
                                   PoolAt(PoolOfWorker(target)),
                                   ZoneAt(ZoneOfWorker(target))});
    return;
  }
  const bool reached = this->ReachesWorker(from, target, at);
  this->Record(
      from, at, reached ? kReplyTime : kTimeout,
      WorkerContact{Entry(from), Worker(target), PoolAt(PoolOfWorker(target)),
                    ZoneAt(ZoneOfEntry(from)), ZoneAt(ZoneOfWorker(target)),
                    reached});
  if (reached) {
    this->ReportWorker(from, target, at);
  } else if (this->EntryRuns(from, at + kTimeout)) {
    this->ProbeFromPeers(from, target, at + kTimeout);
  }
}

void DiagnosisSimulation::ReportWorker(std::size_t from,
                                       std::size_t target,
                                       MonotonicTime at) {
  WorkerResults results{Worker(target), PoolAt(PoolOfWorker(target)), 0, 0};
  for (int i = 0; i < 2; ++i) {
    const bool fails =
        this->WorkerFails(target, at) || this->random.Chance(kFailedTask);
    ++(fails ? results.failed : results.done);
  }
  this->Record(from, at, kReplyTime, results);
}

// An instance that gets no answer from a worker asks two peers of other zones
// to try; see ExplainService.
void DiagnosisSimulation::ProbeFromPeers(std::size_t from,
                                         std::size_t target,
                                         MonotonicTime at) {
  const std::size_t home = ZoneOfEntry(from);
  for (std::size_t i = 1; i <= 2; ++i) {
    const std::size_t peer =
        (home + i) % kZones * kEntriesInZone + this->random.Below(2);
    if (!this->EntryRuns(peer, at) ||
        !this->PathWorks(home, ZoneOfEntry(peer), at)) {
      continue;
    }
    const bool reached = this->ReachesWorker(peer, target, at);
    this->Record(
        peer, at, reached ? kReplyTime : kTimeout,
        WorkerContact{Entry(peer), Worker(target), PoolAt(PoolOfWorker(target)),
                      ZoneAt(ZoneOfEntry(peer)), ZoneAt(ZoneOfWorker(target)),
                      reached});
  }
}

void DiagnosisSimulation::WaitInQueues(std::size_t home, MonotonicTime at) {
  const std::size_t from = this->DispatcherOf(home, at);
  if (from == kEntries) {
    return;
  }
  for (std::size_t pool = 0; pool < kPools; ++pool) {
    QueueDelay delay{PoolAt(pool), ZoneAt(home),
                     ToMilliseconds(this->random.Exponential(kReplyTime * 20)),
                     kServiceTime + ToMilliseconds(this->random.DurationBelow(
                                        kServiceTime))};
    const bool overloaded =
        (this->Has(FaultKind::kPoolOverloaded, at) &&
         pool == PoolOfWorker(this->worker)) ||
        (this->Has(FaultKind::kZoneTakenOut, at) && home != this->zone);
    if (overloaded) {
      // Waits grow while more comes than the pool does.
      delay.wait += ToMilliseconds(at - this->first_onset) +
                    Milliseconds(this->random.Below(2000));
    }
    this->Record(from, at, kReplyTime, delay);
  }
  if (this->Has(FaultKind::kShortDeadlines, at)) {
    this->Record(from, at, kReplyTime,
                 ShortDeadline{TaskId(this->random.Hex(4)), QueueName(kQueue),
                               kServiceTime / 4, kServiceTime});
  }
}

void DiagnosisSimulation::RefuseWork(MonotonicTime at) {
  const auto refuse = [this, at](FaultKind kind, RefusalReason reason) {
    if (this->Has(kind, at) && this->random.Chance(kRefusalChance)) {
      this->Record(this->random.Below(kEntries), at, kReplyTime,
                   Refusal{reason, TeamName(kTeam), QueueName(kQueue),
                           ZoneAt(this->zone)});
    }
  };
  refuse(FaultKind::kTeamOverLimit, RefusalReason::kLimit);
  refuse(FaultKind::kLimitLowered, RefusalReason::kLimit);
  refuse(FaultKind::kKeyWithdrawn, RefusalReason::kKey);
  refuse(FaultKind::kQueueChanged, RefusalReason::kQueue);
}

void DiagnosisSimulation::AdoptVersions() {
  for (const Active& fault : this->active) {
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
        version.subject = ZoneAt(this->zone).str();
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

void DiagnosisSimulation::LoseConnections() {
  for (const Active& fault : this->active) {
    const bool many = fault.kind == FaultKind::kConnectionsLost;
    if (!many && fault.kind != FaultKind::kWorkerReset) {
      continue;
    }
    const std::size_t first = many ? this->zone * kWorkersInZone : this->worker;
    const std::size_t count = many ? kWorkersInZone : 1;
    const MonotonicTime back =
        many ? fault.from : fault.from + Duration(kResetTime);
    for (std::size_t i = first; i < first + count; ++i) {
      const std::size_t from = this->DispatcherOf(this->zone, back);
      const Duration delay =
          kTimeout + this->random.DurationBelow(std::chrono::seconds(3));
      this->Record(
          from, back + delay, kReplyTime,
          SilentConnection{Entry(from), Worker(i), PoolAt(PoolOfWorker(i)),
                           ZoneAt(this->zone), ZoneAt(this->zone)});
    }
    if (!many) {
      this->Record(this->DispatcherOf(this->zone, back), back, kReplyTime,
                   WorkerRestarted{Worker(this->worker),
                                   PoolAt(PoolOfWorker(this->worker))});
    }
  }
}

void DiagnosisSimulation::AddNoise(MonotonicTime at) {
  const std::size_t from = this->random.Below(kEntries);
  const std::size_t target = this->random.Below(kWorkers);
  const PoolName pool = PoolAt(PoolOfWorker(target));
  const ZoneName there = ZoneAt(ZoneOfWorker(target));
  const std::vector<ObservationDetail> odd = {
      SilentConnection{Entry(from), Worker(target), pool,
                       ZoneAt(ZoneOfEntry(from)), there},
      RefusedConnection{Entry(from), Worker(target), pool, there},
      WorkerRestarted{Worker(target), pool},
      ConfigurationAdopted{16, ConfigurationEffect::kOther, "the roster"},
      Refusal{RefusalReason::kLimit, TeamName("planning"), QueueName("plan"),
              there},
      ShortDeadline{TaskId(this->random.Hex(4)), QueueName("plan"),
                    kServiceTime / 2, kServiceTime},
      QueueDelay{pool, there, Milliseconds(9000), kServiceTime}};
  for (const ObservationDetail& detail : odd) {
    const bool silent = std::holds_alternative<SilentConnection>(detail);
    if (this->random.Chance(silent ? kOddSilent : kOddEvent)) {
      this->Record(from, at, kReplyTime, detail);
    }
  }
}

}  // namespace daisyroad

#include "Bench/diagnosis_simulation.h"

#include <algorithm>

#include "Bench/diagnosis_layout.h"

namespace daisyroad {
using namespace diagnosis_layout;

DiagnosisSimulation::DiagnosisSimulation(const InjectedFault& fault,
                                         std::uint64_t seed)
    : random(seed),
      first_onset(kStart + kQuietTime +
                  this->random.DurationBelow(std::chrono::seconds(4))),
      zone(this->random.Below(kZones)),
      other_zone((this->zone + 1 + this->random.Below(kZones - 1)) % kZones),
      entry(this->zone * kEntriesInZone + this->random.Below(kEntriesInZone)),
      worker(this->zone * kWorkersInZone + this->random.Below(kWorkersInZone)) {
  for (const TimedFault& timed : fault.faults) {
    this->active.push_back({timed.kind, this->first_onset + timed.delay});
  }
  this->AdoptVersions();
  this->LoseConnections();
  for (MonotonicTime at = kStart; at < kStart + kRunTime; at += kTick) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      const MonotonicTime when = at + this->random.DurationBelow(kTick);
      if (this->EntryRuns(i, when)) {
        this->Exchange(i, when);
        this->CallStore(i, when);
      }
    }
    for (std::size_t i = 0; i < kZones; ++i) {
      const MonotonicTime when = at + this->random.DurationBelow(kTick);
      this->CallWorkers(i, when);
      this->WaitInQueues(i, when);
    }
    this->RefuseWork(at);
    this->AddNoise(at);
  }
}

std::vector<Observation> DiagnosisSimulation::Gather(std::size_t asked,
                                                     MonotonicTime now) const {
  std::vector<Observation> gathered;
  const std::size_t home = ZoneOfEntry(asked);
  for (const Recorded& item : this->recorded) {
    const std::size_t there = ZoneOfEntry(item.holder);
    const bool answers =
        item.holder == asked ||
        (this->EntryRuns(item.holder, now) &&
         !this->PathCut(home, there, now) && !this->PathCut(there, home, now));
    if (answers && item.available <= now) {
      gathered.push_back(item.observation);
    }
  }
  return gathered;
}

bool DiagnosisSimulation::Has(FaultKind kind, MonotonicTime at) const {
  return std::any_of(this->active.begin(), this->active.end(),
                     [kind, at](const Active& fault) {
                       return fault.kind == kind && at >= fault.from;
                     });
}

bool DiagnosisSimulation::PathCut(std::size_t from,
                                  std::size_t to,
                                  MonotonicTime at) const {
  if (from == to) {
    return false;
  }
  const bool forth = from == this->zone && to == this->other_zone;
  const bool back = from == this->other_zone && to == this->zone;
  const bool flapped = this->Has(FaultKind::kPathFlapping, at) &&
                       (at - this->first_onset) / Duration(kFlap) % 2 == 0;
  return ((forth || back) && (this->Has(FaultKind::kPathCut, at) || flapped)) ||
         (forth && this->Has(FaultKind::kPathCutOneWay, at)) ||
         ((from == this->zone || to == this->zone) &&
          this->Has(FaultKind::kZoneIsolated, at)) ||
         (from == this->zone && this->Has(FaultKind::kZoneMute, at));
}

bool DiagnosisSimulation::PathLate(std::size_t from,
                                   std::size_t to,
                                   MonotonicTime at) const {
  const bool path = (from == this->zone && to == this->other_zone) ||
                    (from == this->other_zone && to == this->zone);
  return path && this->Has(FaultKind::kPathSlow, at);
}

bool DiagnosisSimulation::PathWorks(std::size_t from,
                                    std::size_t to,
                                    MonotonicTime at) {
  const bool lossy_path = (from == this->zone && to == this->other_zone) ||
                          (from == this->other_zone && to == this->zone);
  const bool lossy = lossy_path && this->Has(FaultKind::kPathLossy, at);
  return !this->PathCut(from, to, at) &&
         !this->random.Chance(lossy ? kLossyShare : kLostMessage);
}

bool DiagnosisSimulation::EntryRuns(std::size_t index, MonotonicTime at) const {
  const bool paused = index == this->entry &&
                      this->Has(FaultKind::kEntryPaused, at) &&
                      at < this->first_onset + kPause;
  const bool dead =
      (index == this->entry && this->Has(FaultKind::kEntryKilled, at)) ||
      (ZoneOfEntry(index) == this->zone &&
       this->Has(FaultKind::kZonePowerLost, at));
  return !paused && !dead;
}

bool DiagnosisSimulation::WorkerAnswers(std::size_t index,
                                        MonotonicTime at) const {
  const bool faulty = index == this->worker;
  const bool in_zone = ZoneOfWorker(index) == this->zone;
  const bool resetting = faulty && this->Has(FaultKind::kWorkerReset, at) &&
                         at < this->first_onset + kResetTime;
  return !resetting && !(faulty && this->Has(FaultKind::kWorkerDead, at)) &&
         !(faulty && this->Has(FaultKind::kWorkerHung, at)) &&
         !(in_zone && index % kWorkersInZone < kRack &&
           this->Has(FaultKind::kRackLost, at)) &&
         !(in_zone && this->Has(FaultKind::kZonePowerLost, at));
}

bool DiagnosisSimulation::WorkerFails(std::size_t index,
                                      MonotonicTime at) const {
  return (index == this->worker && this->Has(FaultKind::kWorkerFailing, at)) ||
         (PoolOfWorker(index) == PoolOfWorker(this->worker) &&
          this->Has(FaultKind::kWorkersFailing, at));
}

std::size_t DiagnosisSimulation::DispatcherOf(std::size_t index,
                                              MonotonicTime at) const {
  for (std::size_t i = 0; i < kEntriesInZone; ++i) {
    if (this->EntryRuns(index * kEntriesInZone + i, at)) {
      return index * kEntriesInZone + i;
    }
  }
  return kEntries;
}

bool DiagnosisSimulation::ReachesWorker(std::size_t from,
                                        std::size_t target,
                                        MonotonicTime at) {
  const std::size_t home = ZoneOfEntry(from);
  const std::size_t there = ZoneOfWorker(target);
  const bool cut = home == this->zone && there == this->zone &&
                   this->Has(FaultKind::kWorkerPathCut, at);
  return !cut && this->WorkerAnswers(target, at) &&
         this->PathWorks(home, there, at) && this->PathWorks(there, home, at);
}

bool DiagnosisSimulation::CanAsk(std::size_t index, MonotonicTime at) const {
  return this->EntryRuns(index, at);
}

void DiagnosisSimulation::Record(std::size_t holder,
                                 MonotonicTime at,
                                 Duration delay,
                                 const ObservationDetail& detail) {
  // A paused instance notices its timeouts when it runs again.
  MonotonicTime known = at + delay;
  if (!this->EntryRuns(holder, known)) {
    known = std::max(known, this->first_onset + kPause);
  }
  if (this->EntryRuns(holder, known)) {
    this->recorded.push_back({holder, known, {at, detail}});
  }
}

}  // namespace daisyroad

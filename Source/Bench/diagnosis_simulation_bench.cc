#include "Bench/diagnosis_simulation.h"

#include <algorithm>

#include "Bench/diagnosis_layout.h"

namespace daisyroad {
using namespace diagnosis_layout;

DiagnosisSimulation::DiagnosisSimulation(const InjectedFault& fault,
                                         std::uint64_t seed)
    : random(seed),
      first_onset(kStartTime + kFaultFreeTime +
                  this->random.DurationBelow(std::chrono::seconds(4))),
      faulty_zone(this->random.Below(kZones)),
      other_zone((this->faulty_zone + 1 + this->random.Below(kZones - 1)) %
                 kZones),
      faulty_entry(this->faulty_zone * kEntriesInZone +
                   this->random.Below(kEntriesInZone)),
      faulty_worker(this->faulty_zone * kWorkersInZone +
                    this->random.Below(kWorkersInZone)) {
  for (const TimedFault& timed : fault.faults) {
    this->active_faults.push_back(
        {timed.kind, this->first_onset + timed.delay});
  }
  this->RecordConfigurationChanges();
  this->RecordSilentConnections();
  for (MonotonicTime at = kStartTime; at < kStartTime + kRunTime;
       at += kRoundInterval) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      const MonotonicTime when =
          at + this->random.DurationBelow(kRoundInterval);
      if (this->IsEntryRunning(i, when)) {
        this->ExchangeGossip(i, when);
        this->CallStore(i, when);
      }
    }
    for (std::size_t i = 0; i < kZones; ++i) {
      const MonotonicTime when =
          at + this->random.DurationBelow(kRoundInterval);
      this->CallWorkers(i, when);
      this->RecordQueueDelays(i, when);
    }
    this->RecordRefusals(at);
    this->AddNoise(at);
  }
}

std::vector<Observation> DiagnosisSimulation::Gather(std::size_t asked,
                                                     MonotonicTime now) const {
  std::vector<Observation> gathered;
  const std::size_t own_zone = ZoneOfEntry(asked);
  for (const RecordedObservation& item : this->recorded_observations) {
    const std::size_t target_zone = ZoneOfEntry(item.holder);
    const bool is_reachable =
        item.holder == asked || (this->IsEntryRunning(item.holder, now) &&
                                 !this->IsPathCut(own_zone, target_zone, now) &&
                                 !this->IsPathCut(target_zone, own_zone, now));
    if (is_reachable && item.available <= now) {
      gathered.push_back(item.observation);
    }
  }
  return gathered;
}

bool DiagnosisSimulation::IsActive(FaultKind kind, MonotonicTime at) const {
  return std::any_of(this->active_faults.begin(), this->active_faults.end(),
                     [kind, at](const ActiveFault& fault) {
                       return fault.kind == kind && at >= fault.from;
                     });
}

bool DiagnosisSimulation::IsPathCut(std::size_t from,
                                    std::size_t to,
                                    MonotonicTime at) const {
  if (from == to) {
    return false;
  }
  const bool is_forward = from == this->faulty_zone && to == this->other_zone;
  const bool is_backward = from == this->other_zone && to == this->faulty_zone;
  const bool is_flapped =
      this->IsActive(FaultKind::kPathFlapping, at) &&
      (at - this->first_onset) / Duration(kFlapInterval) % 2 == 0;
  return ((is_forward || is_backward) &&
          (this->IsActive(FaultKind::kPathCut, at) || is_flapped)) ||
         (is_forward && this->IsActive(FaultKind::kPathCutOneWay, at)) ||
         ((from == this->faulty_zone || to == this->faulty_zone) &&
          this->IsActive(FaultKind::kZoneIsolated, at)) ||
         (from == this->faulty_zone &&
          this->IsActive(FaultKind::kZoneOutboundLost, at));
}

bool DiagnosisSimulation::IsPathSlow(std::size_t from,
                                     std::size_t to,
                                     MonotonicTime at) const {
  const bool is_faulty_path =
      (from == this->faulty_zone && to == this->other_zone) ||
      (from == this->other_zone && to == this->faulty_zone);
  return is_faulty_path && this->IsActive(FaultKind::kPathSlow, at);
}

bool DiagnosisSimulation::DeliversMessage(std::size_t from,
                                          std::size_t to,
                                          MonotonicTime at) {
  const bool is_faulty_path =
      (from == this->faulty_zone && to == this->other_zone) ||
      (from == this->other_zone && to == this->faulty_zone);
  const bool is_lossy =
      is_faulty_path && this->IsActive(FaultKind::kPathLossy, at);
  return !this->IsPathCut(from, to, at) &&
         !this->random.Chance(is_lossy ? kLossyPathLossRate
                                       : kBackgroundLossRate);
}

bool DiagnosisSimulation::IsEntryRunning(std::size_t index,
                                         MonotonicTime at) const {
  const bool is_paused = index == this->faulty_entry &&
                         this->IsActive(FaultKind::kEntryPaused, at) &&
                         at < this->first_onset + kEntryPauseTime;
  const bool is_dead = (index == this->faulty_entry &&
                        this->IsActive(FaultKind::kEntryKilled, at)) ||
                       (ZoneOfEntry(index) == this->faulty_zone &&
                        this->IsActive(FaultKind::kZonePowerLost, at));
  return !is_paused && !is_dead;
}

bool DiagnosisSimulation::IsWorkerResponsive(std::size_t index,
                                             MonotonicTime at) const {
  const bool is_faulty = index == this->faulty_worker;
  const bool is_in_faulty_zone = ZoneOfWorker(index) == this->faulty_zone;
  const bool is_resetting = is_faulty &&
                            this->IsActive(FaultKind::kWorkerReset, at) &&
                            at < this->first_onset + kHostResetTime;
  return !is_resetting &&
         !(is_faulty && this->IsActive(FaultKind::kWorkerDead, at)) &&
         !(is_faulty && this->IsActive(FaultKind::kWorkerHung, at)) &&
         !(is_in_faulty_zone && index % kWorkersInZone < kWorkersInRack &&
           this->IsActive(FaultKind::kRackLost, at)) &&
         !(is_in_faulty_zone && this->IsActive(FaultKind::kZonePowerLost, at));
}

bool DiagnosisSimulation::IsWorkerFailingTasks(std::size_t index,
                                               MonotonicTime at) const {
  return (index == this->faulty_worker &&
          this->IsActive(FaultKind::kWorkerFailing, at)) ||
         (PoolOfWorker(index) == PoolOfWorker(this->faulty_worker) &&
          this->IsActive(FaultKind::kWorkersFailing, at));
}

std::size_t DiagnosisSimulation::DispatcherOf(std::size_t index,
                                              MonotonicTime at) const {
  for (std::size_t i = 0; i < kEntriesInZone; ++i) {
    if (this->IsEntryRunning(index * kEntriesInZone + i, at)) {
      return index * kEntriesInZone + i;
    }
  }
  return kEntries;
}

bool DiagnosisSimulation::CanReachWorker(std::size_t from,
                                         std::size_t target,
                                         MonotonicTime at) {
  const std::size_t own_zone = ZoneOfEntry(from);
  const std::size_t target_zone = ZoneOfWorker(target);
  const bool cut = own_zone == this->faulty_zone &&
                   target_zone == this->faulty_zone &&
                   this->IsActive(FaultKind::kWorkerPathCut, at);
  return !cut && this->IsWorkerResponsive(target, at) &&
         this->DeliversMessage(own_zone, target_zone, at) &&
         this->DeliversMessage(target_zone, own_zone, at);
}

bool DiagnosisSimulation::CanAsk(std::size_t index, MonotonicTime at) const {
  return this->IsEntryRunning(index, at);
}

void DiagnosisSimulation::Record(std::size_t holder,
                                 MonotonicTime at,
                                 Duration delay,
                                 const ObservationDetail& detail) {
  // A paused instance detects its timeouts when it resumes.
  MonotonicTime known = at + delay;
  if (!this->IsEntryRunning(holder, known)) {
    known = std::max(known, this->first_onset + kEntryPauseTime);
  }
  if (this->IsEntryRunning(holder, known)) {
    this->recorded_observations.push_back({holder, known, {at, detail}});
  }
}

}  // namespace daisyroad

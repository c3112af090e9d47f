#ifndef SOURCE_BENCH_DIAGNOSIS_SIMULATION_H_
#define SOURCE_BENCH_DIAGNOSIS_SIMULATION_H_

#include <cstdint>
#include <vector>

#include "Bench/diagnosis_faults.h"
#include "Core/Common/random.h"
#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// Simulates the observations that the entry instances of four zones make while
// faults are injected, with background failures as noise. Observations are
// derived only from the state of network paths, instances, workers and the
// store, not from the rules of the classifier under test.
class DiagnosisSimulation {
 public:
  DiagnosisSimulation(const InjectedFault& fault, std::uint64_t seed);

  MonotonicTime onset() const { return this->first_onset; }
  // Whether the instance is running. Instances are numbered from 0, zone by
  // zone.
  bool CanAsk(std::size_t index, MonotonicTime at) const;
  // Returns the observations available at `now` to instance `asked`: its own
  // and those of the peers that it can reach in both directions.
  std::vector<Observation> Gather(std::size_t asked, MonotonicTime now) const;

 private:
  struct RecordedObservation {
    std::size_t holder;       // index of the entry instance
    MonotonicTime available;  // when the holder has it
    Observation observation;
  };
  struct ActiveFault {
    FaultKind kind;
    MonotonicTime from;
  };

  bool IsActive(FaultKind kind, MonotonicTime at) const;
  bool DeliversMessage(std::size_t from, std::size_t to, MonotonicTime at);
  bool IsPathCut(std::size_t from, std::size_t to, MonotonicTime at) const;
  bool IsPathSlow(std::size_t from, std::size_t to, MonotonicTime at) const;
  bool IsEntryRunning(std::size_t entry, MonotonicTime at) const;
  bool IsWorkerResponsive(std::size_t worker, MonotonicTime at) const;
  bool IsWorkerFailingTasks(std::size_t worker, MonotonicTime at) const;
  // Returns the dispatcher of the cells of a zone, or kEntries if no instance
  // of the zone is running.
  std::size_t DispatcherOf(std::size_t zone, MonotonicTime at) const;
  bool CanReachWorker(std::size_t entry, std::size_t worker, MonotonicTime at);

  void Record(std::size_t holder,
              MonotonicTime at,
              Duration delay,
              const ObservationDetail& detail);
  void ExchangeGossip(std::size_t entry, MonotonicTime at);
  void CallStore(std::size_t entry, MonotonicTime at);
  void CallWorkers(std::size_t zone, MonotonicTime at);
  void CallWorker(std::size_t entry, std::size_t worker, MonotonicTime at);
  void RecordWorkerResults(std::size_t entry,
                           std::size_t worker,
                           MonotonicTime at);
  void ProbeFromPeers(std::size_t entry, std::size_t worker, MonotonicTime at);
  void RecordQueueDelays(std::size_t zone, MonotonicTime at);
  void RecordRefusals(MonotonicTime at);
  void RecordConfigurationChanges();
  void RecordSilentConnections();
  void AddNoise(MonotonicTime at);

  Random random;
  MonotonicTime first_onset;
  std::vector<ActiveFault> active_faults;
  std::size_t faulty_zone;  // also one end of a faulty path
  std::size_t other_zone;   // the other end of a faulty path
  std::size_t faulty_entry;
  std::size_t faulty_worker;
  std::vector<RecordedObservation> recorded_observations;
};

}  // namespace daisyroad

#endif  // SOURCE_BENCH_DIAGNOSIS_SIMULATION_H_

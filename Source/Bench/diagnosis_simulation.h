#ifndef SOURCE_BENCH_DIAGNOSIS_SIMULATION_H_
#define SOURCE_BENCH_DIAGNOSIS_SIMULATION_H_

#include <cstdint>
#include <vector>

#include "Bench/diagnosis_faults.h"
#include "Core/Common/random.h"
#include "Core/Diagnosis/observation.h"

namespace daisyroad {

// Observations that the entry instances of four zones would make while faults
// occur, with ordinary failures as noise. Observations follow from the state of
// paths, instances, workers and the store; the rules have no part in them.
class DiagnosisSimulation {
 public:
  DiagnosisSimulation(const InjectedFault& fault, std::uint64_t seed);

  MonotonicTime onset() const { return this->first_onset; }
  // Instances are numbered from 0; those of one zone follow each other.
  bool CanAsk(std::size_t index, MonotonicTime at) const;
  // What the instance can gather at `now` from itself and the peers that
  // answer it.
  std::vector<Observation> Gather(std::size_t asked, MonotonicTime now) const;

 private:
  struct Recorded {
    std::size_t holder;       // index of the entry instance
    MonotonicTime available;  // when the holder knows it
    Observation observation;
  };
  struct Active {
    FaultKind kind;
    MonotonicTime from;
  };

  bool Has(FaultKind kind, MonotonicTime at) const;
  bool PathWorks(std::size_t from, std::size_t to, MonotonicTime at);
  bool PathCut(std::size_t from, std::size_t to, MonotonicTime at) const;
  bool PathLate(std::size_t from, std::size_t to, MonotonicTime at) const;
  bool EntryRuns(std::size_t entry, MonotonicTime at) const;
  bool WorkerAnswers(std::size_t worker, MonotonicTime at) const;
  bool WorkerFails(std::size_t worker, MonotonicTime at) const;
  // The dispatcher of the cells of a zone; kEntries if none is alive.
  std::size_t DispatcherOf(std::size_t zone, MonotonicTime at) const;
  bool ReachesWorker(std::size_t entry, std::size_t worker, MonotonicTime at);

  void Record(std::size_t holder,
              MonotonicTime at,
              Duration delay,
              const ObservationDetail& detail);
  void Exchange(std::size_t entry, MonotonicTime at);
  void CallStore(std::size_t entry, MonotonicTime at);
  void CallWorkers(std::size_t zone, MonotonicTime at);
  void CallWorker(std::size_t entry, std::size_t worker, MonotonicTime at);
  void ReportWorker(std::size_t entry, std::size_t worker, MonotonicTime at);
  void ProbeFromPeers(std::size_t entry, std::size_t worker, MonotonicTime at);
  void WaitInQueues(std::size_t zone, MonotonicTime at);
  void RefuseWork(MonotonicTime at);
  void AdoptVersions();
  void LoseConnections();
  void AddNoise(MonotonicTime at);

  Random random;
  MonotonicTime first_onset;
  std::vector<Active> active;
  std::size_t zone;        // the zone with the fault
  std::size_t other_zone;  // the other end of a path
  std::size_t entry;       // the entry instance with the fault
  std::size_t worker;      // the worker with the fault
  std::vector<Recorded> recorded;
};

}  // namespace daisyroad

#endif  // SOURCE_BENCH_DIAGNOSIS_SIMULATION_H_

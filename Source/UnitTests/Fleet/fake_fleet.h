#ifndef SOURCE_UNITTESTS_FLEET_FAKE_FLEET_H_
#define SOURCE_UNITTESTS_FLEET_FAKE_FLEET_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Fleet/pool_ledger.h"
#include "UnitTests/Fleet/fake_worker.h"
#include "UnitTests/Fleet/fleet_checker.h"

namespace daisyroad {

// Records and observation known to one entry instance.
struct EntryView {
  EntryName name;
  PoolLedger ledger;
  BudgetTable budgets;
  FleetObservation observation;
};

// Simulates a store, workers and several entry instances in virtual time with
// one tick per second. The seed determines all random faults: lost responses,
// store outages, pauses and crashes of entry instances, failures of workers,
// racks and zones, and zones taken out of service.
class FakeFleet {
 public:
  using Policy = std::function<std::vector<FleetAction>(const EntryView& view,
                                                        MonotonicTime now,
                                                        Random& random)>;

  // Creates the pools p0 to p2 with three or four workers each in two zones,
  // and the services s0 (p0, p1), s1 (p1, p2) and s2 (p2). `decide` returns the
  // actions of an entry instance for its view.
  FakeFleet(std::uint64_t seed, Policy decide);

  void Run(int ticks, bool faults);
  // True if a worker that is up is draining, so that it refuses tasks.
  bool HasDraining() const;

  FleetChecker checker;
  InstanceTable records;
  BudgetTable budgets;
  const ServiceTopology& topology() const { return this->services; }
  int lost_responses = 0;

 private:
  struct Entry {
    EntryView view;
    // State of the fleet when `view` was taken.
    GroundTruth truth;
    std::deque<std::pair<FleetAction, GroundTruth>> queue;
    int pause_ticks_left = 0;
    int restarts = 0;
  };

  void InjectFaults();
  void FailWorkers();
  void Refresh(Entry& entry);
  void RefreshBudgets(Entry& entry);
  void RunEntry(Entry& entry, bool faults);
  void RestartEntry(Entry& entry);
  void Execute(const WriteInstance& write, const GroundTruth& truth);
  void Execute(const WriteBudget& write, const GroundTruth& truth);
  void Execute(const DrainWorker& drain, const GroundTruth& truth);
  void Execute(const CheckpointWorker& checkpoint, const GroundTruth& truth);
  void Execute(const RebootWorker& reboot, const GroundTruth& truth);
  void Write(const WriteInstance& write, const GroundTruth& truth);
  GroundTruth TakeGroundTruth() const;

  ServiceTopology services;
  Random random;
  Policy policy;
  std::map<WorkerName, FakeWorker> workers;
  std::set<ZoneName> zones_out;
  std::vector<Entry> entries;
  std::int64_t revision = 0;
  MonotonicTime now{std::chrono::hours(1)};
  int outage_ticks_left = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_FLEET_FAKE_FLEET_H_

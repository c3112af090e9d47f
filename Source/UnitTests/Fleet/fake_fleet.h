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

// What one entry instance knows.
struct EntryView {
  EntryName name;
  PoolLedger ledger;
  BudgetTable budgets;
  FleetObservation observation;
};

// Store, workers and several entry instances in virtual time of one second a
// tick, with random faults from one seed: lost answers, store outages, pauses,
// crashes, failures of workers, racks and zones, zones taken out.
class FakeFleet {
 public:
  using Policy = std::function<std::vector<FleetAction>(const EntryView& view,
                                                        MonotonicTime now,
                                                        Random& random)>;

  // Pools p0 to p2 of three to four workers in two zones; services s0 (p0, p1),
  // s1 (p1, p2) and s2 (p2).
  FakeFleet(std::uint64_t seed, Policy decide);

  void Run(int ticks, bool faults);
  // True if some worker refuses work although it is up.
  bool HasDraining() const;

  FleetChecker checker;
  InstanceTable records;
  BudgetTable budgets;
  const ServiceTopology& topology() const { return this->services; }
  int lost_answers = 0;

 private:
  struct Entry {
    EntryView view;
    TruthSnapshot truth;
    std::deque<std::pair<FleetAction, TruthSnapshot>> queue;
    int paused = 0;
    int starts = 0;
  };

  void InjectFaults();
  void FailWorkers();
  void Refresh(Entry& entry);
  void RefreshBudgets(Entry& entry);
  void Act(Entry& entry, bool faults);
  void Crash(Entry& entry);
  void Execute(const WriteInstance& write, const TruthSnapshot& truth);
  void Execute(const WriteBudget& write, const TruthSnapshot& truth);
  void Execute(const DrainWorker& drain, const TruthSnapshot& truth);
  void Execute(const CheckpointWorker& checkpoint, const TruthSnapshot& truth);
  void Execute(const RebootWorker& reboot, const TruthSnapshot& truth);
  void Write(const WriteInstance& write, const TruthSnapshot& truth);
  TruthSnapshot Truth() const;

  ServiceTopology services;
  Random random;
  Policy policy;
  std::map<WorkerName, FakeWorker> workers;
  std::set<ZoneName> zones_out;
  std::vector<Entry> entries;
  std::int64_t revision = 0;
  MonotonicTime now{std::chrono::hours(1)};
  int outage_left = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_FLEET_FAKE_FLEET_H_

#ifndef SOURCE_BENCH_MAINTENANCE_SIMULATION_H_
#define SOURCE_BENCH_MAINTENANCE_SIMULATION_H_

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Fleet/pool_ledger.h"
#include "Core/Maintenance/maintenance_windows.h"
#include "Core/Maintenance/wave_executor.h"

namespace daisyroad {

using ServiceCounts = std::map<ServiceName, std::int64_t>;

// Fleet size and fault rates of one simulation.
struct MaintenanceSimulationConfig {
  int workers = 0;
  int pools = 0;
  int zones = 0;
  double allowed_fraction = 0.0;  // fraction of a service that may be down
  // Rates of design 1.4, scaled by the size of the fleet.
  double failures_per_day = 0.0;
  double restarts_per_day = 0.0;
  bool has_zone_loss = false;
  MaintenanceWindows windows;
};

struct MaintenanceSimulationResult {
  bool is_complete = false;
  Duration rollout = Duration::zero();
  int reboots = 0;
  int checkpoints = 0;  // each disturbs one task
  int store_writes = 0;
  int budget_breaches = 0;  // drains that began without free budget
  Duration slowest_decision = Duration::zero();
};

// Discrete-event simulation, in virtual time, of one entry instance, a store
// that always answers and workers that alternate between a long task and idle
// time.
class MaintenanceSimulation {
 public:
  // Duration of a reboot and the time until the instance list shows the worker
  // again; their sum is the shortest downtime of an operation.
  static constexpr Duration kRebootTime = std::chrono::minutes(5);
  static constexpr Duration kInstanceListLag = std::chrono::seconds(30);
  static constexpr Duration kCheckpointPatience = std::chrono::seconds(60);

  MaintenanceSimulation(const MaintenanceSimulationConfig& simulation_config,
                        std::uint64_t seed);

  MaintenanceInput MakeInput() const;
  MaintenanceSimulationResult Run(const MaintenancePlan& plan, Duration limit);
  // Returns a lower bound of the roll-out time of any plan under the faults of
  // this seed if each operation takes at least `downtime`; performs no
  // maintenance. At time t, the operations in their first `downtime` are at
  // most as many as the budget allowed when the last of them began, which is at
  // most `downtime` ago. A failed worker reduces the remaining budget only once
  // it has been down for longer than `downtime`: before that, it may have
  // failed during its own operation, and must not be counted twice.
  Duration RolloutLowerBound(Duration downtime, Duration limit);

 private:
  struct Worker {
    std::int64_t incarnation = 1;
    bool is_up = true;
    bool is_draining = false;
    Duration returns_at = Duration::zero();
    Duration listed_at = Duration::zero();
    Duration down_since = Duration::zero();
    Duration busy_until = Duration::zero();
    Duration idle_until = Duration::zero();
  };

  using WorkerTable = std::map<WorkerName, Worker>;

  void BuildFleet();
  void ScheduleFaults(Duration limit);
  void AdvanceToNextEvent();
  void UpdateLoad(Worker& worker);
  std::map<ServiceName, Duration> RequiredDowntime(Duration downtime) const;
  ServiceCounts RemainingBudget(Duration downtime) const;
  void TakeDown(Worker& worker, Duration downtime);
  void ApplyFaults();
  void Observe();
  bool Decide(const MaintenancePlan& plan);
  void Execute(const WriteInstance& write);
  void Execute(const WriteBudget& write);
  void Execute(const DrainWorker& drain);
  void Execute(const CheckpointWorker& checkpoint);
  void Execute(const RebootWorker& reboot);
  void CountBudgetBreaches(const InstanceRecord& record);
  bool IsComplete(const MaintenancePlan& plan) const;

  MaintenanceSimulationConfig config;
  Random random;
  PoolLedger ledger;
  BudgetTable budgets;
  ServiceTopology topology;
  FleetObservation observation;
  WorkerTable workers;
  std::vector<WorkerName> worker_names;
  struct Fault {
    WorkerName worker;
    Duration downtime;
  };
  // Separate from the generator of the load, so that the faults are the same
  // for every plan.
  Random fault_random;
  std::multimap<Duration, Fault> faults;
  std::int64_t revision = 0;
  Duration now = Duration::zero();
  std::priority_queue<Duration, std::vector<Duration>, std::greater<>> events;
  MaintenanceSimulationResult result;
};

}  // namespace daisyroad

#endif  // SOURCE_BENCH_MAINTENANCE_SIMULATION_H_

#ifndef SOURCE_BENCH_MAINTENANCE_WORLD_H_
#define SOURCE_BENCH_MAINTENANCE_WORLD_H_

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

// Sizes and rates of a bench run.
struct WorldConfig {
  int workers = 0;
  int pools = 0;
  int zones = 0;
  double allowed = 0.0;  // part of a service that may be down
  // Design 1.4, scaled by the size of the fleet.
  double failures_per_day = 0.0;
  double restarts_per_day = 0.0;
  bool zone_loss = false;
  MaintenanceWindows windows;
};

struct WorldResult {
  bool complete = false;
  Duration rollout = Duration::zero();
  int reboots = 0;
  int checkpoints = 0;  // tasks disturbed
  int store_writes = 0;
  int budget_breaches = 0;  // drains that began without room
  Duration slowest_decision = Duration::zero();
};

// One entry instance, a store that always answers and workers that alternate
// between a long task and idle time, in virtual time. It jumps from event to
// event.
class MaintenanceWorld {
 public:
  // A reboot and the lag of the instance list after it; the least downtime.
  static constexpr Duration kReboot = std::chrono::minutes(5);
  static constexpr Duration kListLag = std::chrono::seconds(30);
  static constexpr Duration kPatience = std::chrono::seconds(60);

  MaintenanceWorld(const WorldConfig& settings, std::uint64_t seed);

  MaintenanceInput Input() const;
  WorldResult Run(const MaintenancePlan& plan, Duration limit);
  // A lower bound of the roll-out time of any plan under the faults of this
  // seed, if each operation takes at least `downtime`. At time t, at most as
  // many operations are in their first `downtime` as had room when the last of
  // them began, which is at most `downtime` ago. A worker uses up room only
  // once it has been broken for longer than that: before, it may be one that
  // broke during its own operation and is counted once. No maintenance is done.
  Duration BudgetBound(Duration downtime, Duration limit);

 private:
  struct Worker {
    std::int64_t incarnation = 1;
    bool up = true;
    bool draining = false;
    Duration returns_at = Duration::zero();
    Duration listed_at = Duration::zero();
    Duration down_since = Duration::zero();
    Duration busy_until = Duration::zero();
    Duration idle_until = Duration::zero();
  };

  using WorkerTable = std::map<WorkerName, Worker>;

  void Build();
  void ScheduleFaults(Duration limit);
  void Advance();
  void UpdateLoad(Worker& worker);
  std::map<ServiceName, Duration> NeededTime(Duration downtime) const;
  ServiceCounts RoomLeft(Duration downtime) const;
  void TakeDown(Worker& worker, Duration downtime);
  void ApplyFaults();
  void Observe();
  bool Decide(const MaintenancePlan& plan);
  void Execute(const WriteInstance& write);
  void Execute(const WriteBudget& write);
  void Execute(const DrainWorker& drain);
  void Execute(const CheckpointWorker& checkpoint);
  void Execute(const RebootWorker& reboot);
  void OnDrainBegins(const InstanceRecord& record);
  bool IsComplete(const MaintenancePlan& plan) const;

  WorldConfig config;
  Random random;
  PoolLedger ledger;
  BudgetTable budgets;
  ServiceTopology topology;
  FleetObservation observation;
  WorkerTable workers;
  std::vector<WorkerName> names;
  struct Fault {
    WorkerName worker;
    Duration downtime;
  };
  // Drawn apart from the load, so that every plan meets the same faults.
  Random fault_random;
  std::multimap<Duration, Fault> faults;
  std::int64_t revision = 0;
  Duration now = Duration::zero();
  std::priority_queue<Duration, std::vector<Duration>, std::greater<>> events;
  WorldResult result;
};

}  // namespace daisyroad

#endif  // SOURCE_BENCH_MAINTENANCE_WORLD_H_

#ifndef SOURCE_CORE_MACHINES_MACHINE_PLANNER_H_
#define SOURCE_CORE_MACHINES_MACHINE_PLANNER_H_

#include <cstdint>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Jobs/pool_load.h"
#include "Core/Machines/machine_planner_settings.h"
#include "Core/Machines/wave_progress.h"
#include "Core/Platform/machine_client.h"

namespace daisyroad {

struct MoveMachine {
  MachineName machine;
  PoolName pool;
};
struct MaintainMachine {
  MachineName machine;
  std::int64_t wave = 0;
};
using MachineOrder = std::variant<MoveMachine, MaintainMachine>;

// Load report of a pool. The planner makes no changes to pools whose scheduler
// sends no recent reports.
struct PoolReport {
  PoolLoad load;
  bool is_spare = false;
  bool is_known = false;  // the load is recent
};

struct MachinePlan {
  // Workers that the scheduler of their pool should empty now.
  std::map<PoolName, std::set<WorkerName>> vacate;
  // All workers that maintenance waves still have to empty. Schedulers should
  // avoid placing service tasks on them.
  std::map<PoolName, std::set<WorkerName>> due;
  std::vector<MachineOrder> orders;
};

// Decides which machines go into maintenance and which move to another pool.
// The class does no I/O. It orders a change only for machines of the spare pool
// and for machines whose worker is reported as having no runs and getting no
// new ones.
class MachinePlanner {
 public:
  explicit MachinePlanner(
      const MachinePlannerSettings& settings = MachinePlannerSettings());

  // Sets the number of machines that each pool has before any are lent.
  void SetHomeSizes(std::map<PoolName, int> sizes);

  MachinePlan Plan(const std::vector<Machine>& machines,
                   const std::map<PoolName, PoolReport>& pools,
                   const std::map<std::int64_t, WaveProgress>& waves,
                   const std::set<ZoneName>& zones_out,
                   MonotonicTime now);

 private:
  struct Fleet;

  void PlanWave(const WaveProgress& progress, Fleet* fleet, MachinePlan* plan);
  // Moves machines from the spare pool and from pools with a surplus to pools
  // with a deficit, and back to the spare pool when no pool has a deficit.
  void PlanPoolSizes(Fleet* fleet, MachinePlan* plan);
  // `deficits` holds the number of machines that each pool lacks; negative
  // numbers are a surplus.
  void AssignSpareMachines(const PoolName& spare,
                           std::map<PoolName, int>* deficits,
                           Fleet* fleet,
                           MachinePlan* plan);
  void ReleaseSurplus(const PoolName& pool,
                      int surplus,
                      const PoolName& spare,
                      std::map<PoolName, int>* deficits,
                      Fleet* fleet,
                      MachinePlan* plan);
  int NeededSize(const PoolName& pool, const Fleet& fleet) const;
  int HomeSize(const PoolName& pool) const;

  MachinePlannerSettings settings;
  std::map<PoolName, int> home_sizes;
  // Time since which each pool has had more machines than it needs.
  std::map<PoolName, MonotonicTime> surplus_since;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MACHINES_MACHINE_PLANNER_H_

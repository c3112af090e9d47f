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
#include "Core/Machines/maintenance_wave.h"
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

// What the planner is told of a pool. Pools without a scheduler in touch are
// left alone.
struct PoolReport {
  PoolLoad load;
  bool is_spare = false;
  bool is_known = false;  // the load is recent
};

struct WaveProgress {
  MaintenanceWave wave;
  MonotonicTime begun_at;
  std::set<MachineName> done;
};

struct MachinePlan {
  // Workers that their schedulers should empty.
  std::map<PoolName, std::set<WorkerName>> vacate;
  // Workers that will be emptied later: no place for tasks that last.
  std::map<PoolName, std::set<WorkerName>> due;
  std::vector<MachineOrder> orders;
};

// Decides which machines go into maintenance and which change their pool. It
// does no I/O; an order is given only for a machine whose worker is reported
// to be empty and kept so.
class MachinePlanner {
 public:
  // Number of machines that each pool has when none is lent to it.
  void SetHomeSizes(std::map<PoolName, int> sizes);

  MachinePlan Plan(const std::vector<Machine>& machines,
                   const std::map<PoolName, PoolReport>& pools,
                   const std::map<std::int64_t, WaveProgress>& waves,
                   const std::set<ZoneName>& zones_out,
                   MonotonicTime now);

 private:
  struct Fleet;

  void PlanWave(const WaveProgress& progress, Fleet* fleet, MachinePlan* plan);
  // Moves machines to pools that need them, from the spare pool and from those
  // that have more than they need; back home when nobody is short.
  void PlanSizes(Fleet* fleet, MachinePlan* plan);
  // `wanted`: machines that each pool lacks, negative for a surplus.
  void Lend(const PoolName& spare,
            std::map<PoolName, int>* wanted,
            Fleet* fleet,
            MachinePlan* plan);
  void Release(const PoolName& pool,
               int surplus,
               const PoolName& spare,
               std::map<PoolName, int>* wanted,
               Fleet* fleet,
               MachinePlan* plan);
  int NeededSize(const PoolName& pool, const Fleet& fleet) const;
  int HomeSize(const PoolName& pool) const;

  std::map<PoolName, int> home_sizes;
  // Since when the pool has had more machines than it needs.
  std::map<PoolName, MonotonicTime> surplus_since;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MACHINES_MACHINE_PLANNER_H_

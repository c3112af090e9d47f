#ifndef SOURCE_CORE_SITE_FLEET_LEADER_H_
#define SOURCE_CORE_SITE_FLEET_LEADER_H_

#include <functional>
#include <memory>
#include <string>

#include "Core/Jobs/pool_load.h"
#include "Core/Machines/machine_planner_settings.h"
#include "Core/Site/leadership.h"
#include "Core/Site/operator_state.h"

namespace daisyroad {

class EventLoop;
class MachineClient;
class MetricsRegistry;
class PoolLeader;
class RevisionStore;
class RpcClient;
class SiteCodec;

struct FleetLeaderContext {
  RevisionStore* store = nullptr;
  MachineClient* machines = nullptr;
  EventLoop* loop = nullptr;
  RpcClient* peers = nullptr;
  SiteCodec* codec = nullptr;
  MetricsRegistry* metrics = nullptr;
  const Leadership* leadership = nullptr;
  MachinePlannerSettings planner;
  // Returns the scheduler of a pool, or null if another process runs it.
  std::function<PoolLeader*(const PoolName&)> find_leader;
};

// Manages the machines during a term: polls the schedulers for the load of
// their pools and issues the orders of a MachinePlanner. All orders for
// machines are issued by the holder of this duty, so that instances do not
// issue conflicting ones.
class FleetLeader {
 public:
  FleetLeader(const FleetLeaderContext& context, const Term& term);
  ~FleetLeader();
  FleetLeader(const FleetLeader&) = delete;
  FleetLeader& operator=(const FleetLeader&) = delete;

  void Start();
  void SetOperatorState(const OperatorState& state);

 private:
  struct State;
  std::shared_ptr<State> state;
};

inline const std::string kFleetDuty = "fleet";

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_FLEET_LEADER_H_

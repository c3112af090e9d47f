#ifndef SOURCE_CORE_SITE_FLEET_LEAD_H_
#define SOURCE_CORE_SITE_FLEET_LEAD_H_

#include <functional>
#include <memory>
#include <string>

#include "Core/Jobs/pool_load.h"
#include "Core/Site/leadership.h"
#include "Core/Site/operator_state.h"

namespace daisyroad {

class EventLoop;
class MachineClient;
class MetricsRegistry;
class PoolLead;
class RevisionStore;
class RpcClient;
class SiteCodec;

struct FleetLeadContext {
  RevisionStore* store = nullptr;
  MachineClient* machines = nullptr;
  EventLoop* loop = nullptr;
  RpcClient* peers = nullptr;
  SiteCodec* codec = nullptr;
  MetricsRegistry* metrics = nullptr;
  const Leadership* leadership = nullptr;
  // The scheduler of a pool if it runs in this process.
  std::function<PoolLead*(const PoolName&)> find_lead;
};

// Carries out the care of the machines during a term: asks the schedulers how
// full their pools are, and gives the orders of a MachinePlanner. All orders
// for machines come from here, so that no two instances give them in turn.
class FleetLead {
 public:
  FleetLead(const FleetLeadContext& context, const Term& term);
  ~FleetLead();
  FleetLead(const FleetLead&) = delete;
  FleetLead& operator=(const FleetLead&) = delete;

  void Start();
  void SetOperatorState(const OperatorState& state);

 private:
  struct State;
  std::shared_ptr<State> state;
};

inline const std::string kFleetDuty = "fleet";

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_FLEET_LEAD_H_

#include "Core/Machines/sent_orders.h"

namespace daisyroad {

void SentOrders::OnSent(const MachineName& machine, const PoolName& pool) {
  this->orders[machine] = Order{pool, std::nullopt};
}

void SentOrders::OnSettled(const MachineName& machine, MonotonicTime now) {
  const std::map<MachineName, Order>::iterator found =
      this->orders.find(machine);
  if (found != this->orders.end()) {
    found->second.settled_at = now;
  }
}

void SentOrders::ForgetListed(MonotonicTime requested_at) {
  std::erase_if(
      this->orders,
      [requested_at](const std::pair<const MachineName, Order>& entry) {
        return entry.second.settled_at &&
               *entry.second.settled_at < requested_at;
      });
}

std::vector<Machine> SentOrders::Apply(std::vector<Machine> listed) const {
  for (Machine& machine : listed) {
    const std::map<MachineName, Order>::const_iterator order =
        this->orders.find(machine.name);
    if (order == this->orders.end() || machine.state != MachineState::kUp) {
      continue;
    }
    if (order->second.pool.empty()) {
      machine.state = MachineState::kUpkeep;
    } else {
      machine.state = MachineState::kMoving;
      machine.pool = order->second.pool;
    }
  }
  return listed;
}

}  // namespace daisyroad

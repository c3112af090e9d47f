#ifndef SOURCE_CORE_MACHINES_SENT_ORDERS_H_
#define SOURCE_CORE_MACHINES_SENT_ORDERS_H_

#include <map>
#include <optional>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Platform/machine_client.h"

namespace daisyroad {

// Orders for machines whose effect the list of machines may not show yet.
class SentOrders {
 public:
  // `pool` is the destination of a move, and empty for maintenance.
  void OnSent(const MachineName& machine, const PoolName& pool);
  // The order was executed, or its answer is given up. From then on a list
  // shows whether it was executed.
  void OnSettled(const MachineName& machine, MonotonicTime now);
  // The order was certainly not executed.
  void OnRefused(const MachineName& machine) { this->orders.erase(machine); }

  // To be called with the time at which the latest list was requested.
  void ForgetListed(MonotonicTime requested_at);
  // The machines as the orders leave them.
  std::vector<Machine> Apply(std::vector<Machine> listed) const;
  bool Contains(const MachineName& machine) const {
    return this->orders.contains(machine);
  }

 private:
  struct Order {
    PoolName pool;
    std::optional<MonotonicTime> settled_at;
  };

  std::map<MachineName, Order> orders;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_MACHINES_SENT_ORDERS_H_

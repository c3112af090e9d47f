#include "Core/Maintenance/maintenance_planner.h"

#include <algorithm>
#include <deque>
#include <tuple>

namespace daisyroad {
namespace {

using Allowance = std::map<ServiceName, std::int64_t>;
using PoolQueues = std::map<PoolName, std::deque<WorkerName>>;

std::vector<InstanceRecord> InRackOrder(std::vector<InstanceRecord> instances) {
  std::sort(instances.begin(), instances.end(),
            [](const InstanceRecord& a, const InstanceRecord& b) {
              return std::tie(a.pool, a.zone, a.rack, a.worker) <
                     std::tie(b.pool, b.zone, b.rack, b.worker);
            });
  return instances;
}

std::int64_t At(const Allowance& table, const ServiceName& service) {
  const auto found = table.find(service);
  return found == table.end() ? 0 : found->second;
}

bool HasRoom(const std::vector<ServiceName>& services, const Allowance& room) {
  return std::all_of(
      services.begin(), services.end(),
      [&room](const ServiceName& service) { return At(room, service) > 0; });
}

// Rounds that the most loaded service of the pool still needs.
double Urgency(const PoolName& pool,
               const MaintenanceInput& input,
               const Allowance& left) {
  double urgency = 0.0;
  for (const ServiceName& service : input.topology.ServicesOf(pool)) {
    urgency =
        std::max(urgency, static_cast<double>(At(left, service)) /
                              static_cast<double>(At(input.allowed, service)));
  }
  return urgency;
}

std::vector<PoolName> ByUrgency(const PoolQueues& queues,
                                const MaintenanceInput& input,
                                const Allowance& left) {
  std::vector<std::pair<double, PoolName>> order;
  for (const PoolQueues::value_type& queue : queues) {
    if (!queue.second.empty()) {
      order.emplace_back(-Urgency(queue.first, input, left), queue.first);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<PoolName> pools;
  pools.reserve(order.size());
  for (std::pair<double, PoolName>& entry : order) {
    pools.push_back(std::move(entry.second));
  }
  return pools;
}

std::vector<WorkerName> NextWave(PoolQueues& queues,
                                 const MaintenanceInput& input,
                                 Allowance& left) {
  std::vector<WorkerName> wave;
  Allowance room = input.allowed;
  for (const PoolName& pool : ByUrgency(queues, input, left)) {
    const std::vector<ServiceName>& services = input.topology.ServicesOf(pool);
    std::deque<WorkerName>& queue = queues.at(pool);
    // A pool that no service depends on has no budget; one at a time then.
    std::size_t quota = services.empty() ? 1 : queue.size();
    while (quota-- > 0 && HasRoom(services, room)) {
      wave.push_back(queue.front());
      queue.pop_front();
      for (const ServiceName& service : services) {
        --room[service];
        --left[service];
      }
    }
  }
  return wave;
}

}  // namespace

MaintenancePlan MaintenancePlanner::Plan(const MaintenanceInput& input) {
  MaintenancePlan plan;
  plan.cycle = input.cycle;
  PoolQueues queues;
  Allowance left;
  for (const InstanceRecord& instance : InRackOrder(input.instances)) {
    const std::vector<ServiceName>& services =
        input.topology.ServicesOf(instance.pool);
    if (!HasRoom(services, input.allowed)) {
      plan.blocked.push_back(instance.worker);
      continue;
    }
    queues[instance.pool].push_back(instance.worker);
    for (const ServiceName& service : services) {
      ++left[service];
    }
  }
  for (std::vector<WorkerName> wave = NextWave(queues, input, left);
       !wave.empty(); wave = NextWave(queues, input, left)) {
    plan.waves.push_back(std::move(wave));
  }
  return plan;
}

Duration MaintenancePlanner::LowerBound(const MaintenanceInput& input,
                                        Duration downtime) {
  Allowance members;
  for (const InstanceRecord& instance : input.instances) {
    for (const ServiceName& service :
         input.topology.ServicesOf(instance.pool)) {
      ++members[service];
    }
  }
  Duration bound = input.instances.empty() ? Duration::zero() : downtime;
  for (const Allowance::value_type& entry : members) {
    const std::int64_t allowed = At(input.allowed, entry.first);
    if (allowed > 0) {
      bound = std::max(bound, downtime * entry.second / allowed);
    }
  }
  return bound;
}

IntervalFit MaintenancePlanner::Fit(const MaintenanceWindows& windows,
                                    Duration open_time,
                                    Duration interval) {
  const Duration finish = windows.Finish(Duration::zero(), open_time);
  return IntervalFit{finish, interval - finish};
}

}  // namespace daisyroad

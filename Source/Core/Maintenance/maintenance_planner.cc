#include "Core/Maintenance/maintenance_planner.h"

#include <algorithm>
#include <deque>
#include <tuple>

namespace daisyroad {
namespace {

using ServiceCounts = std::map<ServiceName, std::int64_t>;
using PoolQueues = std::map<PoolName, std::deque<WorkerName>>;

std::vector<InstanceRecord> SortByRack(std::vector<InstanceRecord> instances) {
  std::sort(instances.begin(), instances.end(),
            [](const InstanceRecord& a, const InstanceRecord& b) {
              return std::tie(a.pool, a.zone, a.rack, a.worker) <
                     std::tie(b.pool, b.zone, b.rack, b.worker);
            });
  return instances;
}

std::int64_t CountOf(const ServiceCounts& table, const ServiceName& service) {
  const auto found = table.find(service);
  return found == table.end() ? 0 : found->second;
}

bool AllHaveRoom(const std::vector<ServiceName>& services,
                 const ServiceCounts& room) {
  return std::all_of(services.begin(), services.end(),
                     [&room](const ServiceName& service) {
                       return CountOf(room, service) > 0;
                     });
}

// Number of rounds that the services of the pool still need, as the maximum
// over the services of the remaining instances divided by the budget.
double RoundsLeft(const PoolName& pool,
                  const MaintenanceInput& input,
                  const ServiceCounts& remaining) {
  double rounds = 0.0;
  for (const ServiceName& service : input.topology.ServicesOf(pool)) {
    rounds = std::max(rounds,
                      static_cast<double>(CountOf(remaining, service)) /
                          static_cast<double>(CountOf(input.allowed, service)));
  }
  return rounds;
}

std::vector<PoolName> PoolsByRoundsLeft(const PoolQueues& queues,
                                        const MaintenanceInput& input,
                                        const ServiceCounts& remaining) {
  std::vector<std::pair<double, PoolName>> order;
  for (const PoolQueues::value_type& queue : queues) {
    if (!queue.second.empty()) {
      order.emplace_back(-RoundsLeft(queue.first, input, remaining),
                         queue.first);
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
                                 ServiceCounts& remaining) {
  std::vector<WorkerName> wave;
  ServiceCounts room = input.allowed;
  for (const PoolName& pool : PoolsByRoundsLeft(queues, input, remaining)) {
    const std::vector<ServiceName>& services = input.topology.ServicesOf(pool);
    std::deque<WorkerName>& queue = queues.at(pool);
    // A pool that no service depends on has no budget. Its instances are
    // maintained one at a time.
    std::size_t quota = services.empty() ? 1 : queue.size();
    while (quota-- > 0 && AllHaveRoom(services, room)) {
      wave.push_back(queue.front());
      queue.pop_front();
      for (const ServiceName& service : services) {
        --room[service];
        --remaining[service];
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
  ServiceCounts remaining;
  for (const InstanceRecord& instance : SortByRack(input.instances)) {
    const std::vector<ServiceName>& services =
        input.topology.ServicesOf(instance.pool);
    if (!AllHaveRoom(services, input.allowed)) {
      plan.blocked.push_back(instance.worker);
      continue;
    }
    queues[instance.pool].push_back(instance.worker);
    for (const ServiceName& service : services) {
      ++remaining[service];
    }
  }
  for (std::vector<WorkerName> wave = NextWave(queues, input, remaining);
       !wave.empty(); wave = NextWave(queues, input, remaining)) {
    plan.waves.push_back(std::move(wave));
  }
  return plan;
}

Duration MaintenancePlanner::LowerBound(const MaintenanceInput& input,
                                        Duration downtime) {
  ServiceCounts members;
  for (const InstanceRecord& instance : input.instances) {
    for (const ServiceName& service :
         input.topology.ServicesOf(instance.pool)) {
      ++members[service];
    }
  }
  Duration lower_bound = input.instances.empty() ? Duration::zero() : downtime;
  for (const ServiceCounts::value_type& entry : members) {
    const std::int64_t allowed = CountOf(input.allowed, entry.first);
    if (allowed > 0) {
      lower_bound = std::max(lower_bound, downtime * entry.second / allowed);
    }
  }
  return lower_bound;
}

IntervalFit MaintenancePlanner::Fit(const MaintenanceWindows& windows,
                                    Duration open_time,
                                    Duration interval) {
  const Duration finish = windows.Finish(Duration::zero(), open_time);
  return IntervalFit{finish, interval - finish};
}

}  // namespace daisyroad

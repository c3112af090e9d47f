#include "Core/Maintenance/baseline_planner.h"

#include <algorithm>
#include <set>
#include <utility>

namespace daisyroad {
namespace {

MaintenancePlan WavesByName(const MaintenanceInput& input,
                            std::size_t wave_size) {
  std::set<WorkerName> names;
  for (const InstanceRecord& instance : input.instances) {
    names.insert(instance.worker);
  }
  MaintenancePlan plan;
  plan.cycle = input.cycle;
  plan.barrier = true;
  for (const WorkerName& name : names) {
    if (plan.waves.empty() || plan.waves.back().size() >= wave_size) {
      plan.waves.emplace_back();
    }
    plan.waves.back().push_back(name);
  }
  return plan;
}

}  // namespace

MaintenancePlan BaselinePlanner::OneAtATime(const MaintenanceInput& input) {
  return WavesByName(input, 1);
}

MaintenancePlan BaselinePlanner::FixedFraction(const MaintenanceInput& input,
                                               double fraction) {
  const double wave_size =
      fraction * static_cast<double>(input.instances.size());
  return WavesByName(
      input, std::max<std::size_t>(1, static_cast<std::size_t>(wave_size)));
}

MaintenancePlan BaselinePlanner::OneRackPerWave(const MaintenanceInput& input) {
  using RackMembers =
      std::map<std::pair<ZoneName, RackName>, std::vector<WorkerName>>;
  RackMembers racks;
  for (const InstanceRecord& instance : input.instances) {
    racks[{instance.zone, instance.rack}].push_back(instance.worker);
  }
  MaintenancePlan plan;
  plan.cycle = input.cycle;
  plan.barrier = true;
  for (RackMembers::value_type& rack : racks) {
    plan.waves.push_back(std::move(rack.second));
  }
  return plan;
}

}  // namespace daisyroad

#ifndef SOURCE_CORE_DECLARATION_DECLARATION_H_
#define SOURCE_CORE_DECLARATION_DECLARATION_H_

#include <string>
#include <vector>

#include "Core/Declaration/maintenance_policy.h"
#include "Core/Declaration/pool.h"
#include "Core/Declaration/service.h"
#include "Core/Declaration/task_queue.h"
#include "Core/Declaration/team.h"
#include "Core/Declaration/zone.h"

namespace daisyroad {

// Declaration of a site by its operators. Names are unique within each list,
// references resolve to declared items, and lists keep the file order.
struct Declaration {
  std::string site;
  std::vector<std::string> regions;
  std::vector<Zone> zones;
  std::vector<Pool> pools;
  std::vector<Service> services;
  std::vector<TaskQueue> queues;
  std::vector<Team> teams;
  MaintenancePolicy maintenance;

  // Return the item with the given name, or nullptr if there is none.
  const Zone* FindZone(const ZoneName& name) const;
  const Pool* FindPool(const PoolName& name) const;
  const Service* FindService(const ServiceName& name) const;
  const TaskQueue* FindQueue(const QueueName& name) const;
  const Team* FindTeam(const TeamName& name) const;

  bool operator==(const Declaration&) const = default;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DECLARATION_DECLARATION_H_

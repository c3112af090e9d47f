#include "Core/Declaration/declaration_doubts.h"

#include <algorithm>
#include <set>
#include <string>

namespace daisyroad {
namespace {

using std::chrono::minutes;

constexpr minutes kDay = std::chrono::hours(24);
constexpr minutes kWeek = 7 * kDay;

std::string ItemPath(const std::string& list, std::size_t index) {
  return list + "[" + std::to_string(index) + "]";
}

std::string Quoted(const std::string& name) {
  return "\"" + name + "\"";
}

void FindUnusedPlaces(const Declaration& declaration, FaultList& found) {
  for (std::size_t i = 0; i < declaration.regions.size(); ++i) {
    const std::string& region = declaration.regions[i];
    if (std::none_of(
            declaration.zones.begin(), declaration.zones.end(),
            [&region](const Zone& zone) { return zone.region == region; })) {
      found.Add(ItemPath("regions", i),
                "region " + Quoted(region) + " has no zone");
    }
  }
  for (std::size_t i = 0; i < declaration.zones.size(); ++i) {
    const ZoneName& name = declaration.zones[i].name;
    if (std::none_of(declaration.pools.begin(), declaration.pools.end(),
                     [&name](const Pool& pool) {
                       return pool.workers.contains(name) &&
                              pool.workers.at(name) > 0;
                     })) {
      found.Add(ItemPath("zones", i),
                "zone " + Quoted(name.str()) + " has no worker in any pool");
    }
  }
}

void FindUnusedPools(const Declaration& declaration, FaultList& found) {
  for (std::size_t i = 0; i < declaration.pools.size(); ++i) {
    const Pool& pool = declaration.pools[i];
    const bool is_used = std::any_of(
        declaration.services.begin(), declaration.services.end(),
        [&pool](const Service& service) { return service.pool == pool.name; });
    if (!is_used && !pool.spare) {
      found.Add(ItemPath("pools", i), "no service runs on pool " +
                                          Quoted(pool.name.str()) +
                                          ", and it is not the spare");
    }
    if (is_used && pool.TotalWorkers() == 0) {
      found.Add(ItemPath("pools", i) + ".workers",
                "pool " + Quoted(pool.name.str()) +
                    " has no worker, so its services run nothing");
    }
  }
}

void FindUnusedServices(const Declaration& declaration, FaultList& found) {
  std::set<ServiceName> used;
  for (const TaskQueue& queue : declaration.queues) {
    used.insert(queue.service);
  }
  for (const Service& service : declaration.services) {
    used.insert(service.depends_on.begin(), service.depends_on.end());
  }
  for (std::size_t i = 0; i < declaration.services.size(); ++i) {
    const ServiceName& name = declaration.services[i].name;
    if (!used.contains(name)) {
      found.Add(ItemPath("services", i),
                "service " + Quoted(name.str()) +
                    " has no queue and no service depends on it");
    }
  }
}

void FindUnusedQueues(const Declaration& declaration, FaultList& found) {
  std::set<QueueName> used;
  for (std::size_t i = 0; i < declaration.teams.size(); ++i) {
    const Team& team = declaration.teams[i];
    if (team.queues.empty()) {
      found.Add(ItemPath("teams", i),
                "team " + Quoted(team.name.str()) + " may use no queue");
    } else if (team.upper_limit > 0) {
      used.insert(team.queues.begin(), team.queues.end());
    }
  }
  for (std::size_t i = 0; i < declaration.queues.size(); ++i) {
    const TaskQueue& queue = declaration.queues[i];
    if (!used.contains(queue.name) && !queue.open_to_all) {
      found.Add(ItemPath("queues", i), "no team can run tasks of queue " +
                                           Quoted(queue.name.str()) +
                                           ", and it is not open to all");
    }
  }
}

// Start of the window in minutes since Sunday 00:00.
minutes StartOf(const MaintenanceWindow& window) {
  return kDay * static_cast<int>(window.weekday.c_encoding()) + window.start;
}

// Whether `inner` lies within `outer`, also across the end of the week.
bool Covers(const MaintenanceWindow& outer, const MaintenanceWindow& inner) {
  const minutes offset = (StartOf(inner) - StartOf(outer) + kWeek) % kWeek;
  return offset + inner.Length() <= outer.Length();
}

void FindShadowedWindows(const Declaration& declaration, FaultList& found) {
  const std::vector<MaintenanceWindow>& windows =
      declaration.maintenance.windows;
  for (std::size_t i = 0; i < windows.size(); ++i) {
    for (std::size_t other = 0; other < windows.size(); ++other) {
      // Of two equal windows the later one is reported.
      if (other != i && Covers(windows[other], windows[i]) &&
          (other < i || !Covers(windows[i], windows[other]))) {
        found.Add(
            ItemPath("maintenance.windows", i),
            "the window lies within " + ItemPath("maintenance.windows", other));
        break;
      }
    }
  }
}

void FindBudgetConflicts(const Declaration& declaration, FaultList& found) {
  for (std::size_t i = 0; i < declaration.services.size(); ++i) {
    const Service& service = declaration.services[i];
    const std::int64_t total =
        declaration.FindPool(service.pool)->TotalWorkers();
    const std::int64_t allowed = AllowedDown(service.budget, total);
    const std::string field =
        ItemPath("services", i) +
        (std::holds_alternative<MaxDownCount>(service.budget)
             ? ".max_down"
             : ".max_down_fraction");
    const std::string subject = "service " + Quoted(service.name.str()) +
                                ": of the " + std::to_string(total) +
                                " workers of its pool ";
    if (total > 0 && allowed == 0) {
      found.Add(field, subject + "none may be down, so none can be maintained");
    } else if (total > 0 && allowed >= total) {
      found.Add(field, subject +
                           "all may be down, so the budget limits "
                           "nothing");
    }
  }
}

void FindQueueConflicts(const Declaration& declaration, FaultList& found) {
  for (std::size_t i = 0; i < declaration.queues.size(); ++i) {
    const TaskQueue& queue = declaration.queues[i];
    if (queue.queue_class == QueueClass::kLong &&
        queue.checkpoint_patience >= queue.default_deadline) {
      found.Add(ItemPath("queues", i) + ".checkpoint_patience",
                "queue " + Quoted(queue.name.str()) +
                    ": the default deadline ends before the patience does");
    }
  }
}

// Tasks of the team that could run at once if all workers of the site moved to
// the pools that its queues lead to.
std::int64_t MostTasks(const Declaration& declaration, const Team& team) {
  std::int64_t slots = 0;
  for (const QueueName& queue : team.queues) {
    const ServiceName& service = declaration.FindQueue(queue)->service;
    const PoolName& pool = declaration.FindService(service)->pool;
    slots = std::max(slots, declaration.FindPool(pool)->worker.slots);
  }
  std::int64_t workers = 0;
  for (const Pool& pool : declaration.pools) {
    workers += pool.TotalWorkers();
  }
  return workers * slots;
}

void FindTeamConflicts(const Declaration& declaration, FaultList& found) {
  for (std::size_t i = 0; i < declaration.teams.size(); ++i) {
    const Team& team = declaration.teams[i];
    const std::string field = ItemPath("teams", i) + ".upper_limit";
    const std::string subject = "team " + Quoted(team.name.str());
    if (team.queues.empty()) {
      continue;
    }
    const std::int64_t most = MostTasks(declaration, team);
    if (team.upper_limit == 0) {
      found.Add(field, subject + " has queues, but may run no task");
    } else if (team.upper_limit > most) {
      found.Add(field, subject + " could run at most " + std::to_string(most) +
                           " tasks with all workers of the site");
    }
  }
}

void FindMaintenanceConflicts(const Declaration& declaration,
                              FaultList& found) {
  const MaintenancePolicy& policy = declaration.maintenance;
  for (std::size_t i = 0; i < policy.windows.size(); ++i) {
    if (policy.windows[i].Length() < policy.patience) {
      found.Add(ItemPath("maintenance.windows", i),
                "the window is shorter than the patience of a drain");
    }
  }
}

}  // namespace

void FindIneffectiveEntries(const Declaration& declaration, FaultList& found) {
  FindUnusedPlaces(declaration, found);
  FindUnusedPools(declaration, found);
  FindUnusedServices(declaration, found);
  FindUnusedQueues(declaration, found);
  FindShadowedWindows(declaration, found);
}

void FindConflictingLimits(const Declaration& declaration, FaultList& found) {
  FindBudgetConflicts(declaration, found);
  FindQueueConflicts(declaration, found);
  FindTeamConflicts(declaration, found);
  FindMaintenanceConflicts(declaration, found);
}

}  // namespace daisyroad

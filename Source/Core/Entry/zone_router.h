#ifndef SOURCE_CORE_ENTRY_ZONE_ROUTER_H_
#define SOURCE_CORE_ENTRY_ZONE_ROUTER_H_

#include <json/value.h>

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Entry/cell_load.h"
#include "Core/Routing/cell_selector.h"

namespace daisyroad {

struct EntryContext;
class WorkerDirectory;

// Chooses the zone of each task from the loads that dispatchers report.
class ZoneRouter {
 public:
  ZoneRouter(EntryContext* context, WorkerDirectory* directory);

  void Start();
  // Writes and reads the section on cell loads in the exchange between
  // instances.
  static Json::Value ToJson(const std::vector<CellLoad>& loads);
  void OnSection(const Json::Value& section);
  void OnLoad(const CellLoad& load);
  void SetZonesOut(const std::set<ZoneName>& zones);

  // `refused_by` is the zone whose cell last refused the task, or empty. It is
  // treated as a cell with a very long wait, so that it is chosen again only if
  // no other zone is better.
  CellChoice Choose(const PoolName& pool,
                    bool urgent,
                    const ZoneName& refused_by);

 private:
  struct Report {
    CellLoad load;
    MonotonicTime heard_at;
  };
  struct PoolView {
    std::map<ZoneName, std::size_t> workers;  // that are not leaving
    std::map<ZoneName, Report> reports;
    CellSelector urgent;
    CellSelector background;
  };

  PoolView& View(const PoolName& pool);
  void CountWorkers();
  Duration WaitOf(const PoolView& view,
                  const ZoneName& zone,
                  bool urgent,
                  MonotonicTime now) const;

  EntryContext* context;
  WorkerDirectory* directory;
  std::map<PoolName, PoolView> views;
  std::set<ZoneName> zones_out;
  bool has_worker_counts = false;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_ZONE_ROUTER_H_

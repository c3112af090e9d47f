#ifndef SOURCE_UNITTESTS_ENTRY_FLEET_WORLD_H_
#define SOURCE_UNITTESTS_ENTRY_FLEET_WORLD_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/metrics_registry.h"
#include "Core/Entry/decision_log.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/fleet_service.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Platform/instance_list_client.h"
#include "Core/Transport/event_loop.h"
#include "UnitTests/Entry/fleet_fake_store.h"
#include "UnitTests/Entry/fleet_fake_workers.h"

namespace daisyroad {

// Test fixture with two entry instances, one store and four workers: web-1 to
// web-3 in pool "web", whose service "site" allows one instance down, and
// spare-1 in pool "spare".
class FleetWorld {
 public:
  struct List : public InstanceListClient {
    void Fetch(Callback callback) override;

    std::set<std::string> leaving;
  };
  struct Entry {
    Entry(FleetWorld* world, const std::string& name);

    EntryContext context;
    MetricsRegistry metrics;
    DecisionLog decisions;
    std::unique_ptr<WorkerDirectory> directory;
    std::unique_ptr<FleetService> fleet;
  };

  FleetWorld();

  // The leader and the other instance.
  Entry& Leader() { return this->FindEntry(true); }
  Entry& Follower() { return this->FindEntry(false); }
  // Stops an instance: it is no longer ticked and answers no calls.
  void Stop(const Entry& entry);
  // Ticks the live instances until `done` returns true. Returns false if that
  // takes more than two minutes of simulated time.
  bool RunUntil(const std::function<bool()>& done);
  void Run(std::chrono::seconds time);
  // Completes the commanded reboots.
  void CompleteReboots();
  InstanceRecord Record(const std::string& worker) const;
  std::size_t Charges() const;
  // Records that every worker was last maintained in an earlier interval.
  void MakeMaintenanceDue();
  int Drains() const;
  // Decision lines of both instances that contain the text.
  std::vector<std::string> DecisionLines(const std::string& text) const;

  EventLoop loop;
  FleetFakeStore store;
  FleetFakeWorkers workers;
  List list;
  Declaration declaration;
  std::set<ZoneName> zones_out;
  MonotonicTime now{std::chrono::hours(1)};
  bool is_authority_confirmed = true;
  bool reboots_complete = true;  // whether commanded reboots complete
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<const Entry*> stopped;

 private:
  Entry& FindEntry(bool is_leader);
  bool IsStopped(const Entry& entry) const;
  FleetSources Sources();

  friend struct Entry;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_ENTRY_FLEET_WORLD_H_

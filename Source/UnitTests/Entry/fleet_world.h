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

// Two entry instances over one store and four workers: web-1 to web-3 in pool
// "web", of whose service "site" one may be down, and spare-1 in "spare".
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

  // The instance that leads, and the other one.
  Entry& Chosen() { return this->At(true); }
  Entry& Other() { return this->At(false); }
  // Stops an instance: it gets no more ticks and answers no call.
  void Stop(const Entry& entry);
  // Ticks the live instances until `done`; false if it does not come about in
  // two minutes of the clock.
  bool RunUntil(const std::function<bool()>& done);
  void Run(std::chrono::seconds time);
  // Reboots that were commanded come to their end.
  void BootRebooted();
  InstanceRecord Record(const std::string& worker) const;
  std::size_t Charges() const;
  // Every worker was last maintained in an earlier interval.
  void MakeMaintenanceDue();
  int Drains() const;
  // Decision lines of both instances that contain the text.
  std::vector<std::string> Lines(const std::string& text) const;

  EventLoop loop;
  FleetFakeStore store;
  FleetFakeWorkers workers;
  List list;
  Declaration declaration;
  std::set<ZoneName> zones_out;
  MonotonicTime now{std::chrono::hours(1)};
  bool confirmed = true;
  bool reboots_end = true;  // a worker that is told to reboot comes back
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<const Entry*> stopped;

 private:
  Entry& At(bool chosen);
  bool IsStopped(const Entry& entry) const;
  FleetSources Sources();

  friend struct Entry;
};

}  // namespace daisyroad

#endif  // SOURCE_UNITTESTS_ENTRY_FLEET_WORLD_H_

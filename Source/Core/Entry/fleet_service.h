#ifndef SOURCE_CORE_ENTRY_FLEET_SERVICE_H_
#define SOURCE_CORE_ENTRY_FLEET_SERVICE_H_

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Entry/fleet_actuator.h"
#include "Core/Entry/fleet_observer.h"
#include "Core/Entry/fleet_records.h"
#include "Core/Entry/fleet_requests.h"
#include "Core/Entry/fleet_sources.h"
#include "Core/Entry/fleet_store.h"

namespace daisyroad {

struct EntryContext;
class WorkerDirectory;

// Keeps the fleet records, and on one instance of the site, chosen by
// rendezvous hashing, carries moves and maintenance on. Two instances that both
// take themselves for the chosen one are safe: every step is a
// compare-and-swap.
class FleetService {
 public:
  FleetService(EntryContext* entry_context,
               FleetSources fleet_sources,
               WorkerDirectory* worker_directory);

  void Start();
  // One step of the work, every kTick.
  void Tick();
  bool IsChosen() const { return this->Chosen() == this->self; }

  const FleetRecords& records() const { return this->fleet_records; }
  FleetRequests& requests() { return this->fleet_requests; }
  // Number of running tasks by worker as the chosen instance saw them.
  void FetchRunning(std::function<void(const Json::Value&)> callback);

  // RPC method `fleet.records`: `{"digest", "running"}` is answered with
  // `{"digest", "loaded", "entries", "running"}`, without entries if the digest
  // is the same and without counts unless they are asked for.
  Json::Value ServeRecords(const Json::Value& params) const;

 private:
  static constexpr Milliseconds kTick{1000};
  // Less than InstanceLifecycle::kObservationBound by the time of a probe.
  static constexpr std::chrono::seconds kReadPeriod{2};
  // Instances that cannot ask the chosen one read the store less often.
  static constexpr std::chrono::seconds kFallbackPeriod{4};
  // A worker without an operation is probed now and then for the operators.
  static constexpr std::size_t kIdleProbes = 10;
  // Rounds in one tick that follow each other because records were written.
  static constexpr int kMaxChained = 16;

  EntryName Chosen() const;
  void Follow();
  void OnAnswer(const Result<Json::Value>& answer);
  void ReadStore(std::function<void()> callback);
  void BeginRound(int chained);
  void ContinueRound(int chained);
  void EndRound(const std::shared_ptr<FleetSnapshot>& snapshot, int chained);
  std::vector<FleetAction> Decide(const FleetSnapshot& snapshot) const;
  std::vector<WorkerName> ToProbe(const FleetSnapshot& snapshot) const;
  bool IsMaintenanceDue(const FleetSnapshot& snapshot) const;

  EntryContext* context;
  EntryName self;
  FleetSources sources;
  WorkerDirectory* directory;
  FleetRecords fleet_records;
  FleetStore store;
  FleetObserver observer;
  FleetActuator actuator;
  FleetRequests fleet_requests;
  bool loaded = false;     // the records have been read once
  bool busy = false;       // a round, or a call for the records, is in progress
  MonotonicTime read_at;   // when the last complete read was sent
  MonotonicTime tried_at;  // when a read was last tried
  MonotonicTime asked_at;  // when the chosen instance was last asked
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_SERVICE_H_

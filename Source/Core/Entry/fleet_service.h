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

// Caches the fleet records and, on the leader, executes moves and maintenance.
// The leader is one instance of the site, selected by rendezvous hashing. Two
// instances that both consider themselves the leader are safe, because every
// step is a compare-and-swap.
class FleetService {
 public:
  FleetService(EntryContext* entry_context,
               FleetSources fleet_sources,
               WorkerDirectory* worker_directory);

  void Start();
  // Runs every kTick: starts a round on the leader, refreshes the records
  // elsewhere.
  void Tick();
  bool IsLeader() const { return this->Leader() == this->self; }

  const FleetRecords& records() const { return this->fleet_records; }
  FleetRequests& requests() { return this->fleet_requests; }
  // Number of running tasks by worker as last seen by the leader.
  void FetchRunning(std::function<void(const Json::Value&)> callback);

  // RPC method `fleet.records`. The request `{"digest", "running"}` returns
  // `{"digest", "loaded", "entries", "running"}`, without entries if the digest
  // matches and without running counts unless requested.
  Json::Value ServeRecords(const Json::Value& params) const;

 private:
  static constexpr Milliseconds kTick{1000};
  // Must be shorter than InstanceLifecycle::kObservationBound by at least the
  // duration of a probe.
  static constexpr std::chrono::seconds kReadPeriod{2};
  // Instances that cannot reach the leader read the store less often.
  static constexpr std::chrono::seconds kFallbackPeriod{4};
  // Workers without an operation that each round probes, so that operators see
  // their state.
  static constexpr std::size_t kIdleProbesPerRound = 10;
  // Rounds that one tick runs in succession because records were written.
  static constexpr int kMaxFollowUpRounds = 16;

  EntryName Leader() const;
  void FetchRecordsFromLeader();
  void OnLeaderRecords(const Result<Json::Value>& answer);
  void ReadStore(std::function<void()> callback);
  void BeginRound(int follow_up_rounds);
  void ContinueRound(int follow_up_rounds);
  void EndRound(const std::shared_ptr<FleetSnapshot>& snapshot,
                int follow_up_rounds);
  std::vector<FleetAction> Decide(const FleetSnapshot& snapshot) const;
  std::vector<WorkerName> WorkersToProbe(const FleetSnapshot& snapshot) const;
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
  bool has_loaded_records = false;  // whether the records have been read once
  bool is_busy = false;  // a round or a read of the records is in progress
  MonotonicTime read_sent_at;  // when the last successful store read was sent
  MonotonicTime read_attempted_at;  // when a store read was last attempted
  MonotonicTime leader_queried_at;  // when the leader was last queried
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_SERVICE_H_

#ifndef SOURCE_CORE_ENTRY_FLEET_OBSERVER_H_
#define SOURCE_CORE_ENTRY_FLEET_OBSERVER_H_

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Fleet/fleet_observation.h"
#include "Core/Fleet/pool_ledger.h"
#include "Core/Platform/worker_messages.h"

namespace daisyroad {

class WorkerClient;
class WorkerDirectory;

// Probes workers for their status, because an instance otherwise hears only
// from the workers of its own cells.
class FleetObserver {
 public:
  using Clock = std::function<MonotonicTime()>;

  FleetObserver(WorkerClient* client,
                const WorkerDirectory* worker_directory,
                Clock time);

  // Calls back when every probe has been answered or has failed.
  void Probe(const std::vector<WorkerName>& workers,
             std::function<void()> callback);
  // Returns up to `count` workers, least recently probed first.
  std::vector<WorkerName> LeastRecentlyProbed(std::size_t count) const;

  // `records_read` is when the read of the records was sent.
  FleetObservation Observe(const PoolLedger& ledger,
                           const std::set<ZoneName>& zones_out,
                           Duration patience,
                           MonotonicTime records_read) const;

  // Tasks that were running on the worker in its last answer.
  std::vector<TaskId> RunningOn(const WorkerName& worker) const;
  // Number of running tasks by worker, for workers whose last probe was
  // answered.
  Json::Value RunningCounts() const;

  // The incarnation with that number as the worker names it; empty if the
  // worker was last seen as another incarnation.
  std::string IncarnationText(const WorkerName& worker,
                              std::int64_t number) const;
  // Maps the incarnation text of a worker to the number stored in records.
  static std::int64_t IncarnationNumber(const std::string& text);

 private:
  // Time for dispatchers to collect the results of ended tasks. Includes the
  // adoption of the tasks by another instance, which takes up to 5 s.
  static constexpr std::chrono::seconds kResultCollectionTime{10};

  struct ProbeHistory {
    MonotonicTime probed_at;  // when the last answered or failed probe was sent
    bool answered = false;    // whether that probe was answered
    WorkerStatus status;
    // Set while the worker is leaving, and while it is also idle.
    MonotonicTime leaving_since = MonotonicTime::max();
    MonotonicTime idle_since = MonotonicTime::max();
  };

  void OnStatus(const WorkerName& worker,
                MonotonicTime sent,
                const Result<WorkerStatus>& status);
  WorkerObservation Describe(const WorkerName& worker,
                             const ProbeHistory& history,
                             Duration patience) const;

  WorkerClient* workers;
  const WorkerDirectory* directory;
  Clock now;
  std::map<WorkerName, ProbeHistory> histories;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_OBSERVER_H_

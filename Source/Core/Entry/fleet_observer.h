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

// Asks workers for their status, since an instance hears by itself only from
// the workers of its own cells.
class FleetObserver {
 public:
  using Clock = std::function<MonotonicTime()>;

  FleetObserver(WorkerClient* client,
                const WorkerDirectory* worker_directory,
                Clock time);

  // Calls back when each of the workers has answered or failed to.
  void Probe(const std::vector<WorkerName>& workers,
             std::function<void()> callback);
  // Up to `count` workers, those first whose last probe is oldest.
  std::vector<WorkerName> Oldest(std::size_t count) const;

  // `records_read`: when the oldest read of the records was sent.
  FleetObservation Observe(const PoolLedger& ledger,
                           const std::set<ZoneName>& zones_out,
                           Duration patience,
                           MonotonicTime records_read) const;

  // Tasks that ran on the worker at its last answer.
  std::vector<TaskId> RunningOn(const WorkerName& worker) const;
  // Number of running tasks by worker, for the workers that have answered.
  Json::Value RunningCounts() const;

  // The worker's own name of the incarnation with that number, empty if the
  // worker was last seen as another one.
  std::string IncarnationText(const WorkerName& worker,
                              std::int64_t number) const;
  // Records hold incarnations as numbers; a worker names them by text.
  static std::int64_t IncarnationNumber(const std::string& text);

 private:
  // The time for dispatchers to collect the answers of ended tasks, including
  // their adoption by another instance, which takes up to 5 s.
  static constexpr std::chrono::seconds kCollectTime{10};

  struct Seen {
    MonotonicTime probed_at;  // when the last answered or failed probe was sent
    bool answered = false;    // the last probe was
    WorkerStatus status;
    // Set while the worker leaves, and while it also runs nothing.
    MonotonicTime leaving_since = MonotonicTime::max();
    MonotonicTime idle_since = MonotonicTime::max();
  };

  void OnStatus(const WorkerName& worker,
                MonotonicTime sent,
                const Result<WorkerStatus>& status);
  WorkerObservation Describe(const WorkerName& worker,
                             const Seen& seen,
                             Duration patience) const;

  WorkerClient* workers;
  const WorkerDirectory* directory;
  Clock now;
  std::map<WorkerName, Seen> table;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_OBSERVER_H_

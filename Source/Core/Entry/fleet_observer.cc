#include "Core/Entry/fleet_observer.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "Core/Common/hash.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Platform/worker_client.h"

namespace daisyroad {

FleetObserver::FleetObserver(WorkerClient* client,
                             const WorkerDirectory* worker_directory,
                             Clock time)
    : workers(client), directory(worker_directory), now(std::move(time)) {}

void FleetObserver::Probe(const std::vector<WorkerName>& names,
                          std::function<void()> callback) {
  const std::shared_ptr<std::size_t> pending_count =
      std::make_shared<std::size_t>(names.size() + 1);
  const std::function<void()> on_done = [pending_count,
                                         callback = std::move(callback)]() {
    if (--*pending_count == 0) {
      callback();
    }
  };
  for (const WorkerName& name : names) {
    const WorkerInfo* const worker = this->directory->Find(name);
    if (worker == nullptr) {
      on_done();
      continue;
    }
    const auto history = this->histories.find(name);
    // After a failure the existing connection may be dead, so a new one is
    // used.
    const bool use_new_connection =
        history != this->histories.end() && !history->second.answered;
    const MonotonicTime sent = this->now();
    this->workers->Status(
        worker->listed.address, use_new_connection,
        [this, name, sent, on_done](const Result<WorkerStatus>& status) {
          this->OnStatus(name, sent, status);
          on_done();
        });
  }
  on_done();
}

void FleetObserver::OnStatus(const WorkerName& worker,
                             MonotonicTime sent,
                             const Result<WorkerStatus>& status) {
  ProbeHistory& history = this->histories[worker];
  if (sent < history.probed_at) {
    return;
  }
  history.probed_at = sent;
  history.answered = status.ok();
  if (!status.ok()) {
    return;
  }
  const bool is_same_incarnation =
      status.value().incarnation == history.status.incarnation;
  history.status = status.value();
  if (!is_same_incarnation || !history.status.leaving) {
    history.leaving_since = MonotonicTime::max();
  }
  if (history.status.leaving) {
    history.leaving_since = std::min(history.leaving_since, sent);
  }
  const bool is_idle = history.status.leaving && history.status.running.empty();
  if (!is_same_incarnation || !is_idle) {
    history.idle_since = MonotonicTime::max();
  }
  if (is_idle) {
    history.idle_since = std::min(history.idle_since, sent);
  }
}

std::vector<WorkerName> FleetObserver::LeastRecentlyProbed(
    std::size_t count) const {
  std::vector<std::pair<MonotonicTime, WorkerName>> order;
  for (const std::pair<const WorkerName, WorkerInfo>& entry :
       this->directory->workers()) {
    const auto history = this->histories.find(entry.first);
    order.emplace_back(history == this->histories.end()
                           ? MonotonicTime()
                           : history->second.probed_at,
                       entry.first);
  }
  std::sort(order.begin(), order.end());
  order.resize(std::min(count, order.size()));
  std::vector<WorkerName> names;
  names.reserve(order.size());
  for (const std::pair<MonotonicTime, WorkerName>& entry : order) {
    names.push_back(entry.second);
  }
  return names;
}

FleetObservation FleetObserver::Observe(const PoolLedger& ledger,
                                        const std::set<ZoneName>& zones_out,
                                        Duration patience,
                                        MonotonicTime records_read) const {
  FleetObservation observation;
  observation.observed_at = records_read;
  observation.zones_out = zones_out;
  for (const InstanceTable::value_type& entry : ledger.instances()) {
    const auto history = this->histories.find(entry.first);
    if (history == this->histories.end()) {
      continue;  // without an observation it counts as down
    }
    observation.observed_at =
        std::min(observation.observed_at, history->second.probed_at);
    observation.workers[entry.first] =
        this->Describe(entry.first, history->second, patience);
  }
  return observation;
}

WorkerObservation FleetObserver::Describe(const WorkerName& worker,
                                          const ProbeHistory& history,
                                          Duration patience) const {
  const WorkerInfo* const info = this->directory->Find(worker);
  const WorkerStatus& status = history.status;
  WorkerObservation observation;
  observation.listed =
      info != nullptr && info->present && !info->listed.leaving;
  observation.healthy = history.answered && !status.leaving && status.slots > 0;
  observation.incarnation = IncarnationNumber(status.incarnation);
  const bool is_idle =
      history.answered && status.leaving && status.running.empty();
  observation.drained = is_idle && (status.uncollected == 0 ||
                                    history.probed_at - history.idle_since >
                                        kResultCollectionTime);
  // Workers do not report how long tasks will run. A drain that outlasts the
  // patience is taken as a long task; until then the number of running tasks
  // serves as the estimate that orders the workers.
  const bool is_patience_exceeded =
      history.leaving_since != MonotonicTime::max() &&
      history.probed_at - history.leaving_since > patience;
  const Duration by_count = std::chrono::seconds(status.running.size());
  if (!status.running.empty()) {
    observation.remaining = is_patience_exceeded ? patience + Milliseconds(1)
                                                 : std::min(patience, by_count);
  }
  return observation;
}

std::vector<TaskId> FleetObserver::RunningOn(const WorkerName& worker) const {
  const auto history = this->histories.find(worker);
  return history == this->histories.end() ? std::vector<TaskId>()
                                          : history->second.status.running;
}

Json::Value FleetObserver::RunningCounts() const {
  Json::Value counts(Json::objectValue);
  for (const std::pair<const WorkerName, ProbeHistory>& entry :
       this->histories) {
    if (entry.second.answered) {
      counts[entry.first.str()] =
          Json::UInt64(entry.second.status.running.size());
    }
  }
  return counts;
}

std::string FleetObserver::IncarnationText(const WorkerName& worker,
                                           std::int64_t number) const {
  const auto history = this->histories.find(worker);
  if (history == this->histories.end() ||
      IncarnationNumber(history->second.status.incarnation) != number) {
    return "";
  }
  return history->second.status.incarnation;
}

std::int64_t FleetObserver::IncarnationNumber(const std::string& text) {
  // Always positive: 0 means "no incarnation" in a record.
  return static_cast<std::int64_t>(StableHash(text) >> 1U) | 1;
}

}  // namespace daisyroad

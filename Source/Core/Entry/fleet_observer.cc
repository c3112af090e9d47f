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
  const std::shared_ptr<std::size_t> waiting =
      std::make_shared<std::size_t>(names.size() + 1);
  const std::function<void()> arrive = [waiting,
                                        callback = std::move(callback)]() {
    if (--*waiting == 0) {
      callback();
    }
  };
  for (const WorkerName& name : names) {
    const WorkerInfo* const worker = this->directory->Find(name);
    if (worker == nullptr) {
      arrive();
      continue;
    }
    const auto seen = this->table.find(name);
    // After a failure on a connection that may have gone silent, a new one.
    const bool fresh = seen != this->table.end() && !seen->second.answered;
    const MonotonicTime sent = this->now();
    this->workers->Status(
        worker->listed.address, fresh,
        [this, name, sent, arrive](const Result<WorkerStatus>& status) {
          this->OnStatus(name, sent, status);
          arrive();
        });
  }
  arrive();
}

void FleetObserver::OnStatus(const WorkerName& worker,
                             MonotonicTime sent,
                             const Result<WorkerStatus>& status) {
  Seen& seen = this->table[worker];
  if (sent < seen.probed_at) {
    return;
  }
  seen.probed_at = sent;
  seen.answered = status.ok();
  if (!status.ok()) {
    return;
  }
  const bool same = status.value().incarnation == seen.status.incarnation;
  seen.status = status.value();
  if (!same || !seen.status.leaving) {
    seen.leaving_since = MonotonicTime::max();
  }
  if (seen.status.leaving) {
    seen.leaving_since = std::min(seen.leaving_since, sent);
  }
  const bool idle = seen.status.leaving && seen.status.running.empty();
  if (!same || !idle) {
    seen.idle_since = MonotonicTime::max();
  }
  if (idle) {
    seen.idle_since = std::min(seen.idle_since, sent);
  }
}

std::vector<WorkerName> FleetObserver::Oldest(std::size_t count) const {
  std::vector<std::pair<MonotonicTime, WorkerName>> order;
  for (const std::pair<const WorkerName, WorkerInfo>& entry :
       this->directory->workers()) {
    const auto seen = this->table.find(entry.first);
    order.emplace_back(
        seen == this->table.end() ? MonotonicTime() : seen->second.probed_at,
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
    const auto seen = this->table.find(entry.first);
    if (seen == this->table.end()) {
      continue;  // counts as down
    }
    observation.observed_at =
        std::min(observation.observed_at, seen->second.probed_at);
    observation.workers[entry.first] =
        this->Describe(entry.first, seen->second, patience);
  }
  return observation;
}

WorkerObservation FleetObserver::Describe(const WorkerName& worker,
                                          const Seen& seen,
                                          Duration patience) const {
  const WorkerInfo* const info = this->directory->Find(worker);
  const WorkerStatus& status = seen.status;
  WorkerObservation observation;
  observation.listed =
      info != nullptr && info->present && !info->listed.leaving;
  observation.healthy = seen.answered && !status.leaving && status.slots > 0;
  observation.incarnation = IncarnationNumber(status.incarnation);
  const bool idle = seen.answered && status.leaving && status.running.empty();
  observation.drained =
      idle && (status.uncollected == 0 ||
               seen.probed_at - seen.idle_since > kCollectTime);
  // Workers do not say how long tasks will run. A drain that lasts longer than
  // the patience stands for a long task; before it, the number of tasks orders
  // the workers.
  const bool out_of_patience = seen.leaving_since != MonotonicTime::max() &&
                               seen.probed_at - seen.leaving_since > patience;
  const Duration by_count = std::chrono::seconds(status.running.size());
  if (!status.running.empty()) {
    observation.remaining = out_of_patience ? patience + Milliseconds(1)
                                            : std::min(patience, by_count);
  }
  return observation;
}

std::vector<TaskId> FleetObserver::RunningOn(const WorkerName& worker) const {
  const auto seen = this->table.find(worker);
  return seen == this->table.end() ? std::vector<TaskId>()
                                   : seen->second.status.running;
}

Json::Value FleetObserver::RunningCounts() const {
  Json::Value counts(Json::objectValue);
  for (const std::pair<const WorkerName, Seen>& entry : this->table) {
    if (entry.second.answered) {
      counts[entry.first.str()] =
          Json::UInt64(entry.second.status.running.size());
    }
  }
  return counts;
}

std::string FleetObserver::IncarnationText(const WorkerName& worker,
                                           std::int64_t number) const {
  const auto seen = this->table.find(worker);
  if (seen == this->table.end() ||
      IncarnationNumber(seen->second.status.incarnation) != number) {
    return "";
  }
  return seen->second.status.incarnation;
}

std::int64_t FleetObserver::IncarnationNumber(const std::string& text) {
  // Positive, and never 0, which stands for no incarnation in a record.
  return static_cast<std::int64_t>(StableHash(text) >> 1U) | 1;
}

}  // namespace daisyroad

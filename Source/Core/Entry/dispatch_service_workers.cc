// Tracks the workers of the cells: renews leases, collects reports on finished
// tasks and handles silent connections.

#include <algorithm>

#include "Core/Control/authority_tracker.h"
#include "Core/Entry/dispatch_service.h"

#include "Core/Entry/entry_context.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Platform/worker_client.h"

namespace daisyroad {
namespace {

// A worker without tasks is contacted less often: at the design size an
// instance tracks 105 workers, and one request per second to each took 2% of a
// core.
constexpr Milliseconds kIdlePeriod{4000};

}  // namespace

bool DispatchService::IsTracked(const WorkerName& name) const {
  const WorkerInfo* worker = this->directory->Find(name);
  if (worker == nullptr) {
    return false;
  }
  if (worker->present &&
      this->OwnerOf(worker->pool, worker->listed.zone) == this->context->self) {
    return true;
  }
  return std::any_of(
      this->dispatchers.begin(), this->dispatchers.end(),
      [worker](const std::pair<const CellKey, std::unique_ptr<CellDispatcher>>&
                   entry) { return entry.second->NeedsWorker(*worker); });
}

void DispatchService::TrackWorkers() {
  for (const std::pair<const WorkerName, WorkerInfo>& entry :
       this->directory->workers()) {
    if (!this->IsTracked(entry.first)) {
      continue;
    }
    this->RenewLeases(entry.first);
    this->Poll(entry.first);
  }
}

void DispatchService::Poll(const WorkerName& name) {
  const WorkerInfo* worker = this->directory->Find(name);
  if (worker == nullptr || !this->polling.insert(name).second) {
    return;
  }
  const std::vector<TaskId> acks = std::move(this->pending_acks[name]);
  this->pending_acks[name].clear();
  this->context->workers->WaitFinished(
      worker->listed.address, this->context->self.str(), acks,
      this->context->settings.worker_poll_wait,
      [this, name, acks](const Result<std::vector<TaskReport>>& reports) {
        this->polling.erase(name);
        if (!reports.ok()) {
          // The next round polls again and resends the acknowledgements.
          std::vector<TaskId>& kept = this->pending_acks[name];
          kept.insert(kept.end(), acks.begin(), acks.end());
          return;
        }
        this->OnFinished(name, reports.value());
        if (this->IsTracked(name)) {
          this->Poll(name);
        }
      });
}

void DispatchService::RenewLeases(const WorkerName& name) {
  const WorkerInfo* worker = this->directory->Find(name);
  if (worker == nullptr || !this->renewing.insert(name).second) {
    return;
  }
  std::vector<TaskId> tasks;
  for (const std::pair<const CellKey, std::unique_ptr<CellDispatcher>>& entry :
       this->dispatchers) {
    const std::vector<TaskId> running = entry.second->RunningOn(name);
    tasks.insert(tasks.end(), running.begin(), running.end());
  }
  const MonotonicTime sent = Now();
  if (tasks.empty() && worker->reachable && worker->has_clock &&
      sent - worker->heard_at < kIdlePeriod) {
    this->renewing.erase(name);
    return;
  }
  // The worker ignores a renewal that arrives later than the freshness bound,
  // so that an instance resuming from a pause does not prolong tasks that
  // others have given up.
  const WorkerClock renew_before =
      WorkerDirectory::ClockAt(*worker, sent + kFreshness)
          .value_or(WorkerClock(0));
  this->context->workers->RenewLeases(
      worker->listed.address, this->context->self.str(), tasks,
      this->context->settings.task_lease, renew_before,
      [this, name, sent](const Result<LeaseReply>& reply) {
        this->renewing.erase(name);
        if (!reply.ok()) {
          this->directory->OnFailure(name);
          return;
        }
        this->directory->OnReply(name, reply.value().now,
                                 reply.value().incarnation,
                                 reply.value().leaving);
        for (const std::pair<const CellKey, std::unique_ptr<CellDispatcher>>&
                 entry : this->dispatchers) {
          entry.second->OnLeasesRenewed(name, reply.value(), sent);
        }
      });
}

void DispatchService::OnSilentConnection(const std::string& address,
                                         const WorkerStatus& status) {
  std::vector<WorkerName> names;
  for (const std::pair<const WorkerName, WorkerInfo>& entry :
       this->directory->workers()) {
    if (entry.second.listed.address == address && entry.second.present) {
      names.push_back(entry.first);
    }
  }
  for (const WorkerName& name : names) {
    this->directory->OnReply(name, status.now, status.incarnation,
                             status.leaving);
    for (const std::pair<const CellKey, std::unique_ptr<CellDispatcher>>&
             entry : this->dispatchers) {
      entry.second->InquireAll(name);
    }
  }
}

void DispatchService::OnFinished(const WorkerName& worker,
                                 const std::vector<TaskReport>& reports) {
  for (const TaskReport& report : reports) {
    for (const std::pair<const CellKey, std::unique_ptr<CellDispatcher>>&
             entry : this->dispatchers) {
      entry.second->OnReport(worker, report);
    }
    this->pending_acks[worker].push_back(report.task);
  }
}

}  // namespace daisyroad

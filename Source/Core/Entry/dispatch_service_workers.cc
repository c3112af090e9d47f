// How a dispatcher follows the workers of its cells: leases, ended tasks and
// silent connections.

#include <algorithm>

#include "Core/Control/authority_tracker.h"
#include "Core/Entry/dispatch_service.h"

#include "Core/Entry/entry_context.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Platform/worker_client.h"

namespace daisyroad {
namespace {

// A worker without tasks is asked less often: at the design size an instance
// follows 105 workers, and a request a second to each cost 2% of a core.
constexpr Milliseconds kIdlePeriod{4000};

}  // namespace

bool DispatchService::Follows(const WorkerName& name) const {
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

void DispatchService::FollowWorkers() {
  for (const std::pair<const WorkerName, WorkerInfo>& entry :
       this->directory->workers()) {
    if (!this->Follows(entry.first)) {
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
  const std::vector<TaskId> acks = std::move(this->acknowledged[name]);
  this->acknowledged[name].clear();
  this->context->workers->WaitFinished(
      worker->listed.address, this->context->self.str(), acks,
      this->context->settings.worker_poll_wait,
      [this, name, acks](const Result<std::vector<TaskReport>>& reports) {
        this->polling.erase(name);
        if (!reports.ok()) {
          // The next round polls again; until then acknowledgements are kept.
          std::vector<TaskId>& kept = this->acknowledged[name];
          kept.insert(kept.end(), acks.begin(), acks.end());
          return;
        }
        this->OnFinished(name, reports.value());
        if (this->Follows(name)) {
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
  // A renewal that is held up beyond the freshness bound is ignored by the
  // worker, so that a paused instance keeps no task that others have given up.
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
    this->acknowledged[worker].push_back(report.task);
  }
}

}  // namespace daisyroad

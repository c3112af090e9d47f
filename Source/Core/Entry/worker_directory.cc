#include "Core/Entry/worker_directory.h"

#include <set>
#include <utility>

#include "Core/Common/logging.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/evidence_hooks.h"
#include "Core/Platform/instance_list_client.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {

WorkerDirectory::WorkerDirectory(EntryContext* context) : context(context) {}

void WorkerDirectory::Start() {
  this->Fetch();
}

void WorkerDirectory::AddListener(ChangeHandler listener) {
  this->listeners.push_back(std::move(listener));
}

const WorkerInfo* WorkerDirectory::Find(const WorkerName& name) const {
  const auto found = this->infos.find(name);
  return found == this->infos.end() ? nullptr : &found->second;
}

std::vector<const WorkerInfo*> WorkerDirectory::InCell(
    const PoolName& pool,
    const ZoneName& zone) const {
  std::vector<const WorkerInfo*> found;
  for (const WorkerInfo* worker : this->InPool(pool)) {
    if (worker->listed.zone == zone) {
      found.push_back(worker);
    }
  }
  return found;
}

std::vector<const WorkerInfo*> WorkerDirectory::InPool(
    const PoolName& pool) const {
  std::vector<const WorkerInfo*> found;
  for (const std::pair<const WorkerName, WorkerInfo>& entry : this->infos) {
    if (entry.second.pool == pool && entry.second.present) {
      found.push_back(&entry.second);
    }
  }
  return found;
}

void WorkerDirectory::OnReply(const WorkerName& name,
                              WorkerClock clock,
                              const std::string& incarnation,
                              bool leaving) {
  const auto found = this->infos.find(name);
  if (found == this->infos.end()) {
    return;
  }
  WorkerInfo& worker = found->second;
  ObserveWorkerReply(*this->context, worker, incarnation);
  const bool changed = worker.incarnation != incarnation ||
                       worker.leaving != leaving || !worker.reachable;
  worker.clock = clock;
  worker.sampled_at = Now();
  worker.has_clock = true;
  worker.incarnation = incarnation;
  worker.leaving = leaving;
  worker.reachable = true;
  worker.heard_at = Now();
  if (changed) {
    this->Notify(name);
  }
}

void WorkerDirectory::OnSlots(const WorkerName& name, int slots) {
  const auto found = this->infos.find(name);
  if (found != this->infos.end() && found->second.slots != slots) {
    found->second.slots = slots;
    this->Notify(name);
  }
}

void WorkerDirectory::OnFailure(const WorkerName& name) {
  const auto found = this->infos.find(name);
  if (found != this->infos.end()) {
    ObserveWorkerFailure(*this->context, found->second);
  }
  if (found != this->infos.end() && found->second.reachable) {
    found->second.reachable = false;
    this->Notify(name);
  }
}

void WorkerDirectory::SetPool(const WorkerName& name, const PoolName& pool) {
  this->assigned_pools[name] = pool;
  const auto found = this->infos.find(name);
  if (found != this->infos.end() && found->second.pool != pool) {
    found->second.pool = pool;
    this->Notify(name);
  }
}

std::optional<WorkerClock> WorkerDirectory::ClockAt(const WorkerInfo& worker,
                                                    MonotonicTime deadline) {
  if (!worker.has_clock) {
    return std::nullopt;
  }
  return worker.clock +
         std::chrono::duration_cast<WorkerClock>(deadline - worker.sampled_at);
}

void WorkerDirectory::Fetch() {
  this->context->instance_list->Fetch(
      [this](const Result<std::vector<ListedInstance>>& instances) {
        if (instances.ok()) {
          this->Merge(instances.value());
        } else {
          CLOG(DEBUG, kRoutingLog) << instances.error().ToString();
        }
        this->context->loop->After(
            this->context->settings.instance_list_interval,
            [this]() { this->Fetch(); });
      });
}

void WorkerDirectory::Merge(const std::vector<ListedInstance>& instances) {
  std::set<WorkerName> listed;
  for (const ListedInstance& instance : instances) {
    listed.insert(instance.name);
    WorkerInfo& worker = this->infos[instance.name];
    const bool changed =
        !(worker.listed == instance) || !worker.present || worker.pool.empty();
    // The state can also change back. Instances of other zones get no replies
    // from the worker, so they learn it only from the list.
    if (instance.leaving != worker.listed.leaving) {
      worker.leaving = instance.leaving;
    }
    worker.listed = instance;
    worker.present = true;
    const auto pool = this->assigned_pools.find(instance.name);
    worker.pool = pool == this->assigned_pools.end() ? instance.initial_pool
                                                     : pool->second;
    if (changed) {
      this->Notify(instance.name);
    }
  }
  for (std::pair<const WorkerName, WorkerInfo>& entry : this->infos) {
    if (entry.second.present && listed.count(entry.first) == 0) {
      entry.second.present = false;
      this->Notify(entry.first);
    }
  }
}

void WorkerDirectory::Notify(const WorkerName& name) {
  for (const ChangeHandler& listener : this->listeners) {
    listener(name);
  }
}

}  // namespace daisyroad

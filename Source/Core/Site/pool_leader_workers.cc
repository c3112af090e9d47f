// Worker tracking of a pool leader: persists the workers for the next term and
// checks silent ones against the list of machines.

#include "Core/Site/pool_leader_state.h"

#include <algorithm>
#include <utility>

#include "Core/Common/logging.h"
#include "Core/Site/persisted_workers.h"
#include "Core/Site/store_keys.h"
#include "Core/Site/worker_liveness.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kSaveTimeout{600};
constexpr Milliseconds kRetryPause{150};
constexpr Milliseconds kMachineCheckInterval{400};
// A machine counts as removed, and a worker as without a machine, once this
// many consecutive lists omit it. One list is not enough, because its pages are
// not a snapshot.
constexpr int kAbsencesUntilRemoved = 2;
// Time until the next check if the last one found no silent worker and no
// worker without a known machine.
constexpr Milliseconds kMachineCheckPause{20};
// How often the workers to persist are compared with the stored record; a
// change of the list of workers triggers the comparison at once.
constexpr Milliseconds kPersistInterval{1000};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

void PoolLeader::State::LoadWorkers() {
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.store->Get(
      WorkersKey(this->pool), kLoadTimeout,
      [self](const Result<std::optional<StoreItem>>& item) {
        if (self->is_stopped) {
          return;
        }
        if (!item.ok()) {
          CLOG(WARNING, kTasksLog)
              << "event=workers_not_loaded pool=" << self->pool << " error=\""
              << item.error().ToString() << "\"";
          self->context.loop->After(kRetryPause,
                                    [self]() { self->LoadWorkers(); });
          return;
        }
        if (item.value()) {
          self->AdoptWorkers(*item.value());
        }
        self->LoadProgress("");
      });
}

void PoolLeader::State::AdoptWorkers(const StoreItem& item) {
  this->persisted_revision = item.revision;
  const Result<std::vector<PersistedWorker>> workers =
      ParsePersistedWorkers(item.value);
  if (!workers.ok()) {
    CLOG(ERROR, kTasksLog) << "event=workers_unreadable pool=" << this->pool
                           << " error=\"" << workers.error().ToString() << "\"";
    std::vector<WorkerListing> listed;
    for (const std::pair<const WorkerName, WorkerListing>& worker :
         this->listing) {
      listed.push_back(worker.second);
    }
    this->scheduler.ExpectRunsOn(listed, Now());
    return;
  }
  this->persisted_value = item.value;
  std::vector<WorkerListing> listings;
  for (const PersistedWorker& worker : workers.value()) {
    const WorkerName& name = worker.listing.name;
    this->known_workers.emplace(name, worker.listing);
    if (!worker.machine.empty()) {
      this->machine_of[name] = worker.machine;
    }
    listings.push_back(worker.listing);
  }
  this->scheduler.ExpectRunsOn(listings, Now());
  this->SetPersisted(workers.value());
}

void PoolLeader::State::SetPersisted(
    const std::vector<PersistedWorker>& workers) {
  std::map<WorkerName, std::string> addresses;
  for (const PersistedWorker& worker : workers) {
    addresses[worker.listing.name] = worker.listing.address;
  }
  std::set<WorkerName> names;
  for (const WorkerListing& worker : this->scheduler.WorkersToRemember()) {
    const std::map<WorkerName, std::string>::const_iterator stored =
        addresses.find(worker.name);
    if (stored != addresses.end() && stored->second == worker.address) {
      names.insert(worker.name);
    }
  }
  this->scheduler.SetRemembered(names);
}

void PoolLeader::State::PersistWorkers(MonotonicTime now) {
  if (this->is_persisting_workers || now < this->next_persist) {
    return;
  }
  this->next_persist = now + kPersistInterval;
  std::vector<PersistedWorker> workers;
  for (const WorkerListing& worker : this->scheduler.WorkersToRemember()) {
    const std::map<WorkerName, MachineName>::const_iterator machine =
        this->machine_of.find(worker.name);
    workers.push_back(PersistedWorker{worker, machine == this->machine_of.end()
                                                  ? MachineName()
                                                  : machine->second});
  }
  const std::string value = SerializePersistedWorkers(workers);
  if (value == this->persisted_value) {
    // A worker may have been unlisted and listed again meanwhile.
    this->SetPersisted(workers);
    return;
  }
  const std::string key = WorkersKey(this->pool);
  StoreTransaction transaction;
  transaction.expected = {{kLeaderPrefix + this->term.duty, this->term.fence},
                          {key, this->persisted_revision}};
  transaction.writes.push_back({key, value, 0});
  this->is_persisting_workers = true;
  // Unknown until the answer arrives, which may be lost.
  this->persisted_value.reset();
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.store->Commit(
      transaction, kSaveTimeout,
      [self, key, workers, value](const Result<TransactionResult>& result) {
        self->is_persisting_workers = false;
        self->next_persist = MonotonicTime();
        if (self->is_stopped || !result.ok()) {
          return;
        }
        if (const TransactionCommitted* const committed =
                std::get_if<TransactionCommitted>(&result.value())) {
          self->persisted_revision = committed->revision;
          self->persisted_value = value;
          self->SetPersisted(workers);
          self->SchedulePass();
          return;
        }
        for (const StoreItem& item :
             std::get<TransactionConflict>(result.value()).items) {
          if (item.key == key) {
            self->persisted_revision = item.revision;
          }
        }
      });
}

void PoolLeader::State::CheckMachines(MonotonicTime now) {
  if (this->is_listing_machines || now < this->next_machine_check) {
    return;
  }
  const std::vector<WorkerName> silent = this->scheduler.SilentWorkers(now);
  const bool is_placed = std::all_of(
      this->listing.begin(), this->listing.end(),
      [this](const std::pair<const WorkerName, WorkerListing>& entry) {
        return this->machine_of.contains(entry.first);
      });
  if (silent.empty() && is_placed) {
    this->next_machine_check = now + kMachineCheckPause;
    return;
  }
  this->is_listing_machines = true;
  this->next_machine_check = now + kMachineCheckInterval;
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.machines->List(
      [self, silent,
       requested_at = now](const Result<std::vector<Machine>>& machines) {
        self->is_listing_machines = false;
        if (self->is_stopped || !machines.ok()) {
          return;
        }
        for (const Machine& machine : machines.value()) {
          if (!machine.worker.empty()) {
            self->machine_of[machine.worker] = machine.name;
          }
        }
        self->next_persist = MonotonicTime();
        self->UpdateSole();
        for (const WorkerName& worker : silent) {
          self->CheckSilentWorker(worker, machines.value(), requested_at);
        }
        self->SchedulePass();
      });
}

void PoolLeader::State::CheckSilentWorker(const WorkerName& worker,
                                          const std::vector<Machine>& machines,
                                          MonotonicTime requested_at) {
  const std::map<WorkerName, MachineName>::const_iterator found =
      this->machine_of.find(worker);
  const MachineName host =
      found == this->machine_of.end() ? MachineName() : found->second;
  const WorkerLiveness life =
      host.empty() ? ClassifyUnplacedWorker(this->pool, machines)
                   : ClassifyWorkerLiveness(worker, this->pool, host, machines);
  int& absences = this->absences[worker];
  absences = life == WorkerLiveness::kMachineAbsent ? absences + 1 : 0;
  const bool is_over =
      life == WorkerLiveness::kTerminated ||
      (absences >= kAbsencesUntilRemoved && !this->listing.contains(worker));
  CLOG(INFO, kTasksLog)
      << "decision=silent_worker pool=" << this->pool << " worker=" << worker
      << " machine=" << host << " life=" << ToString(life)
      << " absences=" << absences << " over=" << is_over << " list_age_ms="
      << std::chrono::duration_cast<Milliseconds>(Now() - requested_at).count();
  if (is_over) {
    this->absences.erase(worker);
    this->scheduler.OnWorkerGone(worker, requested_at, Now(),
                                 ClassifyWorkerEnd(this->pool, host, machines));
  }
}

}  // namespace daisyroad

// The workers of a pool lead: remembered for the next term, and compared with
// the list of machines.

#include "Core/Site/pool_lead_state.h"

#include <algorithm>
#include <utility>

#include "Core/Common/logging.h"
#include "Core/Site/remembered_workers.h"
#include "Core/Site/store_keys.h"
#include "Core/Site/worker_life.h"
#include "Core/Transport/event_loop.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kListTimeout{1500};
constexpr Milliseconds kSaveTimeout{600};
constexpr Milliseconds kRetryPause{150};
constexpr Milliseconds kLookInterval{400};
// A machine that so many lists in a row leave out was taken away: the pages of
// one list are not a snapshot.
constexpr int kAbsencesOfRemoved = 2;
// How soon after a look that found nothing missing the next one is.
constexpr Milliseconds kLookPause{20};
// How often workers that are to be remembered are compared with those that
// are, unless the list of workers has changed.
constexpr Milliseconds kRememberInterval{1000};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

void PoolLead::State::LoadWorkers() {
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.store->Get(
      WorkersKey(this->pool), kListTimeout,
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

void PoolLead::State::AdoptWorkers(const StoreItem& item) {
  this->remembered_revision = item.revision;
  const Result<std::vector<RememberedWorker>> workers =
      ParseRememberedWorkers(item.value);
  if (!workers.ok()) {
    CLOG(ERROR, kTasksLog) << "event=workers_unreadable pool=" << this->pool
                           << " error=\"" << workers.error().ToString() << "\"";
    return;
  }
  this->remembered_value = item.value;
  std::vector<WorkerListing> listings;
  std::set<WorkerName> names;
  for (const RememberedWorker& worker : workers.value()) {
    const WorkerName& name = worker.listing.name;
    names.insert(name);
    this->known_workers.emplace(name, worker.listing);
    if (!worker.machine.empty()) {
      this->machine_of[name] = worker.machine;
    }
    listings.push_back(worker.listing);
  }
  this->scheduler.ExpectRunsOn(listings, Now());
  this->scheduler.SetRemembered(names);
}

void PoolLead::State::RememberWorkers(MonotonicTime now) {
  if (this->is_remembering || now < this->next_remember) {
    return;
  }
  this->next_remember = now + kRememberInterval;
  std::vector<RememberedWorker> workers;
  std::set<WorkerName> names;
  for (const WorkerListing& worker : this->scheduler.WorkersToRemember()) {
    const std::map<WorkerName, MachineName>::const_iterator machine =
        this->machine_of.find(worker.name);
    workers.push_back(RememberedWorker{worker, machine == this->machine_of.end()
                                                   ? MachineName()
                                                   : machine->second});
    names.insert(worker.name);
  }
  const std::string value = WriteRememberedWorkers(workers);
  if (value == this->remembered_value) {
    return;
  }
  const std::string key = WorkersKey(this->pool);
  StoreTransaction transaction;
  transaction.expected = {{kLeadPrefix + this->term.duty, this->term.fence},
                          {key, this->remembered_revision}};
  transaction.writes.push_back({key, value, 0});
  this->is_remembering = true;
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.store->Commit(
      transaction, kSaveTimeout,
      [self, key, names, value](const Result<TransactionResult>& result) {
        self->is_remembering = false;
        self->next_remember = MonotonicTime();
        if (self->is_stopped || !result.ok()) {
          return;
        }
        if (const TransactionCommitted* const committed =
                std::get_if<TransactionCommitted>(&result.value())) {
          self->remembered_revision = committed->revision;
          self->remembered_value = value;
          self->scheduler.SetRemembered(names);
          self->SchedulePump();
          return;
        }
        for (const StoreItem& item :
             std::get<TransactionConflict>(result.value()).items) {
          if (item.key == key) {
            self->remembered_revision = item.revision;
          }
        }
      });
}

void PoolLead::State::LookAtMachines(MonotonicTime now) {
  if (this->is_looking || now < this->next_look) {
    return;
  }
  const std::vector<WorkerName> silent = this->scheduler.SilentWorkers(now);
  const bool is_placed = std::all_of(
      this->listing.begin(), this->listing.end(),
      [this](const std::pair<const WorkerName, WorkerListing>& entry) {
        return this->machine_of.contains(entry.first);
      });
  if (silent.empty() && is_placed) {
    this->next_look = now + kLookPause;
    return;
  }
  this->is_looking = true;
  this->next_look = now + kLookInterval;
  const std::shared_ptr<State> self = this->shared_from_this();
  this->context.machines->List(
      [self, silent](const Result<std::vector<Machine>>& machines) {
        self->is_looking = false;
        if (self->is_stopped || !machines.ok()) {
          return;
        }
        for (const Machine& machine : machines.value()) {
          if (!machine.worker.empty()) {
            self->machine_of[machine.worker] = machine.name;
          }
        }
        self->next_remember = MonotonicTime();
        for (const WorkerName& worker : silent) {
          self->CompareWithMachines(worker, machines.value());
        }
        self->SchedulePump();
      });
}

void PoolLead::State::CompareWithMachines(
    const WorkerName& worker,
    const std::vector<Machine>& machines) {
  const std::map<WorkerName, MachineName>::const_iterator host =
      this->machine_of.find(worker);
  if (host == this->machine_of.end()) {
    return;
  }
  const WorkerLife life =
      JudgeWorkerLife(worker, this->pool, host->second, machines);
  int& absences = this->absences[worker];
  absences = life == WorkerLife::kMachineAbsent ? absences + 1 : 0;
  const bool is_over =
      life == WorkerLife::kOver ||
      (absences >= kAbsencesOfRemoved && !this->listing.contains(worker));
  CLOG(INFO, kTasksLog) << "decision=silent_worker pool=" << this->pool
                        << " worker=" << worker << " machine=" << host->second
                        << " life=" << ToString(life)
                        << " absences=" << absences << " over=" << is_over;
  if (is_over) {
    this->absences.erase(worker);
    this->scheduler.OnWorkerGone(worker, Now());
  }
}

}  // namespace daisyroad

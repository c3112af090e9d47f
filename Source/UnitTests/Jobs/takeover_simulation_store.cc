// Reads and writes of the store, and lists of machines.

#include <algorithm>
#include <iterator>

#include "UnitTests/Jobs/takeover_simulation.h"
#include "UnitTests/Jobs/takeover_timing.h"

namespace daisyroad {

namespace {

std::set<WorkerName> NamesOf(const std::vector<WorkerListing>& workers) {
  std::set<WorkerName> names;
  for (const WorkerListing& worker : workers) {
    names.insert(worker.name);
  }
  return names;
}

}  // namespace

bool TakeoverSimulation::MayCommit(const LeaderPointer& leader) const {
  return this->ReachesStore(this->instances[leader->instance]) &&
         this->record.is_held && this->record.fence == leader->fence;
}

void TakeoverSimulation::Load(const LeaderPointer& leader) {
  if (!this->ReachesStore(this->instances[leader->instance])) {
    this->Answer(leader, Milliseconds(150),
                 [this, leader]() { this->Load(leader); });
    return;
  }
  const MonotonicTime now = this->Now();
  leader->scheduler.ExpectRunsOn(this->remembered, now);
  leader->scheduler.SetRemembered(NamesOf(this->remembered));
  leader->persisted = this->remembered;
  leader->scheduler.SetSole(
      now < this->instances[leader->instance].lease_valid_until);
  for (const AcceptedJob& job : this->jobs) {
    leader->scheduler.AddJob(job, this->progress[job.id], leader->number > 1,
                             now);
  }
  leader->known_jobs = this->jobs.size();
  leader->is_ready = true;
}

void TakeoverSimulation::PersistWorkers(const LeaderPointer& leader) {
  if (leader->is_persisting || this->Now() < leader->next_persist) {
    return;
  }
  leader->next_persist = this->Now() + kPersistInterval;
  const std::vector<WorkerListing> workers =
      leader->scheduler.WorkersToRemember();
  if (workers == leader->persisted) {
    return;
  }
  leader->is_persisting = true;
  this->queue.After(this->Delay(), [this, leader, workers]() {
    const bool is_committed = this->MayCommit(leader);
    if (is_committed) {
      this->remembered = workers;
    }
    const bool is_answered = is_committed && !this->random.Chance(0.05);
    this->Answer(leader, is_answered ? this->Delay() : kSaveTimeout,
                 [leader, workers, is_answered]() {
                   leader->is_persisting = false;
                   leader->next_persist = MonotonicTime();
                   if (is_answered) {
                     leader->persisted = workers;
                     leader->scheduler.SetRemembered(NamesOf(workers));
                   }
                 });
  });
}

void TakeoverSimulation::CheckMachines(const LeaderPointer& leader) {
  const MonotonicTime now = this->Now();
  if (leader->is_listing_machines || now < leader->next_machine_check) {
    return;
  }
  const std::vector<WorkerName> silent = leader->scheduler.SilentWorkers(now);
  if (silent.empty() ||
      this->IsCutOff(this->instances[leader->instance].zone)) {
    return;
  }
  leader->is_listing_machines = true;
  leader->next_machine_check = now + kMachineCheckInterval;
  const bool is_late =
      this->options.has_late_machine_lists && this->random.Chance(0.4);
  const Milliseconds request_delay = this->Delay();
  this->totals->late_lists += is_late;
  this->queue.After(request_delay, [this, leader, silent, is_late, now]() {
    std::vector<WorkerName> down;
    std::copy_if(silent.begin(), silent.end(), std::back_inserter(down),
                 [this](const WorkerName& worker) {
                   return this->hosts.at(worker).worker == nullptr;
                 });
    // Without the fault, the list shows the state at the time of its arrival.
    const Milliseconds delay = is_late ? this->Upto(1000) : Milliseconds(0);
    this->Answer(leader, delay, [this, leader, down, now]() {
      leader->is_listing_machines = false;
      for (const WorkerName& worker : down) {
        leader->scheduler.OnWorkerGone(worker, now, this->Now(),
                                       WorkerEnd::kDown);
      }
      this->TraceDecisions(leader.get());
    });
  });
}

void TakeoverSimulation::Save(const LeaderPointer& leader) {
  while (leader->saves_in_progress < kMaxSaves) {
    const std::vector<std::pair<JobId, JobProgress>> batch =
        leader->scheduler.TakeUnsaved(15, this->Now());
    if (batch.empty()) {
      return;
    }
    ++leader->saves_in_progress;
    this->queue.After(this->Delay(), [this, leader, batch]() {
      const bool is_committed =
          this->MayCommit(leader) && !this->random.Chance(0.05);
      std::vector<JobId> saved;
      for (const std::pair<JobId, JobProgress>& entry : batch) {
        saved.push_back(entry.first);
        if (is_committed) {
          this->progress[entry.first] = entry.second;
        }
      }
      const bool is_answered = is_committed && !this->random.Chance(0.05);
      this->Answer(leader, is_answered ? this->Delay() : kSaveTimeout,
                   [leader, saved, is_answered]() {
                     --leader->saves_in_progress;
                     if (is_answered) {
                       leader->scheduler.OnSaved(saved);
                     } else {
                       leader->scheduler.OnSaveFailed(saved);
                     }
                   });
    });
  }
}

}  // namespace daisyroad

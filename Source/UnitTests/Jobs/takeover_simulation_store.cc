// Reads and writes of the store, and lists of machines.

#include <algorithm>
#include <iterator>

#include "UnitTests/Jobs/takeover_simulation.h"
#include "UnitTests/Jobs/takeover_timing.h"

namespace daisyroad {

namespace {

// Those of `stored` that the scheduler knows at the address that is stored.
std::set<WorkerName> RememberedBy(const PoolScheduler& scheduler,
                                  const std::vector<WorkerListing>& stored) {
  std::map<WorkerName, std::string> addresses;
  for (const WorkerListing& worker : stored) {
    addresses[worker.name] = worker.address;
  }
  std::set<WorkerName> names;
  for (const WorkerListing& worker : scheduler.WorkersToRemember()) {
    const std::map<WorkerName, std::string>::const_iterator found =
        addresses.find(worker.name);
    if (found != addresses.end() && found->second == worker.address) {
      names.insert(worker.name);
    }
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
  for (const WorkerListing& worker : this->remembered) {
    leader->addresses.emplace(worker.name, worker.address);
  }
  leader->scheduler.ExpectRunsOn(this->remembered, now);
  leader->scheduler.SetRemembered(
      RememberedBy(leader->scheduler, this->remembered));
  leader->persisted = this->remembered;
  leader->scheduler.SetSole(
      now < this->instances[leader->instance].lease_valid_until);
  for (const AcceptedJob& job : this->jobs) {
    leader->scheduler.AddJob(job, this->progress[job.id], leader->number > 1,
                             now);
  }
  leader->progress_revisions = this->progress_revisions;
  leader->workers_revision = this->workers_revision;
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
    // A worker may have been unlisted and listed again meanwhile.
    leader->scheduler.SetRemembered(RememberedBy(leader->scheduler, workers));
    return;
  }
  leader->is_persisting = true;
  leader->persisted.reset();
  this->queue.After(this->Delay(), [this, leader, workers]() {
    const auto write = [this, workers, expected = leader->workers_revision]() {
      if (this->workers_revision != expected) {
        return false;
      }
      this->remembered = workers;
      this->workers_revision += this->options.has_late_writes;
      return true;
    };
    const bool is_committed = this->Write(leader, write);
    const bool is_answered = is_committed && !this->random.Chance(0.05);
    this->Answer(
        leader, is_answered ? this->Delay() : kSaveTimeout,
        [leader, workers, is_answered, revision = this->workers_revision]() {
          leader->workers_revision = revision;
          leader->is_persisting = false;
          leader->next_persist = MonotonicTime();
          if (is_answered) {
            leader->persisted = workers;
            leader->scheduler.SetRemembered(
                RememberedBy(leader->scheduler, workers));
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
      this->UpdateSole(leader);
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
    this->SaveBatch(leader, batch);
  }
}

void TakeoverSimulation::SaveBatch(
    const LeaderPointer& leader,
    const std::vector<std::pair<JobId, JobProgress>>& batch) {
  ++leader->saves_in_progress;
  std::map<JobId, std::int64_t> expected;
  std::vector<JobId> saved;
  for (const std::pair<JobId, JobProgress>& entry : batch) {
    saved.push_back(entry.first);
    expected[entry.first] = leader->progress_revisions[entry.first];
  }
  this->queue.After(this->Delay(), [this, leader, batch, saved, expected]() {
    const auto write = [this, batch, expected]() {
      for (const std::pair<const JobId, std::int64_t>& entry : expected) {
        if (this->progress_revisions[entry.first] != entry.second) {
          return false;
        }
      }
      this->revision += this->options.has_late_writes;
      for (const std::pair<JobId, JobProgress>& entry : batch) {
        this->progress[entry.first] = entry.second;
        this->progress_revisions[entry.first] = this->revision;
      }
      return true;
    };
    const bool is_committed =
        !this->random.Chance(0.05) && this->Write(leader, write);
    std::map<JobId, std::int64_t> now_stored;
    for (const JobId& job : saved) {
      now_stored[job] = this->progress_revisions[job];
    }
    const bool is_answered = is_committed && !this->random.Chance(0.05);
    this->Answer(
        leader, is_answered ? this->Delay() : kSaveTimeout,
        [leader, saved, is_answered, now_stored]() {
          --leader->saves_in_progress;
          // A conflict tells the revisions, as the next one would.
          for (const std::pair<const JobId, std::int64_t>& entry : now_stored) {
            leader->progress_revisions[entry.first] = entry.second;
          }
          if (is_answered) {
            leader->scheduler.OnSaved(saved);
          } else {
            leader->scheduler.OnSaveFailed(saved);
          }
        });
  });
}

bool TakeoverSimulation::Write(const LeaderPointer& leader,
                               std::function<bool()> write) {
  if (this->options.has_late_writes && this->queue.now() < kFaultPeriod &&
      this->random.Chance(0.25)) {
    this->queue.After(
        Milliseconds(1000) + this->Upto(5000),
        [this, leader, write = std::move(write)]() {
          const bool may_write = this->record.is_held &&
                                 this->record.fence == leader->fence &&
                                 this->Now() >= this->store_away_until;
          const bool is_written = may_write && write();
          this->totals->late_writes += is_written;
          this->totals->refused_writes += !is_written;
          this->Trace("fence " + std::to_string(leader->fence) +
                      ": late write" + (is_written ? "" : " refused"));
        });
    return false;
  }
  return this->MayCommit(leader) && write();
}

}  // namespace daisyroad

// Tasks under which workers crashed: counting the crashes, trials, and giving
// up tasks that crash the workers that run them.

#include <algorithm>
#include <tuple>
#include <utility>

#include "Core/Jobs/objective.h"
#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {
namespace {

// Expected time until a worker has room for a trial if it has none now, in
// multiples of the duration of a trial.
constexpr int kTrialsUntilRoom = 3;
constexpr Milliseconds kShortestTrialDelay{10};

}  // namespace

bool PoolScheduler::IsEndPlanned(const WorkerState& worker,
                                 MonotonicTime now) const {
  return worker.planned_end_at &&
         now - *worker.planned_end_at <= this->settings.planned_end_window;
}

bool PoolScheduler::HasLasted(const RunRecord& run,
                              Milliseconds duration,
                              MonotonicTime now) const {
  // The worker may have crashed any time after its last report.
  return run.confirmed_at && run.last_seen_at && *run.last_seen_at <= now &&
         *run.last_seen_at - *run.confirmed_at >= duration;
}

bool PoolScheduler::WasSeenLately(const RunRecord& run,
                                  MonotonicTime now) const {
  if (!run.confirmed_at) {
    return false;
  }
  const MonotonicTime seen_at =
      std::max(*run.confirmed_at, run.last_seen_at.value_or(*run.confirmed_at));
  return now - seen_at <= this->settings.crash_notice_window;
}

void PoolScheduler::HandleCrash(WorkerState* worker,
                                std::set<RunKey> lost,
                                MonotonicTime now) {
  std::erase_if(lost, [this, worker, now](const RunKey& key) {
    // Nothing starts on a worker that is being emptied, so a run that was
    // ordered later shows that the planned work was called off.
    const RunRecord* const run = this->FindRun(key.first, key.second);
    if (!this->IsEndPlanned(*worker, now) ||
        (run != nullptr && run->ordered_at > *worker->planned_end_at)) {
      return false;
    }
    this->CloseStart(key.first, key.second);
    return true;
  });
  if (lost.empty()) {
    return;
  }
  const std::set<RunKey>::const_iterator tried = std::find_if(
      lost.begin(), lost.end(), [this, worker, now](const RunKey& key) {
        const RunRecord* const run = this->FindRun(key.first, key.second);
        return worker->trial == key.first && run != nullptr &&
               !this->HasLasted(*run, this->TrialDuration(key.first), now);
      });
  const bool is_trial = tried != lost.end();
  // Another run that has not cleared its task may crash its worker late.
  const bool is_proof =
      is_trial && std::all_of(lost.begin(), lost.end(), [&](const RunKey& key) {
        const RunRecord* const run = this->FindRun(key.first, key.second);
        return key == *tried ||
               (run != nullptr &&
                this->HasLasted(*run, this->settings.crash_memory, now));
      });
  Crash crash;
  crash.time = now;
  crash.worker = worker->listing;
  for (const RunKey& run : lost) {
    const Suspicion suspicion = is_trial && run != *tried
                                    ? Suspicion::kBesideTrial
                                : is_proof ? Suspicion::kAloneOnTrial
                                           : Suspicion::kSuspected;
    if (this->CountCrash(run, suspicion, now)) {
      crash.counted.insert(run);
    }
  }
  std::erase_if(this->crashes, [this, now](const Crash& earlier) {
    return now - earlier.time > this->settings.joint_loss_window;
  });
  this->crashes.push_back(std::move(crash));
  this->ReviewJointLoss();
}

bool PoolScheduler::CountCrash(const RunKey& key,
                               Suspicion suspicion,
                               MonotonicTime now) {
  const TaskRef& task = key.first;
  const TaskState* const found = this->FindTask(task);
  if (found == nullptr || found->is_done) {
    return false;
  }
  TaskState* const state = this->OpenTask(task);
  JobState& job = this->jobs.at(task.job);
  const RunRecord* const run = this->FindRun(task, key.second);
  const bool has_lasted =
      run != nullptr && this->HasLasted(*run, this->settings.crash_memory, now);
  if (IsFinal(job.status) || has_lasted ||
      !state->crashes.runs.insert(key.second).second) {
    return false;
  }
  const bool is_certain = suspicion != Suspicion::kBesideTrial &&
                          run != nullptr && this->WasSeenLately(*run, now);
  if (!is_certain) {
    state->crashes.uncertain_runs.insert(key.second);
  }
  state->crashes.open_starts.erase(key.second);
  this->suspects.insert(task);
  this->MarkCrashesUnsaved(task, state);
  const int count = this->CountCrashes(job, task);
  this->RecordDecision("crash_counted", task, key.second,
                       run == nullptr ? WorkerName() : run->worker,
                       std::to_string(count) + " crashes");
  // The members of a gang run on several workers, so it has no trials.
  const int certain =
      count - static_cast<int>(state->crashes.uncertain_runs.size());
  const bool is_proof = suspicion == Suspicion::kAloneOnTrial &&
                        !this->SpecOf(job, task).is_gang &&
                        certain >= this->settings.crashes_before_failure;
  if (is_proof || count >= this->settings.uncertain_crashes_before_failure) {
    this->RecordDecision("task_given_up", task, key.second,
                         run == nullptr ? WorkerName() : run->worker,
                         std::to_string(count) + " workers crashed under it");
    this->CloseJob(&job, JobStatus::kFailed, now);
  }
  return true;
}

int PoolScheduler::CountCrashes(const JobState& job,
                                const TaskRef& task) const {
  const StepState& step = job.occurrences.at(task.occurrence).steps[task.step];
  if (!this->SpecOf(job, task).is_gang) {
    return static_cast<int>(step.tasks.At(task.index).crashes.runs.size());
  }
  // Members of a gang share run numbers, so a run of the gang counts once.
  std::set<std::int64_t> runs;
  for (const std::pair<const int, TaskState>& member : step.tasks.states()) {
    runs.insert(member.second.crashes.runs.begin(),
                member.second.crashes.runs.end());
  }
  return static_cast<int>(runs.size());
}

void PoolScheduler::ReviewJointLoss() {
  const WorkerListing last = this->crashes.back().worker;
  const std::function<bool(const WorkerListing&)> is_in_rack =
      [&last](const WorkerListing& worker) {
        return !last.rack.empty() && worker.rack == last.rack;
      };
  const std::function<bool(const WorkerListing&)> is_in_zone =
      [&last](const WorkerListing& worker) {
        return !last.zone.empty() && worker.zone == last.zone;
      };
  for (const std::function<bool(const WorkerListing&)>& is_there :
       {is_in_rack, is_in_zone}) {
    if (!this->IsJointLoss(is_there)) {
      continue;
    }
    for (Crash& crash : this->crashes) {
      if (is_there(crash.worker)) {
        this->DisregardCrash(&crash);
      }
    }
  }
}

bool PoolScheduler::IsJointLoss(
    const std::function<bool(const WorkerListing&)>& is_there) const {
  std::set<WorkerName> lost;
  for (const Crash& crash : this->crashes) {
    if (is_there(crash.worker)) {
      lost.insert(crash.worker.name);
    }
  }
  if (static_cast<int>(lost.size()) < this->settings.min_joint_loss) {
    return false;
  }
  const std::ptrdiff_t all = std::count_if(
      this->workers.begin(), this->workers.end(),
      [&is_there](const std::pair<const WorkerName, WorkerState>& entry) {
        return is_there(entry.second.listing);
      });
  return static_cast<double>(lost.size()) >=
         this->settings.min_joint_loss_share * static_cast<double>(all);
}

void PoolScheduler::DisregardCrash(Crash* crash) {
  for (const RunKey& key : std::exchange(crash->counted, {})) {
    const TaskState* const found = this->FindTask(key.first);
    if (found == nullptr || found->is_done || found->was_in_joint_loss ||
        IsFinal(this->jobs.at(key.first.job).status)) {
      continue;
    }
    TaskState* const state = this->OpenTask(key.first);
    state->was_in_joint_loss = true;
    state->crashes.runs.erase(key.second);
    state->crashes.uncertain_runs.erase(key.second);
    this->MarkCrashesUnsaved(key.first, state);
    this->RecordDecision("crash_disregarded", key.first, key.second,
                         crash->worker.name,
                         "all workers of the rack or zone were lost");
  }
}

void PoolScheduler::MarkCrashesUnsaved(const TaskRef& task, TaskState* state) {
  JobState& job = this->jobs.at(task.job);
  this->MarkUnsaved(&job);
  state->crash_revision = job.revision;
  this->has_unsaved_crash = true;
}

void PoolScheduler::CloseStart(const TaskRef& task, std::int64_t run) {
  const TaskState* const found = this->FindTask(task);
  if (found == nullptr || !found->crashes.open_starts.contains(run)) {
    return;
  }
  TaskState* const state = this->OpenTask(task);
  state->crashes.open_starts.erase(run);
  if (!IsFinal(this->jobs.at(task.job).status)) {
    this->MarkCrashesUnsaved(task, state);
  }
}

void PoolScheduler::SettleOpenStarts(MonotonicTime now) {
  const std::set<TaskRef> tasks = this->suspects;
  for (const TaskRef& task : tasks) {
    const TaskState* const state = this->FindTask(task);
    if (state == nullptr || state->is_done ||
        IsFinal(this->jobs.at(task.job).status)) {
      continue;
    }
    const std::map<std::int64_t, OpenStart> starts = state->crashes.open_starts;
    const std::int64_t last_run = state->last_run;
    for (const std::pair<const std::int64_t, OpenStart>& start : starts) {
      // Later runs have not been sent yet.
      if (start.first <= last_run &&
          this->FindRun(task, start.first) == nullptr) {
        this->SettleOpenStart({task, start.first}, start.second, now);
      }
    }
  }
}

void PoolScheduler::SettleOpenStart(const RunKey& run,
                                    const OpenStart& start,
                                    MonotonicTime now) {
  if (this->FindTask(run.first) == nullptr) {
    // An earlier start has closed the job.
    return;
  }
  if (start.incarnation == 0) {
    if (run.second >= this->first_run) {
      this->CloseStart(run.first, run.second);
    } else if (!this->IsRecovering(now)) {
      this->CountCrash(run, Suspicion::kSuspected, now);
    }
    return;
  }
  const std::map<WorkerName, WorkerState>::const_iterator found =
      this->workers.find(start.worker);
  if (found == this->workers.end()) {
    return;
  }
  const WorkerState& worker = found->second;
  const bool is_later_process =
      worker.incarnation != 0 && worker.incarnation != start.incarnation;
  if (worker.is_gone || is_later_process) {
    this->CountCrash(run, Suspicion::kSuspected, now);
  } else if (worker.has_reported && worker.missed_reports == 0) {
    this->RecordDecision("start_not_found", run.first, run.second, start.worker,
                         "its worker has not crashed");
    this->CloseStart(run.first, run.second);
  }
}

bool PoolScheduler::IsStartStored(JobState* job,
                                  const TaskRef& task,
                                  std::int64_t run,
                                  const OpenStart& start) {
  if (this->FindTask(task)->crashes.runs.empty()) {
    return true;
  }
  TaskState* const state = this->OpenTask(task);
  const std::map<std::int64_t, OpenStart>::const_iterator found =
      state->crashes.open_starts.find(run);
  if (found == state->crashes.open_starts.end() || found->second != start) {
    state->crashes.open_starts[run] = start;
    this->MarkCrashesUnsaved(task, state);
  }
  // Most tasks with one crash were merely beside the cause, so they do not wait
  // for the store.
  return static_cast<int>(state->crashes.runs.size()) <
             this->settings.crashes_before_trial ||
         job->saved_revision >= state->crash_revision;
}

bool PoolScheduler::NeedsTrial(const TaskRef& task) const {
  const TaskState* const state = this->FindTask(task);
  return static_cast<int>(state->crashes.runs.size()) >=
             this->settings.crashes_before_trial &&
         !this->SpecOf(this->jobs.at(task.job), task).is_gang;
}

Milliseconds PoolScheduler::TrialDuration(const TaskRef& task) const {
  const TaskState* const state = this->FindTask(task);
  return static_cast<int>(state->crashes.runs.size()) >
                 this->settings.crashes_before_trial
             ? this->settings.crash_memory
             : this->settings.trial_duration;
}

void PoolScheduler::ReviewSuspects(MonotonicTime now) {
  if (this->suspects.empty() && !this->has_suspect_marks) {
    return;
  }
  this->trials = 0;
  this->has_suspect_marks = !this->suspects.empty();
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    entry.second.trial.reset();
    entry.second.suspect_runs = 0;
  }
  std::erase_if(this->suspects, [this, now](const TaskRef& task) {
    const TaskState* const found = this->FindTask(task);
    if (found == nullptr || found->is_done ||
        IsFinal(this->jobs.at(task.job).status)) {
      return true;
    }
    TaskState* const state = this->OpenTask(task);
    const bool is_cleared = std::any_of(
        state->runs.begin(), state->runs.end(),
        [this, now](const RunRecord& run) {
          return this->HasLasted(run, this->settings.crash_memory, now);
        });
    if (is_cleared) {
      this->RecordDecision("crashes_cleared", task, state->last_run,
                           state->runs.front().worker, "the run has lasted");
      state->crashes = CrashRecord();
      this->MarkCrashesUnsaved(task, state);
    }
    for (const RunRecord& run : state->runs) {
      WorkerState& worker = this->workers.at(run.worker);
      ++worker.suspect_runs;
      if (this->NeedsTrial(task) &&
          !this->HasLasted(run, this->TrialDuration(task), now)) {
        worker.trial = task;
        this->trials += worker.missed_reports == 0;
      }
    }
    return state->crashes.empty();
  });
}

void PoolScheduler::PlaceTrials(const std::vector<Candidate>& candidates,
                                MonotonicTime now) {
  const int limit =
      std::max(1, static_cast<int>(this->settings.max_trial_share *
                                   static_cast<double>(this->workers.size())));
  for (const Candidate& candidate : candidates) {
    if (this->suspects.empty()) {
      return;
    }
    const StepSpec& step = candidate.job->job.spec.steps[candidate.step];
    const TaskRef first{candidate.job->job.id, candidate.occurrence,
                        candidate.step, 0};
    for (std::set<TaskRef>::const_iterator task =
             this->suspects.lower_bound(first);
         task != this->suspects.end() && task->job == first.job &&
         task->occurrence == first.occurrence && task->step == first.step;
         ++task) {
      if (this->trials >= limit) {
        return;
      }
      if (this->NeedsTrial(*task) &&
          this->IsPlaceable(*this->FindTask(*task), step)) {
        this->PlaceTrial(candidate.job, *task, now);
      }
    }
  }
}

void PoolScheduler::PlaceTrial(JobState* job,
                               const TaskRef& task,
                               MonotonicTime now) {
  const StepSpec& step = this->SpecOf(*job, task);
  if (!this->HasTickets(job, task, now)) {
    return;
  }
  if (!this->HasAllotment(job->job.team, step.request)) {
    this->AddDemand(job->job.team, step.request);
    return;
  }
  const PlacedTask placed = this->DescribeTask(*job, task);
  const TaskState* const state = this->FindTask(task);
  const std::int64_t number = std::max(state->last_run + 1, this->first_run);
  const std::map<std::int64_t, OpenStart>::const_iterator stored =
      state->crashes.open_starts.find(number);
  WorkerState* best = nullptr;
  std::tuple<Milliseconds, bool, std::size_t> best_cost;
  for (WorkerState* const worker : this->usable_workers) {
    if (worker->trial || !placed.reserved.FitsIn(worker->listing.capacity) ||
        !IsAllowedOn(*worker, placed)) {
      continue;
    }
    const bool is_stored = stored != state->crashes.open_starts.end() &&
                           stored->second.worker == worker->listing.name;
    // Of equal workers, the one for which the start is stored, then the one
    // that would lose the fewest runs in a crash.
    const std::tuple<Milliseconds, bool, std::size_t> cost(
        this->TrialDelay(*worker, task, now), !is_stored, worker->runs.size());
    if (best == nullptr || cost < best_cost) {
      best = worker;
      best_cost = cost;
    }
  }
  if (best == nullptr) {
    return;
  }
  best->trial = task;
  ++this->trials;
  const OpenStart start{best->listing.name, best->incarnation};
  // The start is not stored while the trial waits: a later scheduler would take
  // it for one that crashed its worker.
  if (std::get<Milliseconds>(best_cost).count() == 0 &&
      this->IsStartStored(job, task, number, start)) {
    this->RecordDecision("trial_started", task, number, best->listing.name,
                         std::to_string(best->runs.size()) + " other runs");
    this->Start(job, task, best, number, now);
  }
}

Milliseconds PoolScheduler::TrialDelay(const WorkerState& worker,
                                       const TaskRef& task,
                                       MonotonicTime now) const {
  const StepSpec& step = this->SpecOf(this->jobs.at(task.job), task);
  const Milliseconds required_age = this->TrialDuration(task);
  Milliseconds delay =
      now - worker.last_report_at <= this->settings.fresh_trial_report_window
          ? Milliseconds(0)
          : kShortestTrialDelay;
  for (const RunKey& key : worker.runs) {
    const TaskState* const state = this->FindTask(key.first);
    for (const RunRecord& run : state->runs) {
      if (run.number != key.second || this->HasLasted(run, required_age, now)) {
        continue;
      }
      const Milliseconds age = run.confirmed_at
                                   ? std::chrono::duration_cast<Milliseconds>(
                                         now - *run.confirmed_at)
                                   : Milliseconds(0);
      delay = std::max({delay, kShortestTrialDelay, required_age - age});
    }
  }
  if (!ReservedBy(step).FitsIn(worker.listing.capacity - worker.used)) {
    delay += kTrialsUntilRoom * this->settings.trial_duration;
  }
  return delay;
}

}  // namespace daisyroad

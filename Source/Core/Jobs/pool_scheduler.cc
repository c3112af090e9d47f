#include "Core/Jobs/pool_scheduler.h"

#include <algorithm>
#include <iterator>

#include "Core/Common/log_decision.h"
#include "Core/Jobs/objective.h"

namespace daisyroad {
namespace {

const QueuePolicy kDefaultPolicy;
// Stands for the use of a step whose tasks may run any number of times.
constexpr std::int64_t kUnbounded = std::int64_t{1} << 40;

// The product, at most kUnbounded.
std::int64_t Multiply(std::int64_t amount, std::int64_t count) {
  return amount > 0 && count > kUnbounded / amount ? kUnbounded
                                                   : amount * count;
}

// The most that runs of the job use at a time, if an earlier scheduler started
// them; at most kUnbounded.
Resources MaxUse(const JobSpec& spec) {
  const Resources unbounded{kUnbounded, kUnbounded, kUnbounded};
  Resources use;
  for (const StepSpec& step : spec.steps) {
    if (step.allows_copies) {
      return unbounded;
    }
    const std::int64_t tasks =
        std::int64_t{step.task_count} * CountOccurrences(spec);
    use += Resources{Multiply(step.request.cpu_millicores, tasks),
                     Multiply(step.request.memory_mb, tasks),
                     Multiply(step.request.accelerators, tasks)};
    use = Lesser(use, unbounded);
  }
  return use;
}

Resources FindOrNone(const std::map<TeamName, Resources>& table,
                     const TeamName& team) {
  const std::map<TeamName, Resources>::const_iterator found = table.find(team);
  return found == table.end() ? Resources() : found->second;
}

}  // namespace

PoolScheduler::PoolScheduler(const PoolName& pool,
                             const SchedulerSettings& settings,
                             std::int64_t first_run,
                             MonotonicTime unknown_runs_over_at)
    : pool(pool),
      settings(settings),
      planner(settings.overload),
      first_run(first_run),
      unknown_runs_over_at(unknown_runs_over_at) {}

void PoolScheduler::SetPolicies(std::map<QueueName, QueuePolicy> policies) {
  this->policies = std::move(policies);
}

void PoolScheduler::SetZonesOut(std::set<ZoneName> zones) {
  this->zones_out = std::move(zones);
}

void PoolScheduler::SetAllotments(std::map<TeamName, Resources> allotments) {
  this->allotments = std::move(allotments);
}

void PoolScheduler::SetInherited(std::map<TeamName, Resources> inherited) {
  this->inherited = std::move(inherited);
}

void PoolScheduler::HoldStartsUntil(MonotonicTime time) {
  this->no_starts_before = time;
}

void PoolScheduler::SetSole(bool is_sole_leader) {
  if (this->is_sole_leader == is_sole_leader) {
    return;
  }
  this->is_sole_leader = is_sole_leader;
  if (is_sole_leader) {
    for (const JobId& id : this->unconfirmed_jobs) {
      this->jobs.at(id).is_unconfirmed = false;
    }
    this->unconfirmed_jobs.clear();
    for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
      entry.second.has_restarted_unled = false;
    }
  }
}

void PoolScheduler::SetVacating(const std::set<WorkerName>& workers,
                                const std::set<WorkerName>& due) {
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    WorkerState& worker = entry.second;
    const bool was_vacating = worker.is_vacating;
    worker.is_vacating = workers.contains(entry.first);
    worker.is_vacate_planned = due.contains(entry.first);
    worker.needs_report |=
        was_vacating && !worker.is_vacating && worker.runs.empty();
    if (worker.is_vacating && !was_vacating) {
      this->next_review = MonotonicTime();
    }
  }
}

void PoolScheduler::AddJob(AcceptedJob job,
                           const JobProgress& progress,
                           bool may_have_runs,
                           MonotonicTime now) {
  if (this->jobs.contains(job.id)) {
    return;
  }
  const JobId id = job.id;
  JobState& state = this->jobs[id];
  state.job = std::move(job);
  state.status = progress.status;
  state.share_account = this->shares.AccountOf(state.job.team);
  state.may_have_unknown_runs = may_have_runs;
  state.objective = ObjectiveOf(state.job, this->PolicyOf(state));
  this->RecordSize(&state);
  if (may_have_runs) {
    this->found_work[state.job.team] += MaxUse(state.job.spec);
  }
  if (IsFinal(state.status)) {
    return;
  }
  this->open_jobs.emplace(id, &state);
  if (!this->is_sole_leader) {
    state.is_unconfirmed = true;
    this->unconfirmed_jobs.insert(id);
    this->RecordDecision("job_held", TaskRef{id}, 0, WorkerName(),
                         "another scheduler may be the leader");
  }
  this->AdoptProgress(&state, progress, now);
  if (!may_have_runs && state.job.spec.occurrences == 0) {
    this->arrivals.emplace_back(now, state.remaining_work);
  }
  this->RecordDecision("job_known", TaskRef{id}, 0, WorkerName(),
                       may_have_runs ? "found" : "accepted");
}

void PoolScheduler::AdoptProgress(JobState* job,
                                  const JobProgress& progress,
                                  MonotonicTime now) {
  const int count = CountOccurrences(job->job.spec);
  for (const std::pair<const int, int>& range : progress.finished.ranges()) {
    if (range.first < count) {
      job->finished.Add(range.first, std::min(range.second, count - 1));
    }
  }
  job->opened = job->finished;
  if (job->job.spec.occurrences == 0) {
    this->OpenOccurrence(job, 0);
  }
  for (const std::pair<const TaskRef, std::set<std::int64_t>>& entry :
       progress.failures) {
    if (job->finished.Contains(entry.first.occurrence)) {
      continue;
    }
    if (TaskState* const task = this->OpenTask(entry.first)) {
      task->failed_runs = entry.second;
    }
  }
  for (const std::pair<const TaskRef, CrashRecord>& entry : progress.crashes) {
    if (job->finished.Contains(entry.first.occurrence)) {
      continue;
    }
    if (TaskState* const task = this->OpenTask(entry.first)) {
      task->crashes = entry.second;
      if (!entry.second.open_starts.empty()) {
        task->last_run =
            std::max(task->last_run, entry.second.open_starts.rbegin()->first);
      }
      this->suspects.insert(entry.first);
    }
  }
  for (const std::pair<const DoneTasks::StepKey, IndexRanges>& step :
       progress.done.steps()) {
    const TaskRef first{job->job.id, step.first.first, step.first.second, 0};
    if (job->finished.Contains(first.occurrence) ||
        !HasTask(job->job.spec, first)) {
      continue;
    }
    this->OpenOccurrence(job, first.occurrence);
    this->FinishTasks(job, first, step.second, now);
  }
  job->has_started |= progress.done.size() > 0 || !job->finished.empty();
  RefreshRemaining(job);
}

void PoolScheduler::CancelJob(const JobId& job, MonotonicTime now) {
  const std::unordered_map<JobId, JobState>::iterator found =
      this->jobs.find(job);
  if (found != this->jobs.end() && !IsFinal(found->second.status)) {
    this->CloseJob(&found->second, JobStatus::kCancelled, now);
  }
}

void PoolScheduler::ForgetJob(const JobId& job) {
  this->jobs.erase(job);
  this->open_jobs.erase(job);
  this->unconfirmed_jobs.erase(job);
  this->unsaved.erase(job);
  std::erase_if(this->suspects,
                [&job](const TaskRef& task) { return task.job == job; });
}

std::vector<std::pair<JobId, JobProgress>> PoolScheduler::TakeUnsaved(
    std::size_t max_jobs,
    MonotonicTime now) {
  std::vector<std::pair<JobId, JobProgress>> batch;
  if (!this->has_unsaved_final && !this->has_unsaved_crash &&
      now < this->next_save) {
    return batch;
  }
  std::vector<JobId> ids;
  std::copy_if(
      this->unsaved.begin(), this->unsaved.end(), std::back_inserter(ids),
      [this](const JobId& id) { return !this->jobs.at(id).is_being_saved; });
  std::stable_partition(ids.begin(), ids.end(), [this](const JobId& id) {
    return IsFinal(this->jobs.at(id).status);
  });
  if (ids.size() <= max_jobs) {
    this->next_save = now + this->settings.save_interval;
  }
  ids.resize(std::min(ids.size(), max_jobs));
  for (const JobId& id : ids) {
    JobState& state = this->jobs.at(id);
    batch.emplace_back(id, ProgressOf(state));
    state.revision_being_saved = state.revision;
    state.is_being_saved = true;
    this->unsaved.erase(id);
  }
  this->has_unsaved_crash &= !this->unsaved.empty();
  this->has_unsaved_final = std::any_of(
      this->unsaved.begin(), this->unsaved.end(),
      [this](const JobId& id) { return IsFinal(this->jobs.at(id).status); });
  return batch;
}

void PoolScheduler::OnSaved(const std::vector<JobId>& jobs) {
  for (const JobId& id : jobs) {
    const std::unordered_map<JobId, JobState>::iterator found =
        this->jobs.find(id);
    if (found == this->jobs.end()) {
      continue;
    }
    JobState& state = found->second;
    state.is_being_saved = false;
    state.saved_revision = state.revision_being_saved;
    if (state.saved_revision != state.revision) {
      this->unsaved.insert(id);
    }
  }
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    this->AcknowledgeSavedEnds(&entry.second);
  }
}

void PoolScheduler::OnSaveFailed(const std::vector<JobId>& jobs) {
  for (const JobId& id : jobs) {
    const std::unordered_map<JobId, JobState>::iterator found =
        this->jobs.find(id);
    if (found != this->jobs.end()) {
      found->second.is_being_saved = false;
      this->unsaved.insert(id);
      this->has_unsaved_final |= IsFinal(found->second.status);
    }
  }
}

std::optional<JobStatus> PoolScheduler::StatusOf(const JobId& job) const {
  const std::unordered_map<JobId, JobState>::const_iterator found =
      this->jobs.find(job);
  if (found == this->jobs.end()) {
    return std::nullopt;
  }
  const JobState& state = found->second;
  if (IsFinal(state.status) && state.revision != state.saved_revision) {
    return JobStatus::kRunning;
  }
  if (!IsFinal(state.status)) {
    return state.has_started ? JobStatus::kRunning : JobStatus::kQueued;
  }
  return state.status;
}

int PoolScheduler::PendingJobs(const QueueName& queue) const {
  int pending = 0;
  for (const std::pair<const JobId, JobState*>& entry : this->open_jobs) {
    const JobState& state = *entry.second;
    pending += state.job.queue == queue && !state.has_started;
  }
  return pending;
}

bool PoolScheduler::IsRecovering(MonotonicTime now) const {
  // A later scheduler may have found the runs.
  if (!this->is_sole_leader && this->was_recovering) {
    return true;
  }
  if (now >= this->unknown_runs_over_at) {
    return false;
  }
  return !this->are_earlier_workers_known ||
         std::any_of(this->workers.begin(), this->workers.end(),
                     [](const std::pair<const WorkerName, WorkerState>& entry) {
                       return entry.second.AreRunsUnknown();
                     });
}

std::map<TeamName, Resources> PoolScheduler::MaxUsage() const {
  std::map<TeamName, Resources> usage = this->used;
  for (const std::pair<const TeamName, Resources>& team : this->unknown_use) {
    usage[team.first] += team.second;
  }
  return usage;
}

std::vector<std::string> PoolScheduler::TakeDecisions() {
  return std::exchange(this->decisions, {});
}

std::vector<Order> PoolScheduler::TakeOrders(MonotonicTime now, WallTime wall) {
  while (!this->arrivals.empty() &&
         this->arrivals.front().first + 2 * this->settings.demand_window <
             now) {
    this->arrivals.pop_front();
  }
  this->ExpireLeases(now);
  bool is_review_due = false;
  if (now >= this->next_review) {
    this->next_review = now + this->settings.review_interval;
    is_review_due = true;
    this->RepeatStops(now);
  }
  if (now >= this->next_stall_check) {
    this->next_stall_check = now + this->settings.stall_check_interval;
    this->StopStalledRuns(now);
  }
  this->RecordRecovery(now);
  this->ReviewUnknownUse(now);
  this->CollectUsableWorkers(now);
  this->SettleOpenStarts(now);
  this->ReviewSuspects(now);
  if (is_review_due) {
    this->EvictServices(now);
  }
  this->PlaceTasks(now, wall);
  this->AskReports(now);
  this->RemoveUnlistedWorkers(now);
  return std::exchange(this->orders, {});
}

const QueuePolicy& PoolScheduler::PolicyOf(const JobState& job) const {
  const std::map<QueueName, QueuePolicy>::const_iterator found =
      this->policies.find(job.job.queue);
  return found == this->policies.end() ? kDefaultPolicy : found->second;
}

StepState* PoolScheduler::FindStep(const TaskRef& task) {
  const std::unordered_map<JobId, JobState>::iterator job =
      this->jobs.find(task.job);
  if (job == this->jobs.end() || !HasTask(job->second.job.spec, task)) {
    return nullptr;
  }
  const std::map<int, OccurrenceState>::iterator occurrence =
      job->second.occurrences.find(task.occurrence);
  return occurrence == job->second.occurrences.end()
             ? nullptr
             : &occurrence->second.steps[task.step];
}

const TaskState* PoolScheduler::FindTask(const TaskRef& task) const {
  const StepState* const step =
      const_cast<PoolScheduler*>(this)->FindStep(task);
  return step == nullptr ? nullptr : &step->tasks.At(task.index);
}

const StepSpec& PoolScheduler::SpecOf(const JobState& job,
                                      const TaskRef& task) const {
  return job.job.spec.steps[task.step];
}

RunRecord* PoolScheduler::FindRun(const TaskRef& task, std::int64_t run) {
  StepState* const step = this->FindStep(task);
  return step == nullptr ? nullptr : step->tasks.FindRun(task.index, run);
}

RunRecord* PoolScheduler::AddRun(JobState* job,
                                 const TaskRef& task,
                                 std::int64_t number,
                                 const WorkerName& worker,
                                 MonotonicTime now) {
  OccurrenceState* const occurrence =
      this->OpenOccurrence(job, task.occurrence);
  ++occurrence->runs;
  ++job->runs;
  RunRecord record;
  record.number = number;
  record.worker = worker;
  record.ordered_at = now;
  const StepSpec& step = this->SpecOf(*job, task);
  WorkerState& host = this->workers.at(worker);
  host.runs.emplace(task, number);
  host.used += ReservedBy(step);
  if (step.is_service) {
    ++host.service_runs;
    host.service_use += ReservedBy(step);
  } else {
    this->shares.AddUse(job->share_account, ReservedBy(step));
  }
  host.idle_capacity_runs += step.uses_idle_capacity;
  host.latency_target_runs += step.latency_target.count() > 0;
  this->used[job->job.team] += step.request;
  job->has_started = true;
  return occurrence->steps[task.step].tasks.AddRun(task.index, record);
}

void PoolScheduler::RemoveRun(const TaskRef& task,
                              std::int64_t number,
                              PreviousRun how) {
  const RunRecord* const run = this->FindRun(task, number);
  if (run == nullptr) {
    return;
  }
  JobState& job = this->jobs.at(task.job);
  const StepSpec& step = this->SpecOf(job, task);
  WorkerState& host = this->workers.at(run->worker);
  host.runs.erase({task, number});
  host.used -= ReservedBy(step);
  if (step.is_service) {
    --host.service_runs;
    host.service_use -= ReservedBy(step);
  } else {
    this->shares.RemoveUse(job.share_account, ReservedBy(step));
  }
  host.idle_capacity_runs -= step.uses_idle_capacity;
  host.latency_target_runs -= step.latency_target.count() > 0;
  this->used[job.job.team] -= step.request;
  // A worker that is cut off may have crashed; its next report tells.
  if (how != PreviousRun::kLeaseExpired) {
    this->CloseStart(task, number);
  }
  OccurrenceState& occurrence = job.occurrences.at(task.occurrence);
  occurrence.steps[task.step].tasks.RemoveRun(task.index, number, how);
  --occurrence.runs;
  --job.runs;
  CloseOccurrence(&job, task.occurrence);
}

void PoolScheduler::StopRunOf(const TaskRef& task,
                              RunRecord* run,
                              MonotonicTime now) {
  if (run->state == RunState::kStopping) {
    return;
  }
  // While the start order is unanswered it is uncertain whether the run exists:
  // the worker refuses a start order that arrives after the stop order.
  run->state = run->state == RunState::kActive ? RunState::kStopping
                                               : RunState::kStartUncertain;
  run->stop_sent_at = now;
  this->has_pending_stops = true;
  this->orders.emplace_back(StopRun{run->worker, task, run->number});
}

void PoolScheduler::StopAllRuns(JobState* job, MonotonicTime now) {
  for (std::pair<const int, OccurrenceState>& entry : job->occurrences) {
    for (std::size_t s = 0; s < entry.second.steps.size(); ++s) {
      for (std::pair<const int, TaskState>& task :
           entry.second.steps[s].tasks.states()) {
        for (RunRecord& run : task.second.runs) {
          this->StopRunOf(TaskRef{job->job.id, entry.first, static_cast<int>(s),
                                  task.first},
                          &run, now);
        }
      }
    }
  }
}

void PoolScheduler::MarkUnsaved(JobState* job) {
  ++job->revision;
  this->unsaved.insert(job->job.id);
}

void PoolScheduler::OpenDueOccurrences(JobState* job, WallTime wall) {
  const JobSpec& spec = job->job.spec;
  const int due = CountDueOccurrences(spec, wall);
  int next = job->opened.FirstMissing(0);
  if (next >= due) {
    job->has_backlog = false;
    return;
  }
  std::vector<std::int64_t> waiting = CountWaitingFirst(*job);
  const auto may_open = [this, job, &spec, &waiting]() {
    const std::size_t steps = (job->occurrences.size() + 1) * spec.steps.size();
    return job->occurrences.empty() ||
           (steps <= static_cast<std::size_t>(this->settings.max_open_steps) &&
            *std::min_element(waiting.begin(), waiting.end()) <
                this->settings.min_waiting_tasks);
  };
  for (; next < due && may_open(); next = job->opened.FirstMissing(next)) {
    this->OpenOccurrence(job, next);
    std::size_t first = 0;
    for (const StepSpec& step : spec.steps) {
      if (step.after.empty()) {
        waiting[first++] += step.task_count;
      }
    }
  }
  if (next < due && !job->has_backlog) {
    this->RecordDecision("occurrences_wait", TaskRef{job->job.id, next}, 0,
                         WorkerName(),
                         std::to_string(due - next) + " are due, " +
                             std::to_string(job->occurrences.size()) + " open");
  }
  job->has_backlog = next < due;
}

std::vector<std::int64_t> PoolScheduler::CountWaitingFirst(
    const JobState& job) {
  std::vector<std::int64_t> waiting;
  const std::vector<StepSpec>& steps = job.job.spec.steps;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if (!steps[i].after.empty()) {
      continue;
    }
    waiting.push_back(0);
    for (const std::pair<const int, OccurrenceState>& entry : job.occurrences) {
      waiting.back() +=
          steps[i].task_count - entry.second.steps[i].tasks.done_or_running();
    }
  }
  return waiting;
}

OccurrenceState* PoolScheduler::OpenOccurrence(JobState* job, int occurrence) {
  const std::map<int, OccurrenceState>::iterator found =
      job->occurrences.find(occurrence);
  if (found != job->occurrences.end()) {
    return &found->second;
  }
  OccurrenceState& state =
      job->occurrences.emplace(occurrence, NewOccurrence(job->job.spec))
          .first->second;
  if (job->finished.Contains(occurrence)) {
    for (StepState& step : state.steps) {
      step.tasks.Finish(0, step.tasks.size() - 1);
    }
    state.steps_done = static_cast<int>(state.steps.size());
  } else {
    job->opened.Add(occurrence, occurrence);
    RefreshRemaining(job);
  }
  return &state;
}

TaskState* PoolScheduler::OpenTask(const TaskRef& task) {
  const std::unordered_map<JobId, JobState>::iterator job =
      this->jobs.find(task.job);
  if (job == this->jobs.end() || !HasTask(job->second.job.spec, task)) {
    return nullptr;
  }
  return this->OpenOccurrence(&job->second, task.occurrence)
      ->steps[task.step]
      .tasks.Open(task.index);
}

void PoolScheduler::FinishOccurrence(JobState* job,
                                     int occurrence,
                                     MonotonicTime now) {
  job->finished.Add(occurrence, occurrence);
  CloseOccurrence(job, occurrence);
  if (job->finished.size() >= CountOccurrences(job->job.spec)) {
    this->RecordEnd(*job);
    this->CloseJob(job, JobStatus::kCompleted, now);
  }
}

void PoolScheduler::CloseOccurrence(JobState* job, int occurrence) {
  const std::map<int, OccurrenceState>::const_iterator found =
      job->occurrences.find(occurrence);
  if (found != job->occurrences.end() && found->second.runs == 0 &&
      (found->second.IsFinished() || IsFinal(job->status))) {
    job->occurrences.erase(found);
  }
}

void PoolScheduler::FinishTask(JobState* job,
                               const TaskRef& task,
                               MonotonicTime now) {
  StepState* const step = this->FindStep(task);
  const bool is_gang = this->SpecOf(*job, task).is_gang;
  if (!is_gang) {
    for (RunRecord& run : step->tasks.Open(task.index)->runs) {
      this->StopRunOf(task, &run, now);
    }
  }
  // When one member of a gang is done, all its members are.
  IndexRanges indexes;
  indexes.Add(is_gang ? 0 : task.index,
              is_gang ? step->tasks.size() - 1 : task.index);
  this->FinishTasks(job, task, indexes, now);
}

void PoolScheduler::FinishTasks(JobState* job,
                                const TaskRef& first,
                                const IndexRanges& indexes,
                                MonotonicTime now) {
  OccurrenceState& occurrence = job->occurrences.at(first.occurrence);
  TaskTable& tasks = occurrence.steps[first.step].tasks;
  if (tasks.IsFinished()) {
    return;
  }
  for (const std::pair<const int, int>& range : indexes.ranges()) {
    if (range.first < tasks.size()) {
      tasks.Finish(range.first, std::min(range.second, tasks.size() - 1));
    }
  }
  RefreshRemaining(job);
  if (!tasks.IsFinished()) {
    return;
  }
  ++occurrence.steps_done;
  if (occurrence.IsFinished()) {
    this->FinishOccurrence(job, first.occurrence, now);
  }
}

void PoolScheduler::FailTask(JobState* job,
                             const TaskRef& task,
                             std::int64_t run,
                             MonotonicTime now) {
  TaskState* const state = this->OpenTask(task);
  const StepSpec& step = this->SpecOf(*job, task);
  if (step.is_service || !state->failed_runs.insert(run).second) {
    return;
  }
  std::set<std::int64_t> failures = state->failed_runs;
  if (step.is_gang) {
    // Members of a gang share run numbers, so a failed attempt counts once.
    for (const std::pair<const int, TaskState>& member :
         this->FindStep(task)->tasks.states()) {
      failures.insert(member.second.failed_runs.begin(),
                      member.second.failed_runs.end());
    }
  }
  this->MarkUnsaved(job);
  if (static_cast<int>(failures.size()) >= this->PolicyOf(*job).max_attempts) {
    this->CloseJob(job, JobStatus::kFailed, now);
  }
}

void PoolScheduler::CloseJob(JobState* job,
                             JobStatus status,
                             MonotonicTime now) {
  job->status = status;
  this->open_jobs.erase(job->job.id);
  this->MarkUnsaved(job);
  this->has_unsaved_final = true;
  this->StopAllRuns(job, now);
  std::erase_if(job->occurrences,
                [](const std::pair<const int, OccurrenceState>& entry) {
                  return entry.second.runs == 0;
                });
  this->RecordDecision("job_closed", TaskRef{job->job.id}, 0, WorkerName(),
                       ToString(status));
}

void PoolScheduler::RecordRecovery(MonotonicTime now) {
  const bool is_recovering = this->IsRecovering(now);
  if (is_recovering == this->was_recovering) {
    return;
  }
  this->was_recovering = is_recovering;
  const std::ptrdiff_t silent =
      std::count_if(this->workers.begin(), this->workers.end(),
                    [](const std::pair<const WorkerName, WorkerState>& entry) {
                      return entry.second.AreRunsUnknown();
                    });
  this->RecordDecision(is_recovering ? "recovery_begun" : "recovery_over",
                       TaskRef(), 0, WorkerName(),
                       std::to_string(silent) + " workers have not reported");
}

void PoolScheduler::ReviewUnknownUse(MonotonicTime now) {
  this->unknown_use.clear();
  if (!this->IsRecovering(now)) {
    return;
  }
  for (const std::pair<const TeamName, Resources>& team : this->inherited) {
    this->unknown_use[team.first] =
        Remainder(Lesser(team.second, FindOrNone(this->found_work, team.first)),
                  FindOrNone(this->adopted, team.first));
  }
}

void PoolScheduler::RecordStart(const JobState& job,
                                const TaskRef& task,
                                std::int64_t run,
                                const WorkerName& worker) {
  PreviousRun previous = this->FindTask(task)->previous;
  if (previous == PreviousRun::kNone && job.may_have_unknown_runs) {
    previous = PreviousRun::kNotFound;
  }
  LogDecision line("run_started");
  line.Field("pool", this->pool.str())
      .Field("task", task.ToString())
      .Field("run", run)
      .Field("worker", worker.str())
      .Field("reason", job.job.team.str());
  if (previous != PreviousRun::kNone) {
    line.Field("previous", ToString(previous));
  }
  this->decisions.push_back(line.line());
}

void PoolScheduler::RecordDecision(std::string_view decision,
                                   const TaskRef& task,
                                   std::int64_t run,
                                   const WorkerName& worker,
                                   std::string_view reason) {
  LogDecision line(decision);
  line.Field("pool", this->pool.str()).Field("task", task.ToString());
  if (run != 0) {
    line.Field("run", run);
  }
  if (!worker.empty()) {
    line.Field("worker", worker.str());
  }
  this->decisions.push_back(line.Field("reason", reason).line());
}

}  // namespace daisyroad

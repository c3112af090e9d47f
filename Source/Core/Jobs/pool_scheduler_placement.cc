// Selection of the next tasks to run and of their workers.

#include <algorithm>

#include "Core/Jobs/objective.h"
#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {
namespace {

// Placement tiers; candidates of lower tiers are placed first.
constexpr int kServiceTier = 0;   // service tasks, which serve users
constexpr int kFirstJobTier = 1;  // see Standing

// Weights of the placement cost. 1.0 is the cost of an empty worker.
constexpr double kRemoteRackCost = 4.0;
constexpr double kInterferenceCost = 2.0;
constexpr double kRepeatMoveCost = 1.0;
constexpr double kPreviousFailureCost = 8.0;
// Tasks with crashes are kept apart, and where a crash would cost little.
constexpr double kSuspectNeighborCost = 8.0;
constexpr double kCrashLossCost = 2.0;

double FreeFraction(std::int64_t capacity, std::int64_t used) {
  return capacity <= 0 ? 0.0
                       : static_cast<double>(capacity - used) /
                             static_cast<double>(capacity);
}

}  // namespace

void PoolScheduler::PlaceTasks(MonotonicTime now, WallTime wall) {
  this->ReviewDelays(now, wall);
  this->unmet.clear();
  this->unplaceable.Clear();
  this->wanted_labels.clear();
  this->reserved_worker = WorkerName();
  this->waiting_millicores = 0;
  this->shares.BeginPass(this->RoomOfJobs(), now);
  std::vector<Candidate> candidates;
  this->CollectCandidates(now, wall, &candidates);
  OrderCandidates(&candidates);
  const bool may_start = now >= this->no_starts_before;
  if (may_start) {
    this->PlaceTrials(candidates, now);
  }
  this->PlaceInOrder(candidates, may_start, now);
  this->RequestAdvice(now);
}

void PoolScheduler::CollectUsableWorkers(MonotonicTime now) {
  this->usable_workers.clear();
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    if (entry.second.is_vacating || entry.second.listing.is_draining) {
      entry.second.planned_end_at = now;
    }
    entry.second.is_report_fresh =
        now - entry.second.last_report_at <= this->settings.fresh_report_window;
    if (this->IsUsable(entry.second, now)) {
      this->usable_workers.push_back(&entry.second);
    }
  }
}

void PoolScheduler::CollectCandidates(MonotonicTime now,
                                      WallTime wall,
                                      std::vector<Candidate>* candidates) {
  const bool is_recovering = this->IsRecovering(now);
  for (const std::pair<const JobId, JobState*>& open : this->open_jobs) {
    JobState& job = *open.second;
    if (job.is_unconfirmed || (job.may_have_unknown_runs && is_recovering)) {
      continue;
    }
    if (job.job.spec.occurrences > 0) {
      this->OpenDueOccurrences(&job, wall);
    }
    Candidate candidate;
    candidate.job = &job;
    candidate.share_account = job.share_account;
    candidate.remaining_work = job.remaining_work;
    candidate.priority = this->PolicyOf(job).priority;
    candidate.tier =
        kFirstJobTier + static_cast<int>(this->StandingOf(job, wall));
    const int due = CountDueOccurrences(job.job.spec, wall);
    for (const std::pair<const int, OccurrenceState>& entry : job.occurrences) {
      // A report opens its occurrence at any time.
      if (entry.first >= due) {
        break;
      }
      const int steps = static_cast<int>(entry.second.steps.size());
      candidate.occurrence = entry.first;
      for (int s = 0; !entry.second.IsFinished() && s < steps; ++s) {
        if (this->IsStepReady(job, entry.second, s)) {
          candidate.step = s;
          this->CollectStep(candidate, candidates);
        }
      }
    }
  }
}

Standing PoolScheduler::StandingOf(const JobState& job, WallTime wall) const {
  if (!this->settings.overload.delay) {
    return std::chrono::floor<Milliseconds>(wall) +
                       job.remaining_critical_path <=
                   job.objective
               ? Standing::kInTime
               : Standing::kDelayed;
  }
  return this->planner.StandingOf(this->DescribeWait(job, wall),
                                  this->overload.is_short, job.gives_way,
                                  job.is_owed);
}

bool PoolScheduler::IsStepReady(const JobState& job,
                                const OccurrenceState& state,
                                int step) const {
  for (const int before : job.job.spec.steps[step].after) {
    if (!state.steps[before].tasks.IsFinished()) {
      return false;
    }
  }
  return true;
}

void PoolScheduler::CollectStep(const Candidate& candidate,
                                std::vector<Candidate>* candidates) {
  const int placeable = this->CountPlaceableTasks(candidate);
  if (placeable == 0) {
    return;
  }
  candidates->push_back(candidate);
  candidates->back().placeable = placeable;
  const StepSpec& step = candidate.job->job.spec.steps[candidate.step];
  if (!step.required_label.empty()) {
    this->wanted_labels.insert(step.required_label);
  }
  if (step.is_service) {
    candidates->back().tier = kServiceTier;
  }
}

int PoolScheduler::CountPlaceableTasks(const Candidate& candidate) const {
  const StepSpec& spec = candidate.job->job.spec.steps[candidate.step];
  const StepState& state =
      candidate.job->occurrences.at(candidate.occurrence).steps[candidate.step];
  if (spec.is_gang) {
    return state.tasks.done_or_running() == 0 ? spec.task_count : 0;
  }
  return this->CountPlaceableFrom(spec, state, 0);
}

int PoolScheduler::CountPlaceableFrom(const StepSpec& spec,
                                      const StepState& state,
                                      int from) const {
  int placeable = state.tasks.CountIdle(from);
  if (spec.allows_copies) {
    const std::map<int, TaskState>& states = state.tasks.states();
    placeable += static_cast<int>(std::count_if(
        states.lower_bound(from), states.end(),
        [this, &spec](const std::pair<const int, TaskState>& task) {
          return !task.second.runs.empty() &&
                 this->IsPlaceable(task.second, spec);
        }));
  }
  return placeable;
}

PoolScheduler::Placement PoolScheduler::PlaceStep(const Candidate& candidate,
                                                  MonotonicTime now) {
  JobState* const job = candidate.job;
  const StepSpec& step = job->job.spec.steps[candidate.step];
  TaskRef task{job->job.id, candidate.occurrence, candidate.step, 0};
  if (this->unplaceable.AnyWithin(ReservedBy(step))) {
    this->HasTickets(job, task, now);
    return Placement::kNoRoom;
  }
  Placement placement = Placement::kPlaced;
  if (step.is_gang) {
    placement = this->PlaceGang(job, task, now);
  } else {
    const StepState& state =
        job->occurrences.at(candidate.occurrence).steps[candidate.step];
    // The tasks of a step are identical: if one cannot be placed, none can,
    // unless it waits because of its crashes.
    for (task.index = state.tasks.NextNotDone(0);
         task.index < step.task_count &&
         (placement == Placement::kPlaced || placement == Placement::kWaiting);
         task.index = state.tasks.NextNotDone(task.index + 1)) {
      if (this->IsPlaceable(state.tasks.At(task.index), step)) {
        placement = this->PlaceTask(job, task, now);
      }
    }
  }
  if (placement == Placement::kNoRoom && this->reserved_worker.empty() &&
      !this->IsWideGang(step)) {
    task.index = 0;
    this->ReserveWorker(*job, task);
  }
  return placement;
}

bool PoolScheduler::IsPlaceable(const TaskState& task,
                                const StepSpec& step) const {
  if (task.is_done) {
    return false;
  }
  if (task.runs.empty()) {
    return true;
  }
  // A task that allows copies does not wait for a run that may not exist or is
  // on an unreachable worker, unless it may have crashed all these workers.
  const std::size_t suspected = task.crashes.runs.size() + task.runs.size();
  return step.allows_copies &&
         static_cast<int>(suspected) < this->settings.crashes_before_failure &&
         std::all_of(task.runs.begin(), task.runs.end(),
                     [this](const RunRecord& run) {
                       return run.state == RunState::kStartUncertain ||
                              !this->workers.at(run.worker).IsReachable();
                     });
}

bool PoolScheduler::IsUsable(const WorkerState& worker,
                             MonotonicTime now) const {
  // A worker that has restarted knows no fence, so it would also accept orders
  // of a replaced scheduler.
  const bool is_fence_known =
      this->is_sole_leader ||
      (!worker.has_restarted_unled &&
       now - worker.last_report_asked_at <= this->settings.unled_report_window);
  return worker.has_reported && worker.is_listed && worker.is_remembered &&
         worker.IsListingCurrent() && is_fence_known &&
         worker.missed_reports == 0 && !worker.needs_report &&
         !worker.listing.is_draining && !worker.is_vacating &&
         worker.no_starts_before <= now &&
         !this->zones_out.contains(worker.listing.zone);
}

PoolScheduler::PlacedTask PoolScheduler::DescribeTask(
    const JobState& job,
    const TaskRef& task) const {
  const StepSpec& step = this->SpecOf(job, task);
  const StepState& state = job.occurrences.at(task.occurrence).steps[task.step];
  return PlacedTask{task,
                    step,
                    state,
                    state.tasks.At(task.index),
                    ReservedBy(step),
                    this->PolicyOf(job).advice.has_value()};
}

bool PoolScheduler::FitsOn(const WorkerState& worker,
                           const PlacedTask& placed) const {
  return placed.reserved.FitsIn(worker.listing.capacity - worker.used) &&
         !worker.trial && worker.listing.name != this->reserved_worker &&
         IsAllowedOn(worker, placed);
}

bool PoolScheduler::HasLabel(const WorkerListing& worker,
                             const StepSpec& step) {
  return step.required_label.empty() ||
         std::find(worker.labels.begin(), worker.labels.end(),
                   step.required_label) != worker.labels.end();
}

bool PoolScheduler::IsAllowedOn(const WorkerState& worker,
                                const PlacedTask& placed) {
  const StepSpec& step = placed.step;
  // An idle worker may have started again as another kind.
  if (!worker.is_report_fresh &&
      (!placed.state.crashes.runs.empty() || !step.required_label.empty())) {
    return false;
  }
  if (placed.needs_ticket &&
      placed.step_state.advice.FindTicket(worker.listing.name,
                                          worker.incarnation) == nullptr) {
    return false;
  }
  if (!HasLabel(worker.listing, step)) {
    return false;
  }
  if (step.max_per_worker == 0) {
    return true;
  }
  const TaskRef first{placed.task.job, placed.task.occurrence, placed.task.step,
                      0};
  int count = 0;
  for (std::set<std::pair<TaskRef, std::int64_t>>::const_iterator run =
           worker.runs.lower_bound({first, 0});
       run != worker.runs.end() && run->first.job == first.job &&
       run->first.occurrence == first.occurrence &&
       run->first.step == first.step;
       ++run) {
    ++count;
  }
  return count < step.max_per_worker;
}

double PoolScheduler::CostOn(const WorkerState& worker,
                             const PlacedTask& placed) {
  const StepSpec& step = placed.step;
  const Resources& capacity = worker.listing.capacity;
  const double free = std::max(
      FreeFraction(capacity.cpu_millicores, worker.used.cpu_millicores),
      FreeFraction(capacity.memory_mb, worker.used.memory_mb));
  // All tasks are packed: the worker with the least free capacity costs least.
  double cost = free;
  if (!step.data_rack.empty() && step.data_rack != worker.listing.rack.str()) {
    cost += kRemoteRackCost;
  }
  if (step.is_service && worker.is_vacate_planned) {
    cost += kRepeatMoveCost;
  }
  if (step.latency_target.count() > 0) {
    cost += kInterferenceCost * worker.idle_capacity_runs;
  }
  if (step.uses_idle_capacity) {
    cost += kInterferenceCost * worker.latency_target_runs;
  }
  const TaskState& state = placed.state;
  if (state.failed_on == worker.listing.name) {
    cost += kPreviousFailureCost;
  }
  if (!state.crashes.runs.empty()) {
    cost += kCrashLossCost * (1.0 - free);
    cost += kSuspectNeighborCost * worker.suspect_runs;
  }
  return cost;
}

WorkerState* PoolScheduler::ChooseWorker(const JobState& job,
                                         const TaskRef& task,
                                         const RackName& rack) {
  const PlacedTask placed = this->DescribeTask(job, task);
  WorkerState* best = nullptr;
  double best_cost = 0.0;
  for (WorkerState* const worker : this->usable_workers) {
    if (!this->FitsOn(*worker, placed) ||
        (!rack.empty() && worker->listing.rack != rack)) {
      continue;
    }
    const double cost = CostOn(*worker, placed);
    if (best == nullptr || cost < best_cost) {
      best = worker;
      best_cost = cost;
    }
  }
  return best;
}

WorkerState* PoolScheduler::FindWorker(const JobState& job,
                                       const TaskRef& task) {
  WorkerState* const worker = this->ChooseWorker(job, task, RackName());
  if (worker == nullptr) {
    const PlacedTask placed = this->DescribeTask(job, task);
    if (!IsRestricted(placed)) {
      this->unplaceable.Add(placed.reserved);
    }
  }
  return worker;
}

bool PoolScheduler::IsRestricted(const PlacedTask& placed) {
  return placed.needs_ticket || !placed.step.required_label.empty() ||
         placed.step.max_per_worker > 0 || !placed.state.crashes.runs.empty();
}

int PoolScheduler::MembersOn(const StepSpec& step, const Resources& room) {
  const Resources reserved = ReservedBy(step);
  const int most = step.max_per_worker == 0
                       ? step.task_count
                       : std::min(step.max_per_worker, step.task_count);
  if (!reserved.FitsIn(room)) {
    return 0;
  }
  std::int64_t members = most;
  for (const std::int64_t Resources::*const resource :
       {&Resources::cpu_millicores, &Resources::memory_mb,
        &Resources::accelerators}) {
    if (reserved.*resource > 0) {
      members = std::min(members, room.*resource / (reserved.*resource));
    }
  }
  return static_cast<int>(members);
}

bool PoolScheduler::HasRoomForGang(const StepSpec& step) const {
  std::int64_t members = 0;
  for (const WorkerState* const worker : this->usable_workers) {
    members += MembersOn(step, worker->listing.capacity - worker->used);
  }
  return members >= step.task_count;
}

bool PoolScheduler::IsWideGang(const StepSpec& step) const {
  return step.is_gang && this->settings.use_shares &&
         std::none_of(this->usable_workers.begin(), this->usable_workers.end(),
                      [&step](const WorkerState* worker) {
                        return MembersOn(step, worker->listing.capacity) >=
                               step.task_count;
                      });
}

Resources PoolScheduler::LeastRequest(const StepSpec& step) {
  const int tasks = step.is_gang ? step.task_count : 1;
  return Resources{step.request.cpu_millicores * tasks,
                   step.request.memory_mb * tasks,
                   step.request.accelerators * tasks};
}

bool PoolScheduler::HasAllotment(const TeamName& team,
                                 const Resources& request) const {
  const std::map<TeamName, Resources>::const_iterator allotment =
      this->allotments.find(team);
  if (allotment == this->allotments.end()) {
    return true;
  }
  return FitsBeside(request, this->UseOf(team), allotment->second);
}

Resources PoolScheduler::UseOf(const TeamName& team) const {
  Resources use;
  for (const std::map<TeamName, Resources>* const part :
       {&this->used, &this->unknown_use}) {
    const std::map<TeamName, Resources>::const_iterator found =
        part->find(team);
    use += found == part->end() ? Resources() : found->second;
  }
  return use;
}

void PoolScheduler::AddDemand(const TeamName& team,
                              const Resources& request,
                              int tasks) {
  TeamDemand& demand = this->unmet[team];
  demand.requests.Add(request);
  demand.total +=
      Resources{request.cpu_millicores * tasks, request.memory_mb * tasks,
                request.accelerators * tasks};
}

PoolScheduler::Placement PoolScheduler::PlaceTask(JobState* job,
                                                  const TaskRef& task,
                                                  MonotonicTime now) {
  const StepSpec& step = this->SpecOf(*job, task);
  if (!this->MaySendStarts() || !this->MayAddRuns(*job, 1) ||
      !this->HasTickets(job, task, now)) {
    return Placement::kBlocked;
  }
  if (this->NeedsTrial(task)) {
    return Placement::kWaiting;
  }
  if (!this->HasAllotment(job->job.team, step.request)) {
    // An allotment that no worker has room for would be missing in other pools.
    if (this->FindWorker(*job, task) == nullptr) {
      return Placement::kBlocked;
    }
    // The remaining tasks of the step wait for the allotment as well.
    const StepState& state =
        job->occurrences.at(task.occurrence).steps[task.step];
    this->AddDemand(job->job.team, step.request,
                    this->CountPlaceableFrom(step, state, task.index));
    return Placement::kBlocked;
  }
  const std::int64_t number =
      std::max(this->FindTask(task)->last_run + 1, this->first_run);
  WorkerState* const worker = this->FindWorker(*job, task);
  if (worker == nullptr) {
    this->WantAdvice(job, task, now);
    return Placement::kNoRoom;
  }
  const OpenStart start{worker->listing.name, worker->incarnation};
  if (!this->IsStartStored(job, task, number, start)) {
    return Placement::kWaiting;
  }
  this->Start(job, task, worker, number, now);
  return Placement::kPlaced;
}

PoolScheduler::Placement PoolScheduler::PlaceGang(JobState* job,
                                                  TaskRef task,
                                                  MonotonicTime now) {
  const StepSpec& step = this->SpecOf(*job, task);
  std::int64_t number = this->first_run;
  const StepState& state =
      job->occurrences.at(task.occurrence).steps[task.step];
  for (const std::pair<const int, TaskState>& member : state.tasks.states()) {
    number = std::max(number, member.second.last_run + 1);
  }
  if (!this->MaySendStarts() || !this->MayAddRuns(*job, step.task_count) ||
      !this->HasTickets(job, task, now)) {
    return Placement::kBlocked;
  }
  if (!this->HasRoomForGang(step)) {
    return Placement::kNoRoom;
  }
  const Resources request = LeastRequest(step);
  if (!this->HasAllotment(job->job.team, request)) {
    this->AddDemand(job->job.team, request);
    return Placement::kBlocked;
  }
  bool is_stored = true;
  for (task.index = 0; task.index < step.task_count; ++task.index) {
    is_stored &= this->IsStartStored(job, task, number, OpenStart());
  }
  if (!is_stored) {
    return Placement::kWaiting;
  }
  std::set<RackName> racks{RackName()};
  if (step.same_rack) {
    racks.clear();
    for (const std::pair<const WorkerName, WorkerState>& entry :
         this->workers) {
      racks.insert(entry.second.listing.rack);
    }
    // If no single rack has enough room, fall back to any rack. The key sorts
    // after the names of the racks, so this is tried last.
    racks.insert(RackName("\x7f"));
  }
  for (const RackName& rack : racks) {
    const RackName wanted = rack.str() == "\x7f" ? RackName() : rack;
    // A gang is placed completely or not at all: choose workers for all members
    // tentatively and restore the worker state afterwards.
    const std::map<WorkerName, WorkerState> before = this->workers;
    std::vector<std::pair<TaskRef, WorkerName>> chosen;
    for (task.index = 0; task.index < step.task_count; ++task.index) {
      WorkerState* const worker = this->ChooseWorker(*job, task, wanted);
      if (worker == nullptr) {
        break;
      }
      worker->used += ReservedBy(step);
      worker->runs.emplace(task, number);
      chosen.emplace_back(task, worker->listing.name);
    }
    this->workers = before;
    this->CollectUsableWorkers(now);
    if (static_cast<int>(chosen.size()) < step.task_count) {
      continue;
    }
    for (const std::pair<TaskRef, WorkerName>& member : chosen) {
      this->Start(job, member.first, &this->workers.at(member.second), number,
                  now);
    }
    return Placement::kPlaced;
  }
  this->WantAdvice(job, task, now);
  return Placement::kNoRoom;
}

void PoolScheduler::Start(JobState* job,
                          const TaskRef& task,
                          WorkerState* worker,
                          std::int64_t number,
                          MonotonicTime now) {
  this->AddRun(job, task, number, worker->listing.name, now);
  StartRun order;
  order.worker = worker->listing.name;
  order.task = task;
  order.run = number;
  order.payload = job->job.spec.payload;
  order.checkpoint = this->FindTask(task)->checkpoint;
  order.lease_until = this->ExtendLease(worker, now);
  const StepState& step = job->occurrences.at(task.occurrence).steps[task.step];
  if (const std::string* const ticket =
          step.advice.FindTicket(order.worker, worker->incarnation)) {
    order.ticket = *ticket;
  }
  this->orders.emplace_back(std::move(order));
  ++this->unanswered_starts;
  worker->suspect_runs += !this->FindTask(task)->crashes.runs.empty();
  this->RecordStart(*job, task, number, worker->listing.name);
}

void PoolScheduler::ReserveWorker(const JobState& job, const TaskRef& task) {
  // Reserves the worker with the most free capacity that could run the task, so
  // that smaller tasks later in the order do not fill it. Workers that cannot
  // run the task even when empty are not reserved.
  const PlacedTask placed = this->DescribeTask(job, task);
  double most_free = -1.0;
  for (const WorkerState* const worker : this->usable_workers) {
    const Resources& capacity = worker->listing.capacity;
    if (!placed.reserved.FitsIn(capacity) || !IsAllowedOn(*worker, placed)) {
      continue;
    }
    const double free = std::min(
        FreeFraction(capacity.cpu_millicores, worker->used.cpu_millicores),
        FreeFraction(capacity.memory_mb, worker->used.memory_mb));
    if (free > most_free) {
      most_free = free;
      this->reserved_worker = worker->listing.name;
    }
  }
}

}  // namespace daisyroad

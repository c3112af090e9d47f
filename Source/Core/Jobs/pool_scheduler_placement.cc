// Which task runs next, and on which worker.

#include <algorithm>
#include <tuple>

#include "Core/Jobs/objective.h"
#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {
namespace {

// Tiers of candidates; lower ones are placed first.
constexpr int kServiceTier = 0;  // tasks that last, at work for their users
constexpr int kInTimeTier = 1;   // jobs that can still meet their objective
constexpr int kLateTier = 2;

// A pass ends after this many candidates in a row that fit nowhere: the pool
// is full, and the rest are later in the order.
constexpr int kMisfitsPerPass = 24;

// Weights of a placement's cost, in units of a whole worker left unused.
constexpr double kOtherRackCost = 4.0;
constexpr double kDisturbanceCost = 2.0;
constexpr double kMovedAgainCost = 1.0;
constexpr double kFailedThereCost = 8.0;

// An advisor takes at most this many workers in one question.
constexpr std::size_t kWorkersPerAdvice = 100;
// Pause before the advisor is asked again for the same step.
constexpr Milliseconds kAdvicePause{300};
// Tickets are not used in the last moments of their validity.
constexpr Milliseconds kTicketMargin{200};

double FreePart(std::int64_t capacity, std::int64_t used) {
  return capacity <= 0 ? 0.0
                       : static_cast<double>(capacity - used) /
                             static_cast<double>(capacity);
}

}  // namespace

void PoolScheduler::PlaceTasks(MonotonicTime now, WallTime wall) {
  this->unmet.clear();
  this->reserved_worker = WorkerName();
  this->waiting_millicores = 0;
  std::vector<Candidate> candidates;
  this->CollectCandidates(now, wall, &candidates);
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& left, const Candidate& right) {
        return std::tie(left.tier, left.priority, left.job->remaining_work,
                        left.job->job.id, left.occurrence, left.step) <
               std::tie(right.tier, right.priority, right.job->remaining_work,
                        right.job->job.id, right.occurrence, right.step);
      });
  int misfits = now < this->no_starts_before ? kMisfitsPerPass : 0;
  for (const Candidate& candidate : candidates) {
    if (misfits < kMisfitsPerPass) {
      misfits = this->PlaceStep(candidate, now) ? 0 : misfits + 1;
    }
    const StepSpec& step = candidate.job->job.spec.steps[candidate.step];
    this->waiting_millicores +=
        step.request.cpu_millicores * this->PlaceableTasks(candidate);
  }
}

void PoolScheduler::CollectCandidates(MonotonicTime now,
                                      WallTime wall,
                                      std::vector<Candidate>* candidates) {
  const bool is_recovering = this->IsRecovering(now);
  for (const JobId& id : this->open_jobs) {
    JobState& job = this->jobs.at(id);
    if (job.is_unconfirmed || (job.may_have_unknown_runs && is_recovering)) {
      continue;
    }
    if (job.job.spec.occurrences > 0) {
      this->OpenDueOccurrences(&job, wall);
    }
    Candidate candidate;
    candidate.job = &job;
    candidate.priority = this->PolicyOf(job).priority;
    candidate.tier =
        wall + job.remaining_chain <= job.objective ? kInTimeTier : kLateTier;
    for (const std::pair<const int, OccurrenceState>& entry : job.occurrences) {
      const int steps = static_cast<int>(entry.second.steps.size());
      candidate.occurrence = entry.first;
      for (int s = 0; entry.second.steps_done < steps && s < steps; ++s) {
        if (this->IsReady(job, entry.second, s)) {
          candidate.step = s;
          this->CollectStep(candidate, candidates);
        }
      }
    }
  }
}

bool PoolScheduler::IsReady(const JobState& job,
                            const OccurrenceState& state,
                            int step) const {
  for (const int before : job.job.spec.steps[step].after) {
    if (state.steps[before].done <
        static_cast<int>(state.steps[before].tasks.size())) {
      return false;
    }
  }
  return true;
}

void PoolScheduler::CollectStep(const Candidate& candidate,
                                std::vector<Candidate>* candidates) {
  if (this->PlaceableTasks(candidate) == 0) {
    return;
  }
  candidates->push_back(candidate);
  if (candidate.job->job.spec.steps[candidate.step].is_service) {
    candidates->back().tier = kServiceTier;
  }
}

int PoolScheduler::PlaceableTasks(const Candidate& candidate) const {
  const StepSpec& spec = candidate.job->job.spec.steps[candidate.step];
  const StepState& state =
      candidate.job->occurrences.at(candidate.occurrence).steps[candidate.step];
  if (spec.is_gang) {
    const bool is_free =
        state.done == 0 &&
        std::all_of(state.tasks.begin(), state.tasks.end(),
                    [](const TaskState& task) { return task.runs.empty(); });
    return is_free ? spec.task_count : 0;
  }
  return static_cast<int>(std::count_if(state.tasks.begin(), state.tasks.end(),
                                        [this, &spec](const TaskState& task) {
                                          return this->MayPlaceTask(task, spec);
                                        }));
}

bool PoolScheduler::PlaceStep(const Candidate& candidate, MonotonicTime now) {
  JobState* const job = candidate.job;
  const StepSpec& step = job->job.spec.steps[candidate.step];
  TaskRef task{job->job.id, candidate.occurrence, candidate.step, 0};
  Placement placement = Placement::kPlaced;
  if (step.is_gang) {
    placement = this->PlaceGang(job, task, now);
  } else {
    const StepState& state =
        job->occurrences.at(candidate.occurrence).steps[candidate.step];
    // The tasks of a step are alike: where one has no room, none has.
    for (; task.index < step.task_count && placement == Placement::kPlaced;
         ++task.index) {
      if (this->MayPlaceTask(state.tasks[task.index], step)) {
        placement = this->PlaceOne(job, task, now);
      }
    }
  }
  if (placement == Placement::kNoRoom && this->reserved_worker.empty()) {
    this->ReserveWorker(*job, task, now);
  }
  return placement == Placement::kPlaced;
}

bool PoolScheduler::MayPlaceTask(const TaskState& task,
                                 const StepSpec& step) const {
  if (task.is_done) {
    return false;
  }
  if (task.runs.empty()) {
    return true;
  }
  // A run that may never come does not hold up a task that may run twice.
  return step.allows_copies &&
         std::all_of(task.runs.begin(), task.runs.end(),
                     [this](const RunRecord& run) {
                       return run.state == RunState::kUnsure ||
                              !this->workers.at(run.worker).IsReachable();
                     });
}

bool PoolScheduler::IsUsable(const WorkerState& worker,
                             MonotonicTime now) const {
  return worker.is_known && worker.is_listed && worker.is_remembered &&
         worker.missed_reports == 0 && !worker.listing.is_draining &&
         !worker.is_vacating && worker.no_starts_before <= now &&
         !this->zones_out.contains(worker.listing.zone);
}

bool PoolScheduler::FitsOn(const WorkerState& worker,
                           const JobState& job,
                           const TaskRef& task,
                           const StepSpec& step) const {
  return worker.listing.name != this->reserved_worker &&
         ReservedBy(step).FitsIn(worker.listing.capacity - worker.used) &&
         this->IsAllowedOn(worker, job, task, step);
}

bool PoolScheduler::IsAllowedOn(const WorkerState& worker,
                                const JobState& job,
                                const TaskRef& task,
                                const StepSpec& step) const {
  const StepState& state = job.occurrences.at(task.occurrence).steps[task.step];
  if (this->PolicyOf(job).advice &&
      !state.tickets.contains(worker.listing.name)) {
    return false;
  }
  const std::vector<std::string>& labels = worker.listing.labels;
  if (!step.required_label.empty() &&
      std::find(labels.begin(), labels.end(), step.required_label) ==
          labels.end()) {
    return false;
  }
  if (step.max_per_worker == 0) {
    return true;
  }
  const TaskRef first{job.job.id, task.occurrence, task.step, 0};
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
                             const JobState& job,
                             const TaskRef& task,
                             const StepSpec& step) const {
  const Resources& capacity = worker.listing.capacity;
  const double free =
      std::max(FreePart(capacity.cpu_millicores, worker.used.cpu_millicores),
               FreePart(capacity.memory_mb, worker.used.memory_mb));
  // Long-lived tasks are spread, short ones packed.
  double cost = free;
  if (!step.data_rack.empty() && step.data_rack != worker.listing.rack.str()) {
    cost += kOtherRackCost;
  }
  if (step.is_service && worker.is_due) {
    cost += kMovedAgainCost;
  }
  if (step.latency_target.count() > 0) {
    cost += kDisturbanceCost * worker.idle_capacity_runs;
  }
  if (step.uses_idle_capacity) {
    cost += kDisturbanceCost * worker.targeted_runs;
  }
  const TaskState& state =
      job.occurrences.at(task.occurrence).steps[task.step].tasks[task.index];
  if (state.failed_on == worker.listing.name) {
    cost += kFailedThereCost;
  }
  return cost;
}

WorkerState* PoolScheduler::ChooseWorker(const JobState& job,
                                         const TaskRef& task,
                                         const RackName& rack,
                                         MonotonicTime now) {
  const StepSpec& step = this->SpecOf(job, task);
  WorkerState* best = nullptr;
  double best_cost = 0.0;
  for (std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    WorkerState& worker = entry.second;
    if (!this->IsUsable(worker, now) ||
        !this->FitsOn(worker, job, task, step) ||
        (!rack.empty() && worker.listing.rack != rack)) {
      continue;
    }
    const double cost = this->CostOn(worker, job, task, step);
    if (best == nullptr || cost < best_cost) {
      best = &worker;
      best_cost = cost;
    }
  }
  return best;
}

bool PoolScheduler::HasTickets(JobState* job,
                               const TaskRef& task,
                               MonotonicTime now) {
  StepState& step = job->occurrences.at(task.occurrence).steps[task.step];
  if (!this->PolicyOf(*job).advice || now < step.tickets_until) {
    return true;
  }
  if (step.is_advice_pending || now < step.next_advice) {
    return false;
  }
  AskAdvice ask;
  ask.step = TaskRef{task.job, task.occurrence, task.step, 0};
  for (const std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    if (this->IsUsable(entry.second, now) &&
        ask.workers.size() < kWorkersPerAdvice) {
      ask.workers.push_back(entry.first);
    }
  }
  if (!ask.workers.empty()) {
    step.is_advice_pending = true;
    this->orders.emplace_back(std::move(ask));
  }
  return false;
}

void PoolScheduler::OnAdvice(const TaskRef& ref,
                             const std::vector<PlacementTicket>& tickets,
                             MonotonicTime now) {
  if (this->FindTask(ref) == nullptr) {
    return;
  }
  JobState& job = this->jobs.at(ref.job);
  StepState& step = job.occurrences.at(ref.occurrence).steps[ref.step];
  step.is_advice_pending = false;
  step.next_advice = now + kAdvicePause;
  const QueuePolicy& policy = this->PolicyOf(job);
  if (tickets.empty() || !policy.advice) {
    return;
  }
  step.tickets.clear();
  for (const PlacementTicket& ticket : tickets) {
    step.tickets[ticket.worker] = ticket.ticket;
  }
  step.tickets_until = now + policy.advice->valid_for - kTicketMargin;
  this->Note("advice", ref, 0, WorkerName(),
             std::to_string(tickets.size()) + " workers");
}

bool PoolScheduler::HasAllotment(const TeamName& team,
                                 const Resources& request) const {
  const std::map<TeamName, Resources>::const_iterator allotment =
      this->allotments.find(team);
  if (allotment == this->allotments.end()) {
    return true;
  }
  const std::map<TeamName, Resources>::const_iterator use =
      this->used.find(team);
  return (use == this->used.end() ? request : use->second + request)
      .FitsIn(allotment->second);
}

PoolScheduler::Placement PoolScheduler::PlaceOne(JobState* job,
                                                 const TaskRef& task,
                                                 MonotonicTime now) {
  const StepSpec& step = this->SpecOf(*job, task);
  if (!this->HasTickets(job, task, now)) {
    return Placement::kHeldBack;
  }
  if (!this->HasAllotment(job->job.team, step.request)) {
    // The tasks after this one wait for the allotment, too.
    const StepState& state =
        job->occurrences.at(task.occurrence).steps[task.step];
    for (int i = task.index; i < step.task_count; ++i) {
      if (this->MayPlaceTask(state.tasks[i], step)) {
        this->unmet[job->job.team] += step.request;
      }
    }
    return Placement::kHeldBack;
  }
  WorkerState* const worker = this->ChooseWorker(*job, task, RackName(), now);
  if (worker == nullptr) {
    return Placement::kNoRoom;
  }
  this->Start(job, task, worker,
              std::max(this->FindTask(task)->last_run + 1, this->first_run),
              now);
  return Placement::kPlaced;
}

PoolScheduler::Placement PoolScheduler::PlaceGang(JobState* job,
                                                  TaskRef task,
                                                  MonotonicTime now) {
  const StepSpec& step = this->SpecOf(*job, task);
  Resources request;
  std::int64_t number = this->first_run;
  const StepState& state =
      job->occurrences.at(task.occurrence).steps[task.step];
  for (const TaskState& member : state.tasks) {
    request += step.request;
    number = std::max(number, member.last_run + 1);
  }
  if (!this->HasTickets(job, task, now)) {
    return Placement::kHeldBack;
  }
  if (!this->HasAllotment(job->job.team, request)) {
    this->unmet[job->job.team] += request;
    return Placement::kHeldBack;
  }
  std::set<RackName> racks{RackName()};
  if (step.same_rack) {
    racks.clear();
    for (const std::pair<const WorkerName, WorkerState>& entry :
         this->workers) {
      racks.insert(entry.second.listing.rack);
    }
    // Any placement is better than none if no single rack is large enough.
    racks.insert(RackName("\x7f"));
  }
  for (const RackName& rack : racks) {
    const RackName wanted = rack.str() == "\x7f" ? RackName() : rack;
    // Members are placed on a copy of the loads first: all or none.
    const std::map<WorkerName, WorkerState> before = this->workers;
    std::vector<std::pair<TaskRef, WorkerName>> chosen;
    for (task.index = 0; task.index < step.task_count; ++task.index) {
      WorkerState* const worker = this->ChooseWorker(*job, task, wanted, now);
      if (worker == nullptr) {
        break;
      }
      worker->used += ReservedBy(step);
      worker->runs.emplace(task, number);
      chosen.emplace_back(task, worker->listing.name);
    }
    this->workers = before;
    if (static_cast<int>(chosen.size()) < step.task_count) {
      continue;
    }
    for (const std::pair<TaskRef, WorkerName>& member : chosen) {
      this->Start(job, member.first, &this->workers.at(member.second), number,
                  now);
    }
    return Placement::kPlaced;
  }
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
  order.lease_until = this->LeaseFor(worker, now);
  const StepState& step = job->occurrences.at(task.occurrence).steps[task.step];
  const std::map<WorkerName, std::string>::const_iterator ticket =
      step.tickets.find(order.worker);
  if (ticket != step.tickets.end()) {
    order.ticket = ticket->second;
  }
  this->orders.emplace_back(std::move(order));
  this->Note("run_started", task, number, worker->listing.name,
             job->job.team.str());
}

void PoolScheduler::ReserveWorker(const JobState& job,
                                  const TaskRef& task,
                                  MonotonicTime now) {
  // Keeps the emptiest worker that could run the task from filling up with
  // smaller tasks that come later in the order. A worker that may not run it
  // however empty it gets is left to the others.
  const StepSpec& step = this->SpecOf(job, task);
  double most_free = -1.0;
  for (const std::pair<const WorkerName, WorkerState>& entry : this->workers) {
    const WorkerState& worker = entry.second;
    if (!this->IsUsable(worker, now) ||
        !ReservedBy(step).FitsIn(worker.listing.capacity) ||
        !this->IsAllowedOn(worker, job, task, step)) {
      continue;
    }
    const double free = std::min(
        FreePart(worker.listing.capacity.cpu_millicores,
                 worker.used.cpu_millicores),
        FreePart(worker.listing.capacity.memory_mb, worker.used.memory_mb));
    if (free > most_free) {
      most_free = free;
      this->reserved_worker = entry.first;
    }
  }
}

}  // namespace daisyroad

// Choice of the jobs that are delayed while the pool has too little room.

#include <algorithm>

#include "Core/Jobs/objective.h"
#include "Core/Jobs/pool_scheduler.h"

namespace daisyroad {
namespace {

// Number of jobs over which the mean size of a queue's jobs is taken.
constexpr int kMeanOver = 100;

// Part of the capacity that the request needs, of the resource of which it
// needs the largest part.
double ShareOf(const Resources& request, const Resources& capacity) {
  double share = 0.0;
  for (const std::int64_t Resources::*const resource :
       {&Resources::cpu_millicores, &Resources::memory_mb,
        &Resources::accelerators}) {
    if (capacity.*resource > 0) {
      share = std::max(share, static_cast<double>(request.*resource) /
                                  static_cast<double>(capacity.*resource));
    }
  }
  return share;
}

}  // namespace

void PoolScheduler::RecordSize(JobState* job) {
  job->whole_work = WholeWork(job->job.spec);
  if (job->whole_work <= 0.0) {
    return;
  }
  MeanWork& mean = this->mean_work[job->job.queue];
  mean.count = std::min(mean.count + 1, kMeanOver);
  mean.value += (job->whole_work - mean.value) / mean.count;
  job->relative_size = job->whole_work / mean.value;
}

WaitingJob PoolScheduler::DescribeWait(const JobState& job,
                                       WallTime wall) const {
  const JobSpec& spec = job.job.spec;
  WaitingJob waiting;
  const WallMilliseconds begin =
      spec.occurrences > 0
          ? spec.first_due
          : std::chrono::floor<Milliseconds>(job.job.accepted_at);
  const int occurrence =
      std::min(job.finished.FirstMissing(0), CountOccurrences(spec) - 1);
  waiting.time_left = job.objective + DueOffset(spec, occurrence) -
                      std::chrono::floor<Milliseconds>(wall);
  waiting.objective_length = job.objective - begin;
  waiting.critical_path = job.remaining_critical_path;
  return waiting;
}

void PoolScheduler::AddWork(const JobState& job,
                            const Resources& capacity,
                            WaitingJob* waiting) const {
  // Tasks that wait for their team's allotment wait for no room.
  const bool has_allotment = !this->unmet.contains(job.job.team);
  for (const std::pair<const int, OccurrenceState>& entry : job.occurrences) {
    for (std::size_t i = 0; i < entry.second.steps.size(); ++i) {
      const StepSpec& step = job.job.spec.steps[i];
      const StepState& state = entry.second.steps[i];
      if (step.is_service) {
        continue;
      }
      const double work = ShareOf(ReservedBy(step), capacity) *
                          static_cast<double>(step.estimate.count());
      // Running tasks are on average half done.
      const int started = state.tasks.done_or_running();
      waiting->running_work += work * (started - state.tasks.done_count()) / 2;
      if (has_allotment) {
        waiting->waiting_work += work * (step.task_count - started);
      }
    }
  }
  waiting->priority = this->PolicyOf(job).priority;
  waiting->whole_work = job.whole_work;
  waiting->relative_size = job.relative_size;
}

void PoolScheduler::ReviewDelays(MonotonicTime now, WallTime wall) {
  if (!this->settings.overload.delay || now < this->next_delay_review) {
    return;
  }
  this->last_wall = wall;
  this->next_delay_review = now + this->settings.delay_interval;
  std::vector<JobState*> open;
  std::vector<WaitingJob> waiting;
  if (this->waiting_millicores > 0) {
    const Resources capacity = this->RoomOfJobs();
    for (const std::pair<const JobId, JobState*>& entry : this->open_jobs) {
      WaitingJob job = this->DescribeWait(*entry.second, wall);
      this->AddWork(*entry.second, capacity, &job);
      if (job.waiting_work + job.running_work > 0.0) {
        open.push_back(entry.second);
        waiting.push_back(job);
      }
    }
  }
  const DelayPlan plan = this->planner.Plan(waiting);
  for (const JobId& id : this->marked_jobs) {
    const std::map<JobId, JobState*>::iterator found = this->open_jobs.find(id);
    if (found != this->open_jobs.end()) {
      found->second->gives_way = false;
      found->second->is_owed = false;
    }
  }
  this->marked_jobs.clear();
  for (std::size_t i = 0; i < open.size(); ++i) {
    if (plan.is_owed[i]) {
      open[i]->is_owed = true;
      this->marked_jobs.push_back(open[i]->job.id);
    }
    if (plan.gives_way[i]) {
      this->Delay(open[i], waiting[i]);
    }
  }
  if (plan.is_short != this->overload.is_short) {
    this->RecordDecision(plan.is_short ? "overload_begun" : "overload_over",
                         TaskRef(), 0, WorkerName(),
                         std::to_string(plan.delayed) + " of " +
                             std::to_string(open.size()) + " jobs delayed, " +
                             std::to_string(plan.past_use) + " past use");
  }
  if (!plan.is_short) {
    this->planner.ForgetEnds();
  }
  this->overload.is_short = plan.is_short;
  this->overload.delayed = plan.delayed;
  this->overload.past_use = plan.past_use;
}

void PoolScheduler::RecordEnd(const JobState& job) {
  if (this->overload.is_short && job.whole_work > 0.0) {
    const WaitingJob ended = this->DescribeWait(job, this->last_wall);
    this->planner.RecordEnd(
        this->PolicyOf(job).priority, job.relative_size,
        this->planner.StandingOf(ended, false, false, false) !=
            Standing::kPastUse);
  }
}

void PoolScheduler::Delay(JobState* job, const WaitingJob& waiting) {
  job->gives_way = true;
  this->marked_jobs.push_back(job->job.id);
  if (!job->was_delayed) {
    job->was_delayed = true;
    ++this->overload.delayed_total;
    this->RecordDecision("job_delayed", TaskRef{job->job.id}, 0, WorkerName(),
                         "priority " + std::to_string(waiting.priority) + ", " +
                             std::to_string(waiting.time_left.count()) +
                             " ms left");
  }
}

}  // namespace daisyroad

#include "Core/Jobs/objective.h"

#include <algorithm>

#include "Core/Jobs/job_limits.h"

namespace daisyroad {
namespace {

// Length of the critical path through the steps. Only steps for which `is_open`
// returns true add their estimate.
template <typename Predicate>
Milliseconds CriticalPathLength(const JobSpec& spec, Predicate is_open) {
  std::vector<Milliseconds> ends(spec.steps.size(), Milliseconds(0));
  Milliseconds longest{0};
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    for (const int before : spec.steps[i].after) {
      ends[i] = std::max(ends[i], ends[before]);
    }
    if (is_open(i)) {
      ends[i] += spec.steps[i].estimate;
    }
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

const OccurrenceState* FirstIncompleteOccurrence(const JobState& job) {
  for (const std::pair<const int, OccurrenceState>& entry : job.occurrences) {
    if (!entry.second.IsFinished()) {
      return &entry.second;
    }
  }
  return nullptr;
}

double RemainingWork(const JobSpec& spec, const OccurrenceState& open) {
  double work = 0.0;
  for (std::size_t i = 0; i < open.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    if (step.is_service) {
      continue;
    }
    const double tasks = step.task_count - open.steps[i].tasks.done_count();
    work += tasks * static_cast<double>(step.request.cpu_millicores) *
            static_cast<double>(step.estimate.count()) / 1000.0;
  }
  return work;
}

}  // namespace

void RefreshRemaining(JobState* job) {
  job->remaining_critical_path = Milliseconds(0);
  job->remaining_work = 0.0;
  const OccurrenceState* const open = FirstIncompleteOccurrence(*job);
  if (open == nullptr) {
    return;
  }
  job->remaining_critical_path =
      CriticalPathLength(job->job.spec, [open](std::size_t step) {
        return !open->steps[step].tasks.IsFinished();
      });
  job->remaining_work = RemainingWork(job->job.spec, *open);
}

double WholeWork(const JobSpec& spec) {
  return RemainingWork(spec, NewOccurrence(spec));
}

WallMilliseconds ObjectiveOf(const AcceptedJob& job,
                             const QueuePolicy& policy) {
  const Milliseconds chain =
      CriticalPathLength(job.spec, [](std::size_t) { return true; });
  const WallMilliseconds begin =
      job.spec.occurrences > 0
          ? job.spec.first_due
          : std::chrono::floor<Milliseconds>(job.accepted_at);
  const double length =
      std::min(policy.stretch * static_cast<double>(chain.count()),
               static_cast<double>(kLongestInterval.count()));
  return begin + policy.slack + Milliseconds(static_cast<std::int64_t>(length));
}

Resources ReservedBy(const StepSpec& step) {
  Resources reserved = step.request;
  if (step.uses_idle_capacity) {
    reserved.cpu_millicores = 0;
  }
  return reserved;
}

int CountOccurrences(const JobSpec& spec) {
  return std::max(1, spec.occurrences);
}

int CountDueOccurrences(const JobSpec& spec, WallTime wall) {
  if (spec.occurrences == 0) {
    return 1;
  }
  const WallMilliseconds now = std::chrono::floor<Milliseconds>(wall);
  if (now < spec.first_due) {
    return 0;
  }
  if (spec.interval <= Milliseconds(0)) {
    return spec.occurrences;
  }
  return static_cast<int>(
      std::min<std::int64_t>((now - spec.first_due) / spec.interval,
                             spec.occurrences - 1) +
      1);
}

Milliseconds DueOffset(const JobSpec& spec, int occurrence) {
  const bool is_beyond_limit =
      occurrence > 0 && spec.interval > kLongestInterval / occurrence;
  return is_beyond_limit ? kLongestInterval : occurrence * spec.interval;
}

bool HasTask(const JobSpec& spec, const TaskRef& task) {
  return task.occurrence >= 0 && task.occurrence < CountOccurrences(spec) &&
         task.step >= 0 && task.step < static_cast<int>(spec.steps.size()) &&
         task.index >= 0 && task.index < spec.steps[task.step].task_count;
}

OccurrenceState NewOccurrence(const JobSpec& spec) {
  OccurrenceState occurrence;
  for (const StepSpec& step : spec.steps) {
    occurrence.steps.emplace_back(step.task_count);
  }
  return occurrence;
}

JobProgress ProgressOf(const JobState& job) {
  JobProgress progress;
  progress.status = job.status;
  if (IsFinal(job.status)) {
    return progress;
  }
  progress.finished = job.finished;
  for (const std::pair<const int, OccurrenceState>& entry : job.occurrences) {
    if (entry.second.IsFinished()) {
      continue;
    }
    for (std::size_t s = 0; s < entry.second.steps.size(); ++s) {
      const TaskTable& tasks = entry.second.steps[s].tasks;
      const int step = static_cast<int>(s);
      if (!tasks.done().empty()) {
        progress.done.Add(entry.first, step, tasks.done());
      }
      for (const std::pair<const int, TaskState>& task : tasks.states()) {
        const TaskRef ref{job.job.id, entry.first, step, task.first};
        if (task.second.is_done) {
          continue;
        }
        if (!task.second.failed_runs.empty()) {
          progress.failures[ref] = task.second.failed_runs;
        }
        if (!task.second.crashes.empty()) {
          progress.crashes[ref] = task.second.crashes;
        }
      }
    }
  }
  return progress;
}

}  // namespace daisyroad

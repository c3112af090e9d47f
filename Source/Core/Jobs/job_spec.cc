#include "Core/Jobs/job_spec.h"

#include <algorithm>

#include "Core/Jobs/job_limits.h"

namespace daisyroad {

bool IsRunnable(const JobSpec& spec, std::string* reason) {
  if (spec.steps.empty()) {
    *reason = "the job has no steps";
    return false;
  }
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    if (step.task_count <= 0 || step.task_count > kMaxTasksPerStep) {
      *reason = "step " + std::to_string(i) + " has " +
                std::to_string(step.task_count) + " tasks";
      return false;
    }
    for (const int before : step.after) {
      if (before < 0 || before >= static_cast<int>(i)) {
        *reason = "step " + std::to_string(i) + " depends on step " +
                  std::to_string(before);
        return false;
      }
    }
  }
  return true;
}

bool IsWithinLimits(const JobSpec& spec, std::string* reason) {
  if (spec.steps.size() > kMaxSteps) {
    *reason = "the job has " + std::to_string(spec.steps.size()) +
              " steps, at most " + std::to_string(kMaxSteps) + " are allowed";
    return false;
  }
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const Resources& request = spec.steps[i].request;
    if (std::max({request.cpu_millicores, request.memory_mb,
                  request.accelerators}) > kMaxTaskRequest) {
      *reason = "a task of step " + std::to_string(i) +
                " requests more than any worker has";
      return false;
    }
  }
  if (spec.first_due > kLatestDue || spec.interval > kLongestInterval) {
    *reason = "the schedule goes beyond the year 9999";
    return false;
  }
  return true;
}

}  // namespace daisyroad

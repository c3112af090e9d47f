#include "Core/Jobs/job_spec.h"

namespace daisyroad {
namespace {

// Exceeds the number of tasks that any supported fleet runs at once.
constexpr int kMaxTasksPerStep = 10000;

}  // namespace

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

}  // namespace daisyroad

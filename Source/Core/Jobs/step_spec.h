#ifndef SOURCE_CORE_JOBS_STEP_SPEC_H_
#define SOURCE_CORE_JOBS_STEP_SPEC_H_

#include <string>
#include <vector>

#include "Core/Common/time.h"
#include "Core/Jobs/resources.h"

namespace daisyroad {

// One step of a job: identical tasks that may run once the steps in `after` are
// done.
struct StepSpec {
  int task_count = 0;
  Resources request;  // of each task
  // Declared duration of a task; may be far off.
  Milliseconds estimate{0};
  // Indexes of the steps that this one depends on.
  std::vector<int> after;
  bool saves_checkpoints = false;
  // All tasks run at the same time under one run number and end together.
  bool is_gang = false;
  bool same_rack = false;
  // Copies of a task may run in parallel; the first to finish counts.
  bool allows_copies = false;
  // The tasks run until the job is cancelled and are restarted however they
  // end.
  bool is_service = false;
  // The tasks use capacity that others leave idle; their CPU request is not
  // reserved on the worker.
  bool uses_idle_capacity = false;
  std::string required_label;  // empty: any worker
  std::string data_rack;       // empty: no preference
  std::string image;
  int max_per_worker = 0;  // 0: no limit
  // Highest tail latency of a service task; 0: none.
  Milliseconds latency_target{0};
  // Number of tasks of a service step that may be unavailable at once because
  // of planned work; 0: not declared, treated as 1.
  int disruption_budget = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_STEP_SPEC_H_

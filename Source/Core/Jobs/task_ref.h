#ifndef SOURCE_CORE_JOBS_TASK_REF_H_
#define SOURCE_CORE_JOBS_TASK_REF_H_

#include <compare>
#include <string>

#include "Core/Jobs/job_spec.h"

namespace daisyroad {

// Identifies a task of a job.
struct TaskRef {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  // clang-tidy takes the zero of a generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;

  // For logs: "5c0e7a21d94b36f8/0/1/17".
  std::string ToString() const {
    return this->job.str() + "/" + std::to_string(this->occurrence) + "/" +
           std::to_string(this->step) + "/" + std::to_string(this->index);
  }
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_TASK_REF_H_

#ifndef SOURCE_CORE_JOBS_DONE_TASKS_H_
#define SOURCE_CORE_JOBS_DONE_TASKS_H_

#include <cstdint>
#include <map>
#include <utility>

#include "Core/Jobs/index_ranges.h"
#include "Core/Jobs/task_ref.h"

namespace daisyroad {

// The tasks of a job that are done, as ranges of each step.
class DoneTasks {
 public:
  // Identifies a step of the job by its occurrence and its index.
  using StepKey = std::pair<int, int>;

  void insert(const TaskRef& task) {
    this->tasks[{task.occurrence, task.step}].Add(task.index, task.index);
  }
  void Add(int occurrence, int step, const IndexRanges& indexes) {
    this->tasks[{occurrence, step}] = indexes;
  }
  // Adds the tasks from `first` to `last` of a step.
  void Add(int occurrence, int step, int first, int last) {
    this->tasks[{occurrence, step}].Add(first, last);
  }
  bool contains(const TaskRef& task) const {
    const std::map<StepKey, IndexRanges>::const_iterator found =
        this->tasks.find({task.occurrence, task.step});
    return found != this->tasks.end() && found->second.Contains(task.index);
  }
  // Number of tasks.
  std::int64_t size() const {
    std::int64_t count = 0;
    for (const std::pair<const StepKey, IndexRanges>& step : this->tasks) {
      count += step.second.size();
    }
    return count;
  }
  const std::map<StepKey, IndexRanges>& steps() const { return this->tasks; }

  friend bool operator==(const DoneTasks&, const DoneTasks&) = default;

 private:
  std::map<StepKey, IndexRanges> tasks;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_DONE_TASKS_H_

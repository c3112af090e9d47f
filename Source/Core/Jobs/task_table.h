#ifndef SOURCE_CORE_JOBS_TASK_TABLE_H_
#define SOURCE_CORE_JOBS_TASK_TABLE_H_

#include <cstdint>
#include <map>

#include "Core/Jobs/index_ranges.h"
#include "Core/Jobs/previous_run.h"
#include "Core/Jobs/task_state.h"

namespace daisyroad {

// The tasks of one step. Only tasks that have run and are not done, or still
// have runs, take memory, and those that are done as long as there are gaps
// between them.
class TaskTable {
 public:
  explicit TaskTable(int size) : count(size) {}

  int size() const { return this->count; }
  const IndexRanges& done() const { return this->done_tasks; }
  int done_count() const { return static_cast<int>(this->done_tasks.size()); }
  bool IsFinished() const { return this->done_count() == this->count; }
  // Number of tasks that are done or have runs.
  int done_or_running() const { return this->done_count() + this->running; }
  // Number of tasks from `from` on that are neither.
  int CountIdle(int from) const;
  // The first task from `from` on that is not done; size() if there is none.
  int NextNotDone(int from) const {
    return this->done_tasks.FirstMissing(from);
  }

  // The tasks that have a state of their own.
  const std::map<int, TaskState>& states() const { return this->held; }
  std::map<int, TaskState>& states() { return this->held; }
  // The state of the task, shared with others if it has none of its own.
  const TaskState& At(int index) const;
  // The state of the task, which is given one if it has none.
  TaskState* Open(int index);
  RunRecord* FindRun(int index, std::int64_t number);

  RunRecord* AddRun(int index, const RunRecord& run);
  // `how` tells why the run counts as over. The state of a done task goes with
  // its last run.
  void RemoveRun(int index, std::int64_t number, PreviousRun how);
  // Marks the tasks from `first` to `last` as done. States without runs go.
  void Finish(int first, int last);

 private:
  int count = 0;
  int running = 0;  // tasks that are not done and have runs
  IndexRanges done_tasks;
  std::map<int, TaskState> held;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_JOBS_TASK_TABLE_H_

#include "Core/Jobs/task_table.h"

#include <algorithm>
#include <vector>

namespace daisyroad {
namespace {

TaskState MakeDoneState() {
  TaskState state;
  state.is_done = true;
  return state;
}

}  // namespace

int TaskTable::CountIdle(int from) const {
  if (from == 0) {
    return this->count - this->done_or_running();
  }
  int idle =
      this->count - from -
      static_cast<int>(this->done_tasks.CountWithin(from, this->count - 1));
  for (std::map<int, TaskState>::const_iterator state =
           this->held.lower_bound(from);
       state != this->held.end(); ++state) {
    idle -= !state->second.is_done && !state->second.runs.empty();
  }
  return idle;
}

const TaskState& TaskTable::At(int index) const {
  static const TaskState kIdleState;
  static const TaskState kDoneState = MakeDoneState();
  const std::map<int, TaskState>::const_iterator found = this->held.find(index);
  if (found != this->held.end()) {
    return found->second;
  }
  return this->done_tasks.Contains(index) ? kDoneState : kIdleState;
}

TaskState* TaskTable::Open(int index) {
  const std::map<int, TaskState>::iterator found = this->held.find(index);
  if (found != this->held.end()) {
    return &found->second;
  }
  TaskState& state = this->held[index];
  state.is_done = this->done_tasks.Contains(index);
  return &state;
}

RunRecord* TaskTable::FindRun(int index, std::int64_t number) {
  const std::map<int, TaskState>::iterator found = this->held.find(index);
  if (found == this->held.end()) {
    return nullptr;
  }
  std::vector<RunRecord>& runs = found->second.runs;
  const std::vector<RunRecord>::iterator run = std::find_if(
      runs.begin(), runs.end(),
      [number](const RunRecord& record) { return record.number == number; });
  return run == runs.end() ? nullptr : &*run;
}

RunRecord* TaskTable::AddRun(int index, const RunRecord& run) {
  TaskState* const state = this->Open(index);
  this->running += !state->is_done && state->runs.empty();
  state->runs.push_back(run);
  state->last_run = std::max(state->last_run, run.number);
  return &state->runs.back();
}

void TaskTable::RemoveRun(int index, std::int64_t number, PreviousRun how) {
  const std::map<int, TaskState>::iterator found = this->held.find(index);
  if (found == this->held.end()) {
    return;
  }
  TaskState& state = found->second;
  if (std::erase_if(state.runs, [number](const RunRecord& run) {
        return run.number == number;
      }) == 0) {
    return;
  }
  state.previous = how;
  if (!state.runs.empty()) {
    return;
  }
  if (state.is_done) {
    this->held.erase(found);
  } else {
    --this->running;
  }
}

void TaskTable::Finish(int first, int last) {
  std::map<int, TaskState>::iterator entry = this->held.lower_bound(first);
  while (entry != this->held.end() && entry->first <= last) {
    TaskState& state = entry->second;
    this->running -= !state.is_done && !state.runs.empty();
    state.is_done = true;
    entry = state.runs.empty() ? this->held.erase(entry) : std::next(entry);
  }
  this->done_tasks.Add(first, last);
}

}  // namespace daisyroad

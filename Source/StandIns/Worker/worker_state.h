#ifndef SOURCE_STANDINS_WORKER_WORKER_STATE_H_
#define SOURCE_STANDINS_WORKER_WORKER_STATE_H_

#include <json/value.h>

#include <map>
#include <string>
#include <vector>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Platform/worker_messages.h"

namespace daisyroad {

// Tasks of one stand-in worker. The caller supplies the time.
//
// The payload of a task is a JSON object with the members `run_ms` (default
// 10), `echo` (text that the answer returns), `answer_bytes` (length of the
// padding of the answer) and `fail`.
class WorkerState {
 public:
  struct Task {
    TaskId id;
    std::string holder;
    std::string team;
    std::string queue;
    WorkerTaskState state = WorkerTaskState::kRunning;
    Json::Value payload;
    Milliseconds remaining{0};         // run time left at `resumed`
    Milliseconds earlier_progress{0};  // run time done before `resumed`
    MonotonicTime resumed;
    MonotonicTime ended;
    MonotonicTime lease_expiry;
    int slowdown = 1;  // throttled tasks run at 1/slowdown of normal speed
    bool acknowledged = false;
    std::string answer;
  };

  // Record of one start, read by tests through GET /standin/starts.
  struct StartRecord {
    TaskId task;
    std::string team;
    std::string echo;
    WallTime started;
    WallTime ended;        // epoch while running
    bool resumed = false;  // continues from a checkpoint
  };

  WorkerState(int slots, std::string incarnation, MonotonicTime boot);

  StartReply Start(const StartTask& task,
                   bool fails_immediately,
                   MonotonicTime now);
  // Ends tasks whose run time or lease has ended and removes tasks that ended
  // longer than the retention period ago.
  void Advance(MonotonicTime now);
  LeaseReply Renew(const std::string& holder,
                   const std::vector<TaskId>& tasks,
                   Milliseconds lease,
                   WorkerClock renew_before,
                   MonotonicTime now);
  // These three return false if no task with this id is running.
  bool Stop(const TaskId& id, MonotonicTime now);
  bool Checkpoint(const TaskId& id, MonotonicTime now);
  bool Throttle(const TaskId& id, MonotonicTime now);
  void Acknowledge(const TaskId& id);
  void Drain() { this->is_leaving = true; }
  // Discards all tasks and starts a new incarnation.
  void Reboot(const std::string& new_incarnation, MonotonicTime now);

  const Task* Find(const TaskId& id) const;
  std::vector<const Task*> Running() const;
  // Returns the ended tasks of the holder that are not acknowledged.
  std::vector<const Task*> Finished(const std::string& holder) const;
  // Returns the number of ended tasks that are not acknowledged.
  int CountUnacknowledged() const;
  const std::vector<StartRecord>& starts() const { return this->records; }
  WorkerClock Clock(MonotonicTime now) const;
  const std::string& incarnation() const { return this->incarnation_name; }
  int slots() const { return this->slot_count; }
  bool leaving() const { return this->is_leaving; }

 private:
  void End(Task* task, WorkerTaskState state, MonotonicTime now);
  Milliseconds Progress(const Task& task, MonotonicTime now) const;

  int slot_count;
  std::string incarnation_name;
  MonotonicTime boot;
  bool is_leaving = false;
  std::map<TaskId, Task> tasks;
  std::vector<StartRecord> records;
  std::map<TaskId, std::size_t> last_record_index;
};

const char* WorkerTaskStateName(WorkerTaskState state);

}  // namespace daisyroad

#endif  // SOURCE_STANDINS_WORKER_WORKER_STATE_H_

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

// Tasks of one stand-in worker, on a clock given by the caller.
//
// The payload of a task is a JSON object: `run_ms` (default 10), `echo` (text
// that comes back in the answer), `answer_bytes` (padding) and `fail`.
class WorkerState {
 public:
  struct Task {
    TaskId id;
    std::string holder;
    std::string team;
    std::string queue;
    WorkerTaskState state = WorkerTaskState::kRunning;
    Json::Value payload;
    Milliseconds remaining{0};  // run time left when `resumed`
    Milliseconds done_before{0};
    MonotonicTime resumed;
    MonotonicTime ended;
    MonotonicTime lease_until;
    int slowdown = 1;  // throttled tasks run at 1/slowdown of the speed
    bool acknowledged = false;
    std::string answer;
  };

  // One start, for checks from outside: who ran what, where and when.
  struct StartRecord {
    TaskId task;
    std::string team;
    std::string echo;
    WallTime started;
    WallTime ended;        // epoch while running
    bool resumed = false;  // continues from a checkpoint
  };

  WorkerState(int slots, std::string incarnation, MonotonicTime boot);

  StartReply Start(const StartTask& task, bool fail_at_once, MonotonicTime now);
  // Ends tasks whose run time or lease is over and forgets tasks that ended
  // longer than the retention period ago.
  void Advance(MonotonicTime now);
  LeaseReply Renew(const std::string& holder,
                   const std::vector<TaskId>& tasks,
                   Milliseconds lease,
                   WorkerClock renew_before,
                   MonotonicTime now);
  // False if there is no such running task.
  bool Stop(const TaskId& id, MonotonicTime now);
  bool Checkpoint(const TaskId& id, MonotonicTime now);
  bool Throttle(const TaskId& id, MonotonicTime now);
  void Acknowledge(const TaskId& id);
  void Drain() { this->leaving_flag = true; }
  // Loses every task; the worker gets a new incarnation.
  void Reboot(const std::string& new_incarnation, MonotonicTime now);

  const Task* Find(const TaskId& id) const;
  std::vector<const Task*> Running() const;
  // Ended tasks of the holder that it has not acknowledged.
  std::vector<const Task*> Finished(const std::string& holder) const;
  // Number of ended tasks that no holder has acknowledged.
  int Uncollected() const;
  const std::vector<StartRecord>& starts() const { return this->records; }
  WorkerClock Clock(MonotonicTime now) const;
  const std::string& incarnation() const { return this->incarnation_name; }
  int slots() const { return this->slot_count; }
  bool leaving() const { return this->leaving_flag; }

 private:
  void End(Task* task, WorkerTaskState state, MonotonicTime now);
  Milliseconds Progress(const Task& task, MonotonicTime now) const;

  int slot_count;
  std::string incarnation_name;
  MonotonicTime boot;
  bool leaving_flag = false;
  std::map<TaskId, Task> tasks;
  std::vector<StartRecord> records;
  std::map<TaskId, std::size_t> last_record;
};

const char* WorkerTaskStateName(WorkerTaskState state);

}  // namespace daisyroad

#endif  // SOURCE_STANDINS_WORKER_WORKER_STATE_H_

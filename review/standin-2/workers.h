// Stand-ins of the backend servers ("workers") of a deployment.
#ifndef REVIEW_STANDIN_2_WORKERS_H_
#define REVIEW_STANDIN_2_WORKERS_H_

#include <json/value.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "platform.h"
#include "record.h"

namespace review {

// What the tasks of a job do. The workers learn it from the case, as real ones
// learn it from `Spec`.
struct TaskPlan {
  int cpu = 1000;
  int mem = 1024;
  int gpu = 0;
  int work_ms = 1000;  // 0: the tasks last
  bool has_checkpoints = false;
  int gang = 0;              // members of the gang; 0: no gang
  std::string end = "done";  // how a run that has done its work ends
};

struct WorkerPlan {
  std::string id;
  std::string pool;
  std::string zone;
  std::string rack;
  int cpu = 16000;
  int mem = 32768;
  int gpu = 0;
};

// One order to start that a worker carried out.
struct Start {
  double at_s = 0.0;
  std::string worker;
  std::string task;
  std::int64_t run = 0;
  std::string spec;
  std::string checkpoint;
};

// One run that ended by itself or by an order.
struct End {
  double at_s = 0.0;
  std::string worker;
  std::string task;
  std::int64_t run = 0;
  std::string how;
};

class Workers {
 public:
  Workers(Record* record, int stop_ms, int hold_max_ms);
  ~Workers();
  Workers(const Workers&) = delete;
  Workers& operator=(const Workers&) = delete;

  void Begin(Platform* platform, const std::vector<WorkerPlan>& plans);
  // Ends all workers; to be called while the platform exists.
  void Stop();
  void SetPlan(const std::string& job, const TaskPlan& plan);
  Json::Value Machines();

  // The process ends without a word; its address refuses connections.
  void Crash(const std::string& worker);
  // A new process starts under the same id at the same address.
  void Restart(const std::string& worker);
  // Workers that run the task now.
  std::vector<std::string> RunningOn(const std::string& task);
  // Milliseconds that the task has run on this worker; -1 if it does not.
  int RunningFor(const std::string& worker, const std::string& task);
  // Thousandths of a core that runs hold on all workers.
  int CpuInUse();
  std::vector<Start> starts();
  std::vector<End> ends();
  // Ends that the system has taken note of, by `LastSeen`.
  std::vector<End> noted_ends();

 private:
  struct Run {
    std::string task;
    std::int64_t number = 0;
    TaskPlan plan;
    std::string saved;
    std::int64_t resumed_ms = 0;
    Clock::time_point begun_at;
    Clock::time_point works_since;
    bool is_working = false;
    bool is_stopping = false;
    Clock::time_point stops_at;
  };
  struct Worker {
    WorkerPlan plan;
    std::uint16_t port = 0;
    bool is_up = false;
    std::unique_ptr<HttpServer> server;
    Clock::time_point booted_at;
    std::int64_t born = 0;
    std::int64_t fence = 0;
    std::int64_t until_ms = 0;
    std::int64_t next_end = 1;
    std::int64_t seq = 0;
    Clock::time_point next_beat;
    Clock::time_point gone_at;
    bool is_listed = false;
    std::map<std::string, Run> running;
    std::map<std::string, std::int64_t> highest_ended;
    std::deque<Json::Value> ended;
  };

  Response Handle(const std::string& id, const Request& request);
  Response StartRun(Worker* worker, const Json::Value& body);
  Response StopRun(Worker* worker, const Json::Value& body);
  Json::Value Report(Worker* worker);
  Json::Value Answer(const Worker& worker) const;
  std::int64_t ClockOf(const Worker& worker) const;
  void ExtendLease(Worker* worker, const Json::Value& body);
  void EndRun(Worker* worker, const std::string& task, const std::string& how);
  void BreakGang(const std::string& task, std::int64_t number);
  void GatherGangs();
  std::int64_t WorkedMs(const Run& run) const;
  void Boot(Worker* worker);
  void Tick();
  void WriteEntry(Worker* worker);

  Record* record;
  int stop_ms;
  int hold_max_ms;
  Platform* platform = nullptr;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Worker> workers;
  std::map<std::string, TaskPlan> plans;
  std::vector<Start> started;
  std::vector<End> finished;
  std::vector<End> noted;
  std::atomic<bool> stopping = false;
  std::thread ticker;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_WORKERS_H_

// Stand-ins of the platform as its pages describe it: the metadata store, the
// list of machines, the workers and the operator, in one process, and the entry
// instances under review as child processes.

#ifndef REVIEW_STANDIN_3_PLATFORM_H_
#define REVIEW_STANDIN_3_PLATFORM_H_

#include <json/value.h>
#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

std::string WriteJson(const Json::Value& value);
Json::Value ReadJson(const std::string& text);

// What a client has asked for in a step, and how its tasks behave.
struct Step {
  int count = 1;
  int cpu = 1000;
  int mem_mb = 256;
  int duration_ms = 1000;
  bool long_running = false;
  bool gang = false;
  bool checkpoints = false;
  std::string label;
  int may_miss = 0;
  int max_per_server = 0;
  std::string image;
  int target_ms = 0;
  bool fills = false;
  std::vector<int> after;
  // The first `failures` runs of task 0 fail by their own fault after this much
  // work.
  int failures = 0;
  int fails_after_ms = 0;
};

struct Job {
  std::string id;
  std::string tenant;
  std::vector<Step> steps;
};

struct Run {
  std::int64_t number = 0;
  std::string checkpoint;  // as the start carried it
  std::string saved;
  Clock::time_point arrived;
  std::optional<Clock::time_point> begun;  // work, after the gang is complete
  std::optional<Clock::time_point> stop_at;
  int begun_progress_ms = 0;
  int saved_progress_ms = 0;
  // A task that fills: what it may do, and what it has done.
  int percent = 100;
  int next_percent = 100;
  Clock::time_point next_percent_at;
  double worked_ms = 0.0;
};

struct End {
  std::int64_t number = 0;
  std::string task;
  std::int64_t run = 0;
  std::string how;
  std::string saved;
};

struct Worker {
  std::string id;
  std::string machine;
  std::string pool;
  std::string zone;
  std::string kind;
  std::string rack;
  int cpu = 16000;
  int mem_mb = 32768;
  std::uint16_t port = 0;
  std::unique_ptr<Server> server;
  bool is_up = false;
  std::int64_t born = 0;
  Clock::time_point begun;
  std::int64_t fence = 0;
  std::int64_t lease_until = 0;  // on the worker's clock
  std::map<std::string, Run> running;
  std::deque<End> ended;
  std::int64_t next_end = 1;
  std::map<std::string, std::int64_t> last_run;  // highest stopped or ended
  std::int64_t seq = 0;
  Clock::time_point next_check_in;
  // Tails of the tasks that serve here, within the last half second.
  std::deque<std::pair<Clock::time_point, double>> tails;
  Clock::time_point advanced_at;

  std::int64_t ClockMs() const {
    return std::chrono::duration_cast<Ms>(Clock::now() - this->begun).count() +
           1000;
  }
};

struct Machine {
  std::string name;
  std::string pool;
  std::string state = "up";
  std::string zone;
  std::string worker;  // id; empty while there is none
  std::optional<Clock::time_point> back_at;
  std::int64_t wave = 0;
  std::set<std::int64_t> waves_done;
};

class Platform {
 public:
  // `record` is the file that gets what was sent, answered and run.
  Platform(const std::string& record, const std::string& root);
  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  void Record(const std::string& line);

  // The operator.
  void Put(const std::string& key, const std::string& value);

  // Adds a machine with its worker.
  void AddWorker(const std::string& name,
                 const std::string& pool,
                 const std::string& zone,
                 const std::string& kind,
                 const std::string& rack,
                 int cpu,
                 int mem_mb);
  // Ends the worker's process at once; all that runs there is gone.
  void CrashWorker(const std::string& name);
  // Starts it again under its id and address.
  void BootWorker(const std::string& name, const std::string& kind);

  // Starts an entry instance with the settings template of the deploy file.
  bool StartEntry(const std::string& node, const std::string& zone);
  bool AwaitReady(int timeout_ms);
  bool AreEntriesAlive();
  void StopEntries();
  const std::vector<std::string>& fronts() const { return this->front_list; }

  // A client's call at the n-th entry instance.
  Response Send(std::size_t entry,
                const std::string& method,
                const std::string& path,
                const std::string& key,
                const std::string& body);
  // Submits until it is accepted, at most for 10 s. Returns whether it was.
  bool Submit(std::size_t entry,
              const std::string& prefix,
              const std::string& key,
              const Job& job);
  std::string StateOf(std::size_t entry,
                      const std::string& prefix,
                      const std::string& key,
                      const std::string& job);

  // Called under the lock, when a worker has begun a task.
  std::function<void(const Worker&, const std::string& task, const Run&)>
      on_start;
  // The same when a run has ended.
  std::function<void(const Worker&, const End&)> on_end;
  // The same each 10 ms, with the tail of the tasks that serve there.
  std::function<void(const Worker&, double tail_ms, int filling)> on_tail;
  // Called under the lock when the upkeep of a machine begins.
  std::function<void(const Machine&)> on_upkeep;
  // Machines whose worker carries out its next start without an answer.
  std::set<std::string> lost_starts;
  // While now is before this time, answers of the machines' interface are lost.
  Clock::time_point cloud_silent_until;

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Worker> workers;    // by name
  std::map<std::string, Machine> machines;  // by name
  std::map<std::string, Job> jobs;          // by id
  bool is_broken = false;
  std::string verdict;
  void Break(const std::string& why);

  // Figures of a small deployment.
  int hold_max_ms = 6000;
  int stop_ms = 900;
  int gang_ms = 3000;
  int checkpoint_s = 1;
  int restore_ms = 250;
  int upkeep_ms = 2000;
  int heartbeat_ms = 1500;

  // The tail of a task that serves: alone, and what each task that fills beside
  // it adds at full speed.
  double calm_tail_ms = 40.0;
  double harm_ms = 70.0;
  int pace_ms = 100;

  // The policy of the queues; no time to decide: they have no Advice.
  int decide_ms = 0;
  int each_ms = 0;
  int valid_ms = 10000;

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::int64_t revision = 0;
    bool is_removal = false;
    Item item;
  };
  struct Lease {
    Ms duration{0};
    Clock::time_point ends_at;
  };

  std::optional<Response> HandleStore(const Request& request);
  std::optional<Response> HandleWatch(const Request& request);
  Response HandleTransaction(const Json::Value& body);
  std::optional<Response> HandleCloud(const Request& request);
  std::optional<Response> HandleWorker(const std::string& name,
                                       std::int64_t born,
                                       const Request& request);
  std::optional<Response> HandleAdvice(const Request& request);
  Response Start(Worker* worker, const Json::Value& body);
  Response Stop(Worker* worker, const Json::Value& body);
  void Pace(Worker* worker, const Json::Value& body);
  void AdvanceFilling(Worker* worker);

  void Write(const std::string& key,
             const std::string& value,
             std::int64_t lease);
  void Erase(const std::string& key);
  Json::Value RowOf(const std::string& key, const Item& item) const;
  void CheckIn(Worker* worker);
  void Extend(Worker* worker, const Json::Value& body);
  void EndRun(Worker* worker, const std::string& task, const std::string& how);
  void BreakGang(const std::string& task, std::int64_t run);
  void Tick();
  void Advance(Worker* worker);
  void CompleteGangs();
  void Boot(Worker* worker);
  const Step* StepOf(const std::string& task) const;
  int IndexOf(const std::string& task) const;

  std::string root;
  std::string folder;
  std::ofstream record;
  std::mutex record_mutex;
  Clock::time_point origin;
  std::map<std::string, Item> items;
  std::deque<Event> history;
  std::map<std::int64_t, Lease> leases;
  std::int64_t revision = 10;
  std::int64_t next_lease = 1;
  Server store;
  Server cloud;
  Server advice;
  std::mutex advice_mutex;
  std::condition_variable advice_changed;
  std::int64_t advice_calls = 0;    // taken in so far
  std::int64_t advice_answers = 0;  // of them, answered
  bool is_advice_stopping = false;
  // Until when the ticket of a step and a boot of a worker holds.
  std::map<std::string, Clock::time_point> tickets;
  std::vector<std::string> front_list;
  std::vector<std::string> ready_list;
  std::vector<pid_t> entries;
  std::vector<std::string> logs;
  bool is_stopping = false;
  std::thread ticker;
};

}  // namespace review

#endif  // REVIEW_STANDIN_3_PLATFORM_H_

// A small site on loopback addresses: stand-ins of the platform's store, of its
// list of machines and of its workers, which follow the users' PROTOCOL.md, and
// the instances of daisyroad as processes of their own.
#ifndef REVIEW_STANDIN_SITE_H_
#define REVIEW_STANDIN_SITE_H_

#include <json/json.h>
#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http.h"

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

// Writes what is sent, answered and run to record.txt.
class Record {
 public:
  explicit Record(const std::string& file) : out(file) {}
  void Line(const std::string& text);
  std::int64_t Now() const;

 private:
  std::mutex mutex;
  std::ofstream out;
  Clock::time_point begun = Clock::now();
};

class Store {
 public:
  explicit Store(Record* record);
  ~Store();
  std::optional<Reply> Handle(const Request& request);
  void Put(const std::string& key, const Json::Value& value);
  void Remove(const std::string& key);
  // The value of the key, null if there is none.
  Json::Value Get(const std::string& key);
  void Stop();
  // The store goes down when it has next carried out a write and not answered
  // it yet: all channels are reset, and calls get 503 for `duration`.
  void GoDownAfterNextWrite(Ms duration);

 private:
  struct Item {
    std::string value;  // base64
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Lease {
    Ms duration{0};
    Clock::time_point ends_at;
  };
  struct Event {
    std::string key;
    std::int64_t revision = 0;
    bool is_removal = false;
    Item item;
  };
  Json::Value Row(const std::string& key, const Item& item) const;
  void Write(const std::string& key,
             const std::string& value,
             std::int64_t lease);
  void Erase(const std::string& key);
  Reply Range(const Request& request);
  Reply Transaction(const Json::Value& body);
  std::optional<Reply> Watch(const Request& request);
  void ExpireLeases();

  Record* record;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::map<std::int64_t, Lease> leases;
  std::vector<Event> history;
  std::int64_t revision = 10;
  std::int64_t next_lease = 1;
  std::optional<Ms> armed;
  std::optional<Clock::time_point> down_until;
  bool is_stopped = false;
  std::thread expiry;
};

// What the stand-ins know of a job, as their side of its specification.
struct JobFacts {
  std::string team;
  std::int64_t cpu = 0;
  Ms duration{0};                 // 0: it lasts
  std::vector<std::string> ends;  // of the first runs of a task; then "done"
};

class Site;

class Worker {
 public:
  Worker(Site* site,
         const std::string& id,
         const std::string& pool,
         const std::string& zone,
         const std::string& rack,
         std::int64_t cpu);
  ~Worker();

  std::string id();
  std::string pool();
  const std::string& machine_name() const { return this->machine; }
  const std::string& zone_name() const { return this->zone; }
  // The process ends without a word; nothing answers until Boot().
  void Crash();
  void Boot();
  // The machine moves: all ends, and a new worker joins the pool later.
  void Move(const std::string& pool);
  // The next order to start a run is carried out and its channel reset before
  // the answer; the order to start after it gets 503, and nothing is done. The
  // worker counts as grey for `duration` from then on.
  void TurnGreyAtNextStart(Ms duration);
  // Calls that failed while the worker was grey, and all calls in that time.
  std::pair<int, int> GreyCalls();
  bool IsUp();
  bool Runs(const std::string& task);
  bool RunsJob(const std::string& job);
  std::string State();  // as in the list of machines
  // Cpu of the runs of the team.
  std::int64_t UsedBy(const std::string& team);
  std::int64_t Used();
  std::int64_t Capacity() const { return this->capacity; }
  void Tick();
  void Register();
  void Stop();

 private:
  struct Run {
    std::int64_t number = 0;
    Clock::time_point begun;
    std::string job;
    std::string end_as;  // empty: it lasts
    Ms duration{0};
    std::int64_t cpu = 0;
    std::string team;
    std::optional<Clock::time_point> stop_at;
  };
  std::optional<Reply> Handle(const Request& request);
  Reply Start(const Json::Value& body);
  std::optional<Reply> Hold(const Json::Value& body,
                            std::unique_lock<std::mutex>* lock);
  Reply Answer(int status, Json::Value body) const;
  std::int64_t ClockMs() const;
  void End(const std::string& task, const std::string& how);

  Site* site;
  const std::string machine;
  std::string name;
  std::string service;
  const std::string zone;
  const std::string rack;
  const std::int64_t capacity;
  std::mutex mutex;
  std::optional<Clock::time_point> joins_at;  // of a machine that moves
  std::condition_variable changed;
  std::optional<Ms> grey_for;
  std::optional<Clock::time_point> grey_until;
  bool sheds_next = false;
  int grey_calls = 0;
  int grey_failures = 0;
  Clock::time_point registered_at;
  bool is_up = true;
  bool is_stopped = false;
  std::int64_t boots = 0;
  std::int64_t born = 0;
  Clock::time_point born_at;
  std::int64_t fence = 0;
  std::int64_t lease_until = 0;
  std::int64_t seq = 0;
  std::int64_t next_end = 1;
  std::map<std::string, Run> runs;
  std::map<std::string, std::int64_t> over;  // highest run stopped or ended
  std::deque<Json::Value> ends;
  std::unique_ptr<Server> server;
};

struct Instance {
  std::string name;
  std::string zone;
  std::string callers;
  std::string settings;
  pid_t process = 0;
  // The addresses of the store and of the list of machines for this instance.
  std::unique_ptr<Server> store;
  std::unique_ptr<Server> machines;
};

class Site {
 public:
  // `root` is the repository, `folder` a temporary folder.
  Site(const std::string& root, const std::string& folder, Record* record);
  ~Site();

  void AddWorker(const std::string& id,
                 const std::string& pool,
                 const std::string& zone,
                 const std::string& rack,
                 std::int64_t cpu);
  void AddInstance(const std::string& name, const std::string& zone);
  void StartInstance(const std::string& name);
  // Waits until all instances are ready and each pool has a scheduler. False
  // after the timeout.
  bool AwaitReady(const std::vector<std::string>& pools, Ms timeout);
  // Name of the instance that holds the duty; empty if there is none.
  std::string Holder(const std::string& duty);

  Answer Ask(const std::string& instance,
             const std::string& method,
             const std::string& path,
             const std::string& key,
             const std::string& body = "");
  // Sends a job once and returns the status of the answer, 0 if there is none.
  int SubmitOnce(const std::string& instance,
                 const std::string& prefix,
                 const std::string& id,
                 const std::string& key,
                 const Json::Value& body,
                 const JobFacts& facts);
  // Sends a job until it is accepted, or not for 5 s.
  bool Submit(const std::string& instance,
              const std::string& prefix,
              const std::string& id,
              const std::string& key,
              const Json::Value& body,
              const JobFacts& facts);
  // State of the job as a caller sees it; empty if there was no such answer.
  std::string State(const std::string& instance,
                    const std::string& prefix,
                    const std::string& id,
                    const std::string& key);
  std::int64_t UsedBy(const std::string& team);
  // The excuses of the rule on jobs with nothing running: whether two tasks of
  // this size fit on workers that are up, and under half of the capacity of
  // those of the service that are up is in use.
  bool HasRoom(const std::string& pool, std::int64_t cpu);

  Worker* FindWorker(const std::string& id);
  bool RunsJob(const std::string& job);
  JobFacts FactsOf(const std::string& job);

  Store store;
  Record* record;
  // Called under no lock after a worker has begun a run.
  std::function<void(const std::string& task, const Worker& worker)> on_start;
  std::map<std::string, std::unique_ptr<Worker>> workers;  // by machine
  std::map<std::string, std::unique_ptr<Instance>> instances;

 private:
  std::optional<Reply> HandleMachines(const Request& request);
  std::string Settings(const Instance& instance) const;

  std::string root;
  std::string folder;
  std::mutex workers_mutex;
  std::mutex machines_mutex;
  std::mutex jobs_mutex;
  std::map<std::string, JobFacts> jobs;
  std::atomic<bool> is_stopped = false;
  std::thread ticker;
};

std::string Text(const Json::Value& json);
Json::Value Parse(const std::string& text);
// Polls until the condition holds or the time is over.
bool Await(Ms timeout, const std::function<bool()>& condition);
void Sleep(Ms time);
// False if the environment says TROUBLE=0.
bool HasTrouble();
// A step of a job; more fields may be set.
Json::Value Step(int count, std::int64_t cpu, std::int64_t estimate_ms);
Json::Value Job(const std::string& spec, const Json::Value& step);

}  // namespace review

#endif  // REVIEW_STANDIN_SITE_H_

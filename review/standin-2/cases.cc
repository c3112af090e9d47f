// Runs one case: cases NAME ROOT RECORD. Exits with 1 if the rule was broken, 0
// if it held, and 2 if the case could not run. TROUBLE=0 in the environment
// leaves the disruption out.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "platform.h"
#include "record.h"
#include "system.h"
#include "workers.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

constexpr char kJob[] = "5c0e7a21d94b36cf";
constexpr char kOtherJob[] = "00000000000000ae";

struct Case {
  std::string root;
  Record* record = nullptr;
  bool has_trouble = true;
};

void Sleep(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Json::Value Route(const std::string& name,
                  const std::string& service,
                  int max_attempts = 3) {
  Json::Value route;
  route["Name"] = name;
  route["Host"] = "h.example";
  route["Prefix"] = "/" + name + "/";
  route["Kind"] = "unsafe";
  route["TimeoutMs"] = 3000;
  route["TargetDurationMs"] = 600;
  route["Priority"] = 0;
  route["Service"] = service;
  route["MaxAttempts"] = max_attempts;
  route["Stretch"] = 1.6;
  route["Public"] = false;
  return route;
}

Json::Value Service(const std::string& name) {
  Json::Value service;
  service["Name"] = name;
  service["HealthPath"] = "/health";
  service["MaxConns"] = 64;
  service["AdmissionCheck"] = true;
  service["Spare"] = false;
  return service;
}

Json::Value Tenant(const std::string& name, const std::string& key) {
  Json::Value tenant;
  tenant["Name"] = name;
  tenant["ApiKeys"].append(key);
  tenant["Weight"] = 10;
  tenant["MaxCount"]["Cpu"] = 0;
  tenant["MaxCount"]["MemMb"] = 0;
  tenant["MaxCount"]["Gpu"] = 0;
  return tenant;
}

Json::Value Config(int version,
                   const std::vector<Json::Value>& routes,
                   const std::vector<std::string>& services) {
  Json::Value config;
  config["Version"] = version;
  config["Routes"] = Json::arrayValue;
  for (const Json::Value& route : routes) {
    config["Routes"].append(route);
  }
  for (const std::string& service : services) {
    config["Services"].append(Service(service));
  }
  config["Limits"]["MaxHeaderBytes"] = 16384;
  config["Limits"]["MaxBodyBytes"] = 262144;
  config["Tenants"].append(Tenant("school", "key-school"));
  config["Tenants"].append(Tenant("museum", "key-museum"));
  return config;
}

// Workers of one service: two zones, racks of two.
std::vector<WorkerPlan> PlanWorkers(const std::string& pool, int count) {
  std::vector<WorkerPlan> plans;
  for (int i = 0; i < count; ++i) {
    WorkerPlan plan;
    plan.id = "i-" + pool + "-" + std::to_string(i + 1);
    plan.pool = pool;
    plan.zone = i % 2 == 0 ? "zone-a" : "zone-b";
    plan.rack = "r" + std::to_string(i / 4 + 1) + "-" + plan.zone;
    plans.push_back(plan);
  }
  return plans;
}

// The parts of a deployment, started together.
struct Deployment {
  Deployment(const Case& run,
             const Json::Value& config,
             const std::vector<WorkerPlan>& plans,
             int entries)
      : workers(run.record, kStopMs, kHoldMaxMs),
        platform([this]() { return this->workers.Machines(); }),
        system(run.root, run.record) {
    this->platform.Put("op/config", config);
    this->workers.Begin(&this->platform, plans);
    this->system.StartEntries(entries, this->platform.address());
  }
  ~Deployment() { this->workers.Stop(); }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Workers workers;
  Platform platform;
  System system;
};

std::string StateOf(System* system,
                    const std::string& path,
                    const std::string& key) {
  const Response response = system->AskAgain("GET", path, key, "", 10000);
  return response.status == 200 ? ToJson(response.body)["State"].asString()
                                : std::to_string(response.status);
}

int CountEnds(Workers* workers,
              const std::string& job,
              const std::string& how) {
  const std::vector<End> ends = workers->ends();
  return static_cast<int>(
      std::count_if(ends.begin(), ends.end(), [&](const End& end) {
        return end.task.starts_with(job) && (how.empty() || end.how == how);
      }));
}

// Workers crash, one at a time, while a task that lasts is at work there.
int RunCrashes(const Case& run) {
  constexpr int kTasks = 3;
  constexpr int kMayMiss = 1;
  constexpr int kCrashes = 4;
  constexpr int kCrashAfterMs = 2000;
  constexpr int kDownMs = 4500;
  Deployment site(run, Config(7, {Route("book", "reservas")}, {"reservas"}),
                  PlanWorkers("reservas", 8), 3);
  if (!site.system.AwaitReady(15000)) {
    return kNotRun;
  }
  TaskPlan plan;
  plan.work_ms = 0;
  site.workers.SetPlan(kJob, plan);
  const std::string path = std::string("/book/") + kJob;
  if (site.system
          .AskAgain("POST", path, "key-school",
                    R"({"Spec":"s","Steps":[{"Count":3,"Cpu":1000,)"
                    R"("MemMb":1024,"EstimateMs":900,"LongRunning":true,)"
                    R"("MaxPerServer":1,"MayMiss":1}]})",
                    10000)
          .status != 200) {
    return kNotRun;
  }
  const std::string task = std::string(kJob) + ".0.0.0";
  std::string state;
  int crashes = 0;
  const Clock::time_point until = Clock::now() + std::chrono::seconds(45);
  Clock::time_point next_look;
  std::map<std::string, Clock::time_point> down;
  while (Clock::now() < until) {
    for (const std::string& worker : site.workers.RunningOn(task)) {
      if (run.has_trouble && crashes < kCrashes && down.empty() &&
          site.workers.RunningFor(worker, task) >= kCrashAfterMs) {
        site.workers.Crash(worker);
        down[worker] = Clock::now() + std::chrono::milliseconds(kDownMs);
        ++crashes;
      }
    }
    for (auto entry = down.begin(); entry != down.end();) {
      if (Clock::now() >= entry->second) {
        site.workers.Restart(entry->first);
        entry = down.erase(entry);
      } else {
        ++entry;
      }
    }
    if (Clock::now() >= next_look) {
      next_look = Clock::now() + std::chrono::seconds(2);
      state = StateOf(&site.system, path, "key-school");
    }
    Sleep(20);
  }
  // Nobody has cancelled the job, so each run that is stopped at work is ended
  // by the system. While kMayMiss others of its step have been ended so, and
  // have not come back, no further one may be.
  const std::vector<Start> starts = site.workers.starts();
  const std::vector<End> ends = site.workers.ends();
  int broken = 0;
  for (const End& end : ends) {
    int away = 0;
    for (const End& other : ends) {
      const bool is_back =
          std::any_of(starts.begin(), starts.end(), [&](const Start& start) {
            return start.task == other.task && start.at_s > other.at_s &&
                   start.at_s < end.at_s;
          });
      away += other.how == "stopped" && other.task != end.task &&
              other.at_s <= end.at_s && !is_back;
    }
    if (end.how == "stopped" && away >= kMayMiss) {
      ++broken;
      run.record->Line(end.task + " on " + end.worker +
                       " was ended by an order while " + std::to_string(away) +
                       " others of its step were away; MayMiss is 1");
    }
  }
  int running = 0;
  for (int i = 0; i < kTasks; ++i) {
    running +=
        !site.workers.RunningOn(std::string(kJob) + ".0.0." + std::to_string(i))
             .empty();
  }
  run.record->Line("crashes " + std::to_string(crashes) +
                   ", runs that ended 'failed' " +
                   std::to_string(CountEnds(&site.workers, kJob, "failed")) +
                   ", state shown: " + state + ", tasks at work at the end " +
                   std::to_string(running) + " of 3");
  return broken > 0 ? kBroken : kHeld;
}

// A member of a gang with checkpoints is lost with its worker. The members of
// the next run must all carry the same checkpoint.
int RunGang(const Case& run) {
  constexpr int kMembers = 3;
  Deployment site(run, Config(7, {Route("book", "reservas")}, {"reservas"}),
                  PlanWorkers("reservas", 8), 3);
  if (!site.system.AwaitReady(15000)) {
    return kNotRun;
  }
  TaskPlan plan;
  plan.cpu = 10000;
  plan.work_ms = 8000;
  plan.has_checkpoints = true;
  plan.gang = kMembers;
  site.workers.SetPlan(kJob, plan);
  const std::string path = std::string("/book/") + kJob;
  if (site.system
          .AskAgain("POST", path, "key-school",
                    R"({"Spec":"s","Steps":[{"Count":3,"Cpu":10000,)"
                    R"("MemMb":1024,"EstimateMs":8000,"Gang":true,)"
                    R"("Checkpoints":true}]})",
                    10000)
          .status != 200) {
    return kNotRun;
  }
  const std::string lost = std::string(kJob) + ".0.0.1";
  std::string state;
  // Ordinary tasks beside the gang, one on each worker. A worker reports at
  // each of their ends, so its next reports come at other moments.
  TaskPlan beside;
  beside.work_ms = 700;
  site.workers.SetPlan(kOtherJob, beside);
  bool is_beside = false;
  bool has_crashed = false;
  std::string crashed;
  Clock::time_point back_at;
  Clock::time_point next_look;
  const Clock::time_point until = Clock::now() + std::chrono::seconds(45);
  while (Clock::now() < until && state != "completed" && state != "failed") {
    const std::vector<std::string> hosts = site.workers.RunningOn(lost);
    if (!is_beside && !hosts.empty() &&
        site.workers.RunningFor(hosts.front(), lost) >= 800) {
      is_beside = true;
      site.system.AskAgain(
          "POST", std::string("/book/") + kOtherJob, "key-museum",
          R"({"Spec":"o","Steps":[{"Count":8,"Cpu":1000,"MemMb":1024,)"
          R"("EstimateMs":700,"MaxPerServer":1}]})",
          3000);
    }
    if (run.has_trouble && !has_crashed && !hosts.empty() &&
        site.workers.RunningFor(hosts.front(), lost) >= 3250) {
      has_crashed = true;
      crashed = hosts.front();
      site.workers.Crash(crashed);
      back_at = Clock::now() + std::chrono::milliseconds(4500);
    }
    if (!crashed.empty() && Clock::now() >= back_at) {
      site.workers.Restart(crashed);
      crashed.clear();
    }
    if (Clock::now() >= next_look) {
      next_look = Clock::now() + std::chrono::seconds(1);
      state = StateOf(&site.system, path, "key-school");
    }
    Sleep(10);
  }
  std::map<std::int64_t, std::set<std::string>> carried;
  for (const Start& start : site.workers.starts()) {
    if (start.task.starts_with(kJob)) {
      carried[start.run].insert(start.checkpoint);
    }
  }
  bool is_broken = false;
  for (const auto& [number, checkpoints] : carried) {
    std::string line = "run " + std::to_string(number) + " carried";
    for (const std::string& checkpoint : checkpoints) {
      line += " \"" + checkpoint + "\"";
    }
    run.record->Line(line);
    is_broken |= checkpoints.size() > 1;
  }
  run.record->Line("state shown: " + state);
  return is_broken ? kBroken : kHeld;
}

// A consumer hands in one small job that makes the scheduler take more memory
// than a machine has. The platform kills processes over their memory and starts
// them again. An ordinary job must be run all the same.
int RunMemory(const Case& run, const std::string& hostile_body) {
  constexpr double kFinishS = 14.0;
  constexpr double kIdleS = 3.0;
  Deployment site(run, Config(7, {Route("book", "reservas")}, {"reservas"}),
                  PlanWorkers("reservas", 4), 3);
  if (!site.system.AwaitReady(15000)) {
    return kNotRun;
  }
  if (run.has_trouble) {
    site.system.AskAgain("POST", std::string("/book/") + kOtherJob,
                         "key-museum", hostile_body, 10000);
    run.record->Line("its body has " + std::to_string(hostile_body.size()) +
                     " bytes");
  }
  std::atomic<bool> is_over = false;
  std::map<int, int> kills;
  std::thread platform([&]() {
    std::map<int, Clock::time_point> down;
    while (!is_over) {
      for (int i = 0; i < site.system.entry_count(); ++i) {
        if (down.contains(i)) {
          if (Clock::now() >= down.at(i)) {
            site.system.StartAgain(i);
            down.erase(i);
          }
          continue;
        }
        const long memory = site.system.MemoryMb(i);
        const bool has_ended = site.system.HasEnded(i);
        if (!has_ended && memory <= kMemoryMb) {
          continue;
        }
        run.record->Line("entry-" + std::to_string(i + 1) +
                         (has_ended ? " has ended"
                                    : " holds " + std::to_string(memory) +
                                          " MB of 260 and is killed"));
        if (!has_ended) {
          site.system.Kill(i);
        }
        ++kills[i];
        down[i] = Clock::now() + std::chrono::milliseconds(500);
      }
      Sleep(5);
    }
  });
  Sleep(3000);
  const std::string path = std::string("/book/") + kJob;
  const bool is_accepted =
      site.system
          .AskAgain("POST", path, "key-school",
                    R"({"Spec":"ordinary","Steps":[{"Count":1,"Cpu":1000,)"
                    R"("MemMb":1024,"EstimateMs":1000}]})",
                    30000)
          .status == 200;
  const double accepted_at = run.record->Seconds();
  std::string state;
  // At most a quarter of the service's 64 cores may be in use, so that there is
  // room for the job many times over.
  int most_used = 0;
  for (int i = 0; i < 10; ++i) {
    for (int j = 0; j < 60; ++j) {
      most_used = std::max(most_used, site.workers.CpuInUse());
      Sleep(50);
    }
    state = StateOf(&site.system, path, "key-school");
  }
  is_over = true;
  platform.join();
  bool has_run = false;
  for (const Start& start : site.workers.starts()) {
    has_run |= start.spec == "ordinary";
  }
  const double waited = run.record->Seconds() - accepted_at;
  int often = 0;
  for (const auto& [entry, count] : kills) {
    run.record->Line("entry-" + std::to_string(entry + 1) +
                     " was over its memory " + std::to_string(count) +
                     " times");
    often += count >= 3;
  }
  run.record->Line(
      "the ordinary job was accepted: " +
      std::string(is_accepted ? "yes" : "no") + ", " + std::to_string(waited) +
      " s ago, has run: " + (has_run ? "yes" : "no") +
      ", state shown: " + state +
      "; 4 workers are empty; machines over their memory three times "
      "or more: " +
      std::to_string(often) + " of 3");
  if (!is_accepted) {
    return often >= 2 ? kBroken : kNotRun;
  }
  run.record->Line("most in use meanwhile: " + std::to_string(most_used) +
                   " of 64000 thousandths of a core");
  return !has_run && waited >= kFinishS + kIdleS && most_used <= 16000 ? kBroken
                                                                       : kHeld;
}

std::string ManyTasks() {
  std::string body = R"({"Spec":"s","Steps":[)";
  for (int i = 0; i < 150; ++i) {
    body += std::string(i == 0 ? "" : ",") +
            R"({"Count":10000,"Cpu":1000,"MemMb":256,"EstimateMs":1000})";
  }
  return body + "]}";
}

std::string ManyOccurrences() {
  return R"({"Spec":"s","Steps":[{"Count":1,"Cpu":100,"MemMb":16,)"
         R"("EstimateMs":1000}],"Repeats":2000000000,"IntervalMs":60000})";
}

// Two consumers of different tenants and queues choose the same id.
int RunSameId(const Case& run) {
  Deployment site(
      run,
      Config(7, {Route("book", "reservas"), Route("loan", "prestamos")},
             {"reservas", "prestamos"}),
      [] {
        std::vector<WorkerPlan> plans = PlanWorkers("reservas", 3);
        for (const WorkerPlan& plan : PlanWorkers("prestamos", 3)) {
          plans.push_back(plan);
        }
        return plans;
      }(),
      3);
  if (!site.system.AwaitReady(15000)) {
    return kNotRun;
  }
  const std::string second = run.has_trouble ? kJob : kOtherJob;
  TaskPlan plan;
  plan.work_ms = 30000;
  site.workers.SetPlan(kJob, plan);
  plan.work_ms = 2000;
  site.workers.SetPlan(kOtherJob, plan);
  const std::string steps =
      R"("Steps":[{"Count":1,"Cpu":1000,"MemMb":1024,"EstimateMs":2000}]})";
  const std::string school = std::string("/book/") + kJob;
  const std::string museum = "/loan/" + second;
  if (site.system
          .AskAgain("POST", school, "key-school",
                    R"({"Spec":"of the school",)" + steps, 10000)
          .status != 200) {
    return kNotRun;
  }
  Sleep(3000);
  const Response accepted =
      site.system.AskAgain("POST", museum, "key-museum",
                           R"({"Spec":"of the museum",)" + steps, 10000);
  Sleep(10000);
  bool has_run = false;
  for (const Start& start : site.workers.starts()) {
    has_run |= start.spec == "of the museum";
  }
  const std::string seen = StateOf(&site.system, museum, "key-museum");
  site.system.AskAgain("DELETE", museum, "key-museum", "", 10000);
  Sleep(5000);
  const std::string school_state = StateOf(&site.system, school, "key-school");
  run.record->Line(
      "the museum's job was answered " + std::to_string(accepted.status) +
      ", has run: " + (has_run ? "yes" : "no") + ", was shown as " + seen +
      "; the school's job, which the school has not cancelled, is "
      "shown as " +
      school_state);
  const bool is_lost = accepted.status / 100 == 2 && !has_run;
  return is_lost || school_state == "cancelled" ? kBroken : kHeld;
}

// A new version sends a queue to another service while jobs wait.
int RunMovedQueue(const Case& run) {
  constexpr int kJobs = 12;
  std::vector<WorkerPlan> plans = PlanWorkers("reservas", 2);
  for (const WorkerPlan& plan : PlanWorkers("prestamos", 2)) {
    plans.push_back(plan);
  }
  const std::vector<std::string> services{"reservas", "prestamos"};
  Deployment site(run, Config(7, {Route("book", "reservas")}, services), plans,
                  3);
  if (!site.system.AwaitReady(15000)) {
    return kNotRun;
  }
  TaskPlan plan;
  plan.cpu = 16000;
  plan.work_ms = 90000;
  for (int i = 0; i < kJobs; ++i) {
    const std::string job = "00000000000001" + std::to_string(10 + i);
    site.workers.SetPlan(job, plan);
    if (site.system
            .AskAgain("POST", "/book/" + job, "key-school",
                      R"({"Spec":"s","Steps":[{"Count":1,"Cpu":16000,)"
                      R"("MemMb":1024,"EstimateMs":90000}]})",
                      10000)
            .status != 200) {
      return kNotRun;
    }
  }
  Sleep(6000);
  site.system.Ask(0, "GET", "/book/", "key-school", "");
  if (run.has_trouble) {
    run.record->Line("version 9: the queue goes to the service prestamos");
    site.platform.Put("op/config",
                      Config(9, {Route("book", "prestamos")}, services));
  }
  // ConfigApplyMs, visible_ms and 2 s.
  Sleep(8000);
  const std::set<std::string> begun = [&site] {
    std::set<std::string> jobs;
    for (const Start& start : site.workers.starts()) {
      jobs.insert(start.task.substr(0, start.task.find('.')));
    }
    return jobs;
  }();
  const int waiting = kJobs - static_cast<int>(begun.size());
  bool is_broken = false;
  for (int i = 0; i < site.system.entry_count(); ++i) {
    const Response answer =
        site.system.Ask(i, "GET", "/book/", "key-school", "");
    if (answer.status == 200) {
      is_broken |= 2 * ToJson(answer.body)["Pending"].asInt() < waiting;
    }
  }
  run.record->Line(std::to_string(waiting) + " jobs have not begun");
  return is_broken ? kBroken : kHeld;
}

// A new version removes a queue while a job of it runs; MaxAttempts is 1.
int RunAttempts(const Case& run) {
  Deployment site(
      run,
      Config(7, {Route("book", "reservas", 1), Route("other", "reservas")},
             {"reservas"}),
      PlanWorkers("reservas", 3), 3);
  if (!site.system.AwaitReady(15000)) {
    return kNotRun;
  }
  TaskPlan plan;
  plan.work_ms = 8000;
  plan.end = "failed";
  site.workers.SetPlan(kJob, plan);
  if (site.system
          .AskAgain("POST", std::string("/book/") + kJob, "key-school",
                    R"({"Spec":"s","Steps":[{"Count":1,"Cpu":1000,)"
                    R"("MemMb":1024,"EstimateMs":8000}]})",
                    10000)
          .status != 200) {
    return kNotRun;
  }
  Sleep(2000);
  if (run.has_trouble) {
    run.record->Line("version 9 removes the queue");
    site.platform.Put("op/config",
                      Config(9, {Route("other", "reservas")}, {"reservas"}));
  }
  Sleep(30000);
  // The end that uses up the only attempt, and when it ended.
  double used_up_at = 0.0;
  for (const End& end : site.workers.ends()) {
    if (used_up_at == 0.0 && end.task.starts_with(kJob) &&
        end.how == "failed") {
      for (const End& noted : site.workers.noted_ends()) {
        if (noted.task == end.task && noted.run == end.run) {
          used_up_at = end.at_s;
        }
      }
    }
  }
  int starts = 0;
  int starts_after = 0;
  for (const Start& start : site.workers.starts()) {
    starts += start.task.starts_with(kJob);
    starts_after += used_up_at > 0.0 && start.task.starts_with(kJob) &&
                    start.at_s > used_up_at;
  }
  run.record->Line("starts " + std::to_string(starts) + ", of them " +
                   std::to_string(starts_after) +
                   " after an end 'failed' that was taken note of");
  return starts_after > 0 ? kBroken : kHeld;
}

// A job whose first time lies far ahead.
int RunFarTime(const Case& run) {
  Deployment site(run, Config(7, {Route("book", "reservas")}, {"reservas"}),
                  PlanWorkers("reservas", 3), 3);
  if (!site.system.AwaitReady(15000)) {
    return kNotRun;
  }
  // The last millisecond of the year 9999, or of 2199.
  const std::string first =
      run.has_trouble ? "253402300799999" : "7258118399999";
  site.workers.SetPlan(kJob, TaskPlan());
  if (site.system
          .AskAgain("POST", std::string("/book/") + kJob, "key-school",
                    R"({"Spec":"s","Steps":[{"Count":1,"Cpu":1000,)"
                    R"("MemMb":1024,"EstimateMs":1000}],"Repeats":1,)"
                    R"("IntervalMs":60000,"FirstRunMs":)" +
                        first + "}",
                    10000)
          .status != 200) {
    return kHeld;
  }
  Sleep(8000);
  const std::size_t starts = site.workers.starts().size();
  run.record->Line("starts " + std::to_string(starts));
  return starts > 0 ? kBroken : kHeld;
}

// A task that lasts ends by itself; it must be started again.
int RunLasting(const Case& run) {
  Deployment site(run, Config(7, {Route("book", "reservas")}, {"reservas"}),
                  PlanWorkers("reservas", 4), 3);
  if (!site.system.AwaitReady(15000)) {
    return kNotRun;
  }
  TaskPlan plan;
  plan.work_ms = 5000;
  plan.end = run.has_trouble ? "done" : "failed";
  site.workers.SetPlan(kJob, plan);
  const std::string path = std::string("/book/") + kJob;
  if (site.system
          .AskAgain("POST", path, "key-school",
                    R"({"Spec":"s","Steps":[{"Count":2,"Cpu":1000,)"
                    R"("MemMb":1024,"EstimateMs":900,"LongRunning":true}]})",
                    10000)
          .status != 200) {
    return kNotRun;
  }
  std::string state;
  for (int i = 0; i < 15; ++i) {
    Sleep(2000);
    state = StateOf(&site.system, path, "key-school");
  }
  // The last run of each task.
  std::map<std::string, double> last;
  for (const Start& start : site.workers.starts()) {
    last[start.task] = 0.0;
  }
  bool is_broken = false;
  for (const End& end : site.workers.ends()) {
    last[end.task] = end.at_s;
  }
  for (const auto& [task, at_s] : last) {
    const double idle = run.record->Seconds() - at_s;
    const bool is_running = !site.workers.RunningOn(task).empty();
    run.record->Line(task + (is_running ? " runs"
                                        : " does not run since " +
                                              std::to_string(idle) + " s"));
    // 6 s after its last run, for 3 s.
    is_broken |= !is_running && idle >= 9.0;
  }
  run.record->Line("state shown: " + state);
  return is_broken ? kBroken : kHeld;
}

// A task that asks for an accelerator and for no processor.
int RunAccelerator(const Case& run) {
  std::vector<WorkerPlan> plans = PlanWorkers("reservas", 4);
  plans[0].gpu = 8;
  Deployment site(run, Config(7, {Route("book", "reservas")}, {"reservas"}),
                  plans, 3);
  if (!site.system.AwaitReady(15000)) {
    return kNotRun;
  }
  TaskPlan plan;
  plan.cpu = run.has_trouble ? 0 : 1000;
  plan.gpu = 1;
  plan.work_ms = 4000;
  site.workers.SetPlan(kJob, plan);
  const std::string path = std::string("/book/") + kJob;
  if (site.system
          .AskAgain("POST", path, "key-school",
                    std::string(R"({"Spec":"s","Steps":[{"Count":1,)") +
                        (run.has_trouble ? "" : R"("Cpu":1000,)") +
                        R"("MemMb":1024,"Gpu":1,"EstimateMs":4000}]})",
                    10000)
          .status != 200) {
    return kNotRun;
  }
  const std::string task = std::string(kJob) + ".0.0.0";
  std::string state;
  double longest = 0.0;
  Clock::time_point idle_since = Clock::now();
  const Clock::time_point begun = Clock::now();
  Clock::time_point next_look = begun + std::chrono::seconds(5);
  while (Clock::now() < begun + std::chrono::seconds(60) &&
         state != "completed") {
    if (!site.workers.RunningOn(task).empty()) {
      idle_since = Clock::now();
    }
    // From finish_s (14 s) after the last job was handed in.
    if (Clock::now() >= begun + std::chrono::seconds(14)) {
      longest = std::max(
          longest, std::chrono::duration<double>(
                       Clock::now() -
                       std::max(idle_since, begun + std::chrono::seconds(14)))
                       .count());
    }
    if (Clock::now() >= next_look) {
      next_look = Clock::now() + std::chrono::seconds(5);
      state = StateOf(&site.system, path, "key-school");
    }
    Sleep(10);
  }
  run.record->Line("state shown: " + state + ", starts " +
                   std::to_string(site.workers.starts().size()) +
                   ", longest time with nothing running " +
                   std::to_string(longest) + " s");
  return state != "completed" && longest >= 3.0 ? kBroken : kHeld;
}

std::string ToHex(const std::string& text) {
  std::string hex;
  for (const unsigned char c : text) {
    char digits[4];
    std::snprintf(digits, sizeof(digits), "%02x ", c);
    hex += digits;
  }
  return hex;
}

// A consumer that writes its bodies in Latin-1.
int RunLatin(const Case& run) {
  Deployment site(run, Config(7, {Route("book", "reservas")}, {"reservas"}),
                  PlanWorkers("reservas", 3), 3);
  if (!site.system.AwaitReady(15000)) {
    return kNotRun;
  }
  const std::string spec =
      run.has_trouble ? "aula de f\xedsica, 9 de enero, pr\xe9stamo 12"
                      : "aula de f\xc3\xadsica, 9 de enero, pr\xc3\xa9stamo 12";
  site.workers.SetPlan(kJob, TaskPlan());
  const Response answer = site.system.AskAgain(
      "POST", std::string("/book/") + kJob, "key-school",
      R"({"Spec":")" + spec +
          R"(","Steps":[{"Count":1,"Cpu":1000,"MemMb":1024,)"
          R"("EstimateMs":1000}]})",
      10000);
  Sleep(5000);
  run.record->Line("answered " + std::to_string(answer.status));
  run.record->Line("Spec sent:     " + ToHex(spec));
  bool is_broken = false;
  for (const Start& start : site.workers.starts()) {
    run.record->Line("Spec received: " + ToHex(start.spec));
    is_broken |= start.spec != spec;
  }
  return is_broken ? kBroken : kHeld;
}

int Main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: cases NAME ROOT RECORD\n";
    return kNotRun;
  }
  Record record(argv[3]);
  const char* const trouble = std::getenv("TROUBLE");
  Case run;
  run.root = argv[2];
  run.record = &record;
  run.has_trouble = trouble == nullptr || std::string(trouble) != "0";
  const std::map<std::string, std::function<int(const Case&)>> cases{
      {"crashes", RunCrashes},
      {"gang", RunGang},
      {"tasks", [](const Case& c) { return RunMemory(c, ManyTasks()); }},
      {"occurrences",
       [](const Case& c) { return RunMemory(c, ManyOccurrences()); }},
      {"same-id", RunSameId},
      {"moved-queue", RunMovedQueue},
      {"attempts", RunAttempts},
      {"far-time", RunFarTime},
      {"latin", RunLatin},
      {"lasting", RunLasting},
      {"accelerator", RunAccelerator}};
  int outcome = kNotRun;
  try {
    outcome = cases.at(argv[1])(run);
  } catch (const std::exception& exception) {
    record.Line(std::string("not run: ") + exception.what());
  }
  record.Line("outcome " + std::to_string(outcome));
  return outcome;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::Main(argc, argv);
}

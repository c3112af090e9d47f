// Plays one case of the review: standin-3 CASE RECORD ROOT TROUBLE
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <json/value.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <thread>

#include "platform.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
// Bounds of the site file of the case claims.
constexpr int kConfigApplyMs = 2000;
constexpr int kFinishS = 14;
constexpr char kKey[] = "key-of-tenant-a";

const std::vector<std::string> kTenants = {"tenant-a", "tenant-b", "tenant-c",
                                           "tenant-d"};

void Wait(int ms) {
  std::this_thread::sleep_for(Ms(ms));
}

std::string JobId(unsigned number) {
  char text[32];
  std::snprintf(text, sizeof(text), "5c0e7a21%08x", number);
  return text;
}

struct Route {
  std::string name;
  std::string service;
};

// A config with all tenants. `max_cpu` 0: they have no limit. The queues have
// the policy `advice` unless it is null.
std::string Config(int version,
                   const std::vector<Route>& routes,
                   const std::vector<std::string>& services,
                   int max_cpu = 0,
                   const Json::Value& advice = Json::Value()) {
  Json::Value config;
  config["Version"] = version;
  for (const Route& route : routes) {
    Json::Value row;
    row["Name"] = "r-" + route.name;
    row["Host"] = "host.example";
    row["Prefix"] = "/" + route.name + "/";
    row["Kind"] = "unsafe";
    row["TimeoutMs"] = 3000;
    row["TargetDurationMs"] = 600;
    row["Priority"] = 0;
    row["Service"] = route.service;
    row["MaxAttempts"] = 3;
    row["Stretch"] = 1.6;
    row["Public"] = false;
    if (!advice.isNull()) {
      row["Advice"] = advice;
    }
    config["Routes"].append(row);
  }
  for (const std::string& service : services) {
    Json::Value row;
    row["Name"] = service;
    row["AdmissionCheck"] = true;
    row["Spare"] = false;
    config["Services"].append(row);
  }
  for (const std::string& name : kTenants) {
    Json::Value tenant;
    tenant["Name"] = name;
    tenant["ApiKeys"].append("key-of-" + name);
    tenant["Priority"] = 1;
    tenant["Weight"] = 10;
    tenant["MaxCount"]["Cpu"] = max_cpu;
    tenant["MaxCount"]["MemMb"] = 0;
    tenant["MaxCount"]["Gpu"] = 0;
    config["Tenants"].append(tenant);
  }
  return WriteJson(config);
}

bool StartEntries(Platform* platform) {
  const char* const zones[] = {"zone-a", "zone-b", "zone-c"};
  for (int i = 0; i < 3; ++i) {
    if (!platform->StartEntry("entry-" + std::to_string(i + 1), zones[i])) {
      return false;
    }
  }
  if (!platform->AwaitReady(15000)) {
    platform->Record("the entry instances did not get ready");
    return false;
  }
  // Duties are taken and workers are known.
  Wait(3000);
  return true;
}

int Verdict(Platform* platform) {
  if (!platform->AreEntriesAlive()) {
    platform->Record("an entry instance has ended");
    return kCouldNotRun;
  }
  const std::lock_guard<std::mutex> lock(platform->mutex);
  platform->on_start = nullptr;
  platform->on_end = nullptr;
  platform->on_upkeep = nullptr;
  platform->on_tail = nullptr;
  platform->Record(platform->is_broken
                       ? "the rule was broken: " + platform->verdict
                       : "the rule held");
  return platform->is_broken ? kBroken : kHeld;
}

// QUOTA: tenants that had no limit get one, while each has a job that lasts in
// one pool and short jobs in the other; two of them the other way round.
int PlayQuota(Platform* platform, bool has_trouble) {
  constexpr int kLimit = 32000;
  constexpr double kOverage = 0.1;
  const std::size_t tenants = kTenants.size();
  const std::vector<std::string> services = {"svc-0", "svc-1"};
  const std::vector<Route> routes = {{"q0", services[0]}, {"q1", services[1]}};
  for (std::size_t s = 0; s < services.size(); ++s) {
    for (int i = 0; i < 10; ++i) {
      platform->AddWorker("m-" + std::to_string(s) + "-" + std::to_string(i),
                          services[s], "zone-a", "a", "r1-" + std::to_string(s),
                          16000, 32768);
    }
  }
  platform->Put("op/config", Config(3, routes, services));
  if (!StartEntries(platform)) {
    return kCouldNotRun;
  }
  std::optional<Clock::time_point> judged_from;
  platform->on_start = [platform, &judged_from](
                           const Worker&, const std::string& task, const Run&) {
    const Job& started = platform->jobs.at(task.substr(0, task.find('.')));
    int running = 0;
    for (const std::pair<const std::string, Worker>& worker :
         platform->workers) {
      for (const std::pair<const std::string, Run>& run :
           worker.second.running) {
        const Job& job =
            platform->jobs.at(run.first.substr(0, run.first.find('.')));
        running += job.tenant == started.tenant ? job.steps[0].cpu : 0;
      }
    }
    platform->Record(started.tenant + " has " + std::to_string(running) +
                     " running");
    if (judged_from && Clock::now() > *judged_from &&
        running > kLimit * (1.0 + kOverage) + started.steps[0].cpu) {
      platform->Break("the start of " + task + " brings " + started.tenant +
                      " to " + std::to_string(running) + " of " +
                      std::to_string(kLimit));
    }
  };
  for (std::size_t t = 0; t < tenants; ++t) {
    Job job;
    job.id = JobId(static_cast<unsigned>(t + 1));
    job.tenant = kTenants[t];
    Step step;
    step.count = 10;
    step.cpu = 2000;
    step.long_running = true;
    job.steps.push_back(step);
    if (!platform->Submit(t, "/" + routes[t % 2].name + "/",
                          "key-of-" + job.tenant, job)) {
      return kCouldNotRun;
    }
  }
  Wait(2000);
  std::vector<std::thread> clients;
  const Clock::time_point until = Clock::now() + Ms(25000);
  for (std::size_t t = 0; t < tenants; ++t) {
    clients.emplace_back([platform, t, &routes, until]() {
      for (unsigned i = 0; Clock::now() < until; ++i) {
        Job job;
        job.id = JobId(static_cast<unsigned>(1000 * (t + 1)) + i);
        job.tenant = kTenants[t];
        Step step;
        step.count = 8;
        step.cpu = 2000;
        step.duration_ms = 1000;
        job.steps.push_back(step);
        platform->Submit(t, "/" + routes[(t + 1) % 2].name + "/",
                         "key-of-" + job.tenant, job);
        Wait(400);
      }
    });
  }
  Wait(5000);
  if (has_trouble) {
    platform->Put("op/config", Config(8, routes, services, kLimit));
    // The old config may be in force until ConfigApplyMs after the ack.
    const std::lock_guard<std::mutex> lock(platform->mutex);
    judged_from = Clock::now() + Ms(kConfigApplyMs + 2000);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  return Verdict(platform);
}

// ROUTE: the workers of a rack crash and start again as another kind.
int PlayLabel(Platform* platform, bool has_trouble) {
  constexpr int kRacks = 2;
  constexpr int kWorkersPerRack = 4;
  const auto name_of = [](int rack, int worker) {
    return "m-" + std::to_string(rack) + "-" + std::to_string(worker);
  };
  for (int rack = 0; rack < kRacks; ++rack) {
    for (int i = 0; i < kWorkersPerRack; ++i) {
      platform->AddWorker(name_of(rack, i), "svc-a", "zone-a", "a",
                          "r1-" + std::to_string(rack), 16000, 32768);
    }
  }
  platform->Put("op/config", Config(3, {{"qa", "svc-a"}}, {"svc-a"}));
  if (!StartEntries(platform)) {
    return kCouldNotRun;
  }
  platform->on_start = [platform](const Worker& worker, const std::string& task,
                                  const Run& run) {
    const Job& job = platform->jobs.at(task.substr(0, task.find('.')));
    if (!job.steps[0].label.empty() && job.steps[0].label != worker.kind) {
      platform->Break("run " + std::to_string(run.number) + " of " + task +
                      ", which requires the label " + job.steps[0].label +
                      ", starts at " + worker.id + " of kind " + worker.kind);
    }
  };
  const Clock::time_point until = Clock::now() + Ms(50000);
  // Jobs that require kind a or b, about what eight workers of kind a can do
  // and more than four.
  std::vector<std::thread> clients;
  for (unsigned kind = 0; kind < 2; ++kind) {
    clients.emplace_back([platform, kind, until]() {
      for (unsigned i = 0; Clock::now() < until; ++i) {
        Job job;
        job.id = JobId(10000 * (kind + 1) + i);
        Step step;
        step.count = kind == 0 ? 18 : 3;
        step.cpu = 4000;
        step.duration_ms = 1000;
        step.label = kind == 0 ? "a" : "b";
        job.steps.push_back(step);
        platform->Submit(i, "/qa/", kKey, job);
        Wait(700);
      }
    });
  }
  Wait(3000);
  for (int round = 0; has_trouble && round < 4; ++round) {
    for (int i = 0; i < kWorkersPerRack; ++i) {
      platform->CrashWorker(name_of(0, i));
    }
    Wait(4500);
    for (int i = 0; i < kWorkersPerRack; ++i) {
      platform->BootWorker(name_of(0, i), round % 2 == 0 ? "b" : "a");
    }
    Wait(6000);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  return Verdict(platform);
}

// AVAIL: the workers that run one task of a job that lasts crash in turn.
int PlayGivenUp(Platform* platform, bool has_trouble) {
  constexpr int kWorkers = 8;
  constexpr int kMayMiss = 1;
  constexpr int kNoticeMs = 4500;
  for (int i = 0; i < kWorkers; ++i) {
    platform->AddWorker("m-" + std::to_string(i), "svc-a", "zone-a", "a",
                        "r1-" + std::to_string(i / 4), 16000, 32768);
  }
  platform->Put("op/config", Config(3, {{"qa", "svc-a"}}, {"svc-a"}));
  if (!StartEntries(platform)) {
    return kCouldNotRun;
  }
  Job job;
  job.id = JobId(1);
  Step step;
  step.count = 5;
  step.cpu = 9000;  // one a worker
  step.long_running = true;
  step.may_miss = kMayMiss;
  job.steps.push_back(step);
  const std::string prefix = job.id + ".0.0.";
  // Tasks that an order has ended, and when each task was last at work.
  std::set<std::string> ended_by_order;
  std::map<std::string, Clock::time_point> away_since;
  platform->on_start = [&](const Worker&, const std::string& task, const Run&) {
    ended_by_order.erase(task);
    away_since.erase(task);
  };
  platform->on_end = [&](const Worker& worker, const End& end) {
    if (end.how == "stopped") {
      int away = 0;
      for (int i = 0; i < step.count; ++i) {
        const std::string other = prefix + std::to_string(i);
        const bool is_long_away =
            away_since.count(other) != 0 &&
            Clock::now() - away_since[other] >= Ms(kNoticeMs);
        away += other != end.task &&
                        (ended_by_order.count(other) != 0 || is_long_away)
                    ? 1
                    : 0;
      }
      if (away >= kMayMiss) {
        platform->Break("a stop ends " + end.task + ", which is at work at " +
                        worker.id + ", while " + std::to_string(away) +
                        " others of its step are away, of " +
                        std::to_string(kMayMiss) + " that may be");
      }
      ended_by_order.insert(end.task);
    }
    away_since[end.task] = Clock::now();
  };
  if (!platform->Submit(0, "/qa/", kKey, job)) {
    return kCouldNotRun;
  }
  const std::string task = prefix + "0";
  const Clock::time_point until = Clock::now() + Ms(45000);
  int crashes = 0;
  std::string state;
  while (Clock::now() < until) {
    std::string host;
    {
      const std::lock_guard<std::mutex> lock(platform->mutex);
      for (const std::pair<const std::string, Worker>& worker :
           platform->workers) {
        const std::map<std::string, Run>::const_iterator run =
            worker.second.running.find(task);
        if (run != worker.second.running.end() &&
            Clock::now() - run->second.arrived > Ms(2500)) {
          host = worker.first;
        }
      }
    }
    if (has_trouble && !host.empty() && crashes < 5) {
      ++crashes;
      platform->CrashWorker(host);
      {
        const std::lock_guard<std::mutex> lock(platform->mutex);
        away_since[task] = Clock::now();
      }
      Wait(1500);
      platform->BootWorker(host, "a");
    }
    Wait(300);
    state = platform->StateOf(0, "/qa/", kKey, job.id);
  }
  platform->Record("state of the job that nobody has cancelled: " + state +
                   ", crashes of its workers: " + std::to_string(crashes));
  return Verdict(platform);
}

// LOST: jobs of a queue with Advice come at once.
int PlayAdvice(Platform* platform, bool has_trouble) {
  constexpr int kWorkers = 9;
  constexpr int kCores = 16;
  constexpr unsigned kJobs = 60;
  platform->decide_ms = 100;
  platform->each_ms = 5;
  Json::Value advice;
  advice["DecideMs"] = platform->decide_ms;
  advice["EachMs"] = platform->each_ms;
  advice["ValidMs"] = platform->valid_ms;
  for (int i = 0; i < kWorkers; ++i) {
    platform->AddWorker("m-" + std::to_string(i), "svc-a", "zone-a", "a",
                        "r1-" + std::to_string(i / 4), 1000 * kCores, 32768);
  }
  platform->Put("op/config",
                Config(3, {{"qa", "svc-a"}}, {"svc-a"}, 0, advice));
  if (!StartEntries(platform)) {
    return kCouldNotRun;
  }
  std::set<std::string> begun;
  platform->on_start = [&begun](const Worker&, const std::string& task,
                                const Run&) {
    begun.insert(task.substr(0, task.find('.')));
  };
  for (unsigned i = 0; i < kJobs; ++i) {
    Job job;
    job.id = JobId(i + 1);
    Step step;
    step.duration_ms = 800;
    job.steps.push_back(step);
    if (!platform->Submit(i, "/qa/", kKey, job)) {
      return kCouldNotRun;
    }
    // Under 40 a second, or a few.
    Wait(has_trouble ? 25 : 300);
  }
  platform->Record("the traffic ends");
  Wait(1000 * kFinishS);
  // For 3 s on end: what a job without a start has running is nothing, so what
  // is left to see is that there is room for it twice over, with under half of
  // the service in use. No tenant has a limit, no step waits for another, and
  // each worker may run each step.
  std::size_t most_running = 0;
  const Clock::time_point until = Clock::now() + Ms(3000);
  while (Clock::now() < until) {
    {
      const std::lock_guard<std::mutex> lock(platform->mutex);
      std::size_t running = 0;
      for (const std::pair<const std::string, Worker>& worker :
           platform->workers) {
        running += worker.second.running.size();
      }
      most_running = std::max(most_running, running);
    }
    Wait(10);
  }
  {
    const std::lock_guard<std::mutex> lock(platform->mutex);
    platform->Record(std::to_string(kJobs - begun.size()) + " of " +
                     std::to_string(kJobs) +
                     " jobs have never begun; for 3 s at most " +
                     std::to_string(most_running) + " of " +
                     std::to_string(kWorkers * kCores) + " cores are in use");
    if (begun.size() < kJobs && 2 * most_running < kWorkers * kCores) {
      platform->Break(std::to_string(kJobs - begun.size()) +
                      " accepted jobs have nothing running for 3 s, " +
                      std::to_string(kFinishS) +
                      " s after the end of the traffic, with room for all");
    }
  }
  for (unsigned i = 0; i < kJobs; ++i) {
    platform->StateOf(i, "/qa/", kKey, JobId(i + 1));
  }
  return Verdict(platform);
}

// LIMIT: answers of the machines' interface are lost for half a second.
int PlayWave(Platform* platform, bool has_trouble) {
  constexpr int kMachines = 9;
  Json::Value wave;
  wave["Wave"] = 1;
  wave["DeadlineS"] = 60;
  wave["MaxCount"] = 1;
  for (int i = 0; i < kMachines; ++i) {
    const std::string name = "m-" + std::to_string(i);
    platform->AddWorker(name, "svc-a", "zone-a", "a", "r1-" + std::to_string(i),
                        16000, 32768);
    if (i < 6) {
      wave["Machines"].append(name);
    }
  }
  platform->Put("op/config", Config(3, {{"qa", "svc-a"}}, {"svc-a"}));
  if (!StartEntries(platform)) {
    return kCouldNotRun;
  }
  int begun = 0;
  platform->on_upkeep = [platform, &begun,
                         has_trouble](const Machine& machine) {
    int down = 0;
    for (const std::pair<const std::string, Machine>& other :
         platform->machines) {
      down += other.second.state == "upkeep" ? 1 : 0;
    }
    if (down > 1) {
      platform->Break("the upkeep of " + machine.name + " begins while " +
                      std::to_string(down - 1) +
                      " machine of the wave is down for its own");
    }
    if (++begun == 2 && has_trouble) {
      platform->cloud_silent_until = Clock::now() + Ms(600);
      platform->Record("answers of the machines' interface are lost for 0.6 s");
    }
  };
  platform->Put("op/wave/1", WriteJson(wave));
  Wait(40000);
  return Verdict(platform);
}

// HARM: jobs that fill come one after the other, beside tasks that serve.
int PlayHarm(Platform* platform, bool has_trouble) {
  constexpr int kWorkers = 4;
  constexpr int kTargetMs = 100;
  constexpr int kHarmMs = 4000;
  for (int i = 0; i < kWorkers; ++i) {
    platform->AddWorker("m-" + std::to_string(i), "svc-a", "zone-a", "a",
                        "r1-" + std::to_string(i), 16000, 32768);
  }
  platform->Put("op/config", Config(3, {{"qa", "svc-a"}}, {"svc-a"}));
  if (!StartEntries(platform)) {
    return kCouldNotRun;
  }
  Job serving;
  serving.id = JobId(1);
  Step lasting;
  lasting.count = kWorkers;
  lasting.cpu = 8000;
  lasting.long_running = true;
  lasting.max_per_server = 1;
  lasting.image = "serving";
  lasting.target_ms = kTargetMs;
  serving.steps.push_back(lasting);
  if (!platform->Submit(0, "/qa/", kKey, serving)) {
    return kCouldNotRun;
  }
  Wait(3000);
  std::map<std::string, Clock::time_point> over_since;
  std::map<std::string, int> seconds;
  platform->on_tail = [&](const Worker& worker, double tail, int filling) {
    const Clock::time_point now = Clock::now();
    // Over the target without a pause, and only because of tasks that fill.
    if (tail <= kTargetMs) {
      over_since.erase(worker.id);
      seconds.erase(worker.id);
      return;
    }
    const Clock::time_point since =
        over_since.emplace(worker.id, now).first->second;
    const int over_s = static_cast<int>(
        std::chrono::duration_cast<std::chrono::seconds>(now - since).count());
    if (over_s > seconds[worker.id]) {
      seconds[worker.id] = over_s;
      platform->Record("tail at " + worker.id + " is " +
                       std::to_string(static_cast<int>(tail)) + " ms, over " +
                       std::to_string(kTargetMs) + " for " +
                       std::to_string(over_s) + " s, " +
                       std::to_string(filling) + " tasks fill at work");
    }
    if (now - since >= Ms(kHarmMs) && filling > 0 && !platform->is_broken) {
      platform->Break("the task that serves at " + worker.id +
                      " is over its target for " + std::to_string(kHarmMs) +
                      " ms while tasks that fill work beside it");
    }
  };
  const Clock::time_point until = Clock::now() + Ms(25000);
  for (unsigned i = 0; Clock::now() < until; ++i) {
    Job job;
    job.id = JobId(100 + i);
    Step step;
    step.cpu = 2000;
    step.mem_mb = 64;
    step.duration_ms = 800;
    step.image = "filling";
    step.fills = true;
    job.steps.push_back(step);
    if (!platform->Submit(i, "/qa/", kKey, job)) {
      return kCouldNotRun;
    }
    // Under 7.87 a second, or few.
    Wait(has_trouble ? 130 : 5000);
  }
  return Verdict(platform);
}

// No rule: a task that fills is paced to 0 when all entry instances are killed
// and started again. Nobody paces it up, so that its job is never done.
int PlayPaced(Platform* platform, bool has_trouble) {
  platform->harm_ms = 200.0;
  platform->AddWorker("m-0", "svc-a", "zone-a", "a", "r1-0", 16000, 32768);
  platform->Put("op/config", Config(3, {{"qa", "svc-a"}}, {"svc-a"}));
  if (!StartEntries(platform)) {
    return kCouldNotRun;
  }
  Job serving;
  serving.id = JobId(1);
  Step lasting;
  lasting.cpu = 8000;
  lasting.long_running = true;
  lasting.image = "serving";
  lasting.target_ms = 100;
  serving.steps.push_back(lasting);
  Job filling;
  filling.id = JobId(2);
  Step step;
  step.cpu = 2000;
  step.duration_ms = 2000;
  step.image = "filling";
  step.fills = true;
  filling.steps.push_back(step);
  if (!platform->Submit(0, "/qa/", kKey, serving)) {
    return kCouldNotRun;
  }
  Wait(2000);
  if (!platform->Submit(0, "/qa/", kKey, filling)) {
    return kCouldNotRun;
  }
  const auto run_of = [platform, &filling]() {
    const std::lock_guard<std::mutex> lock(platform->mutex);
    const std::map<std::string, Run>& running =
        platform->workers.at("m-0").running;
    const std::map<std::string, Run>::const_iterator run =
        running.find(filling.id + ".0.0.0");
    return run == running.end() ? std::optional<Run>()
                                : std::make_optional(run->second);
  };
  for (int i = 0; has_trouble && i < 2000; ++i) {
    const std::optional<Run> run = run_of();
    if (run && run->percent == 0 && run->next_percent == 0) {
      platform->Record("all entry instances are killed and started again");
      platform->StopEntries();
      if (!StartEntries(platform)) {
        return kCouldNotRun;
      }
      break;
    }
    Wait(5);
  }
  std::string state;
  for (int second = 0; second < 60 && state != "completed"; ++second) {
    Wait(1000);
    state = platform->StateOf(0, "/qa/", kKey, filling.id);
    const std::optional<Run> run = run_of();
    if (run) {
      platform->Record("run " + std::to_string(run->number) + " has worked " +
                       std::to_string(static_cast<int>(run->worked_ms)) +
                       " ms of " + std::to_string(step.duration_ms) +
                       ", its percent is " + std::to_string(run->percent));
    }
  }
  if (state != "completed") {
    platform->Break("the job that fills is " + state + " after 60 s");
  }
  return Verdict(platform);
}

// AVAIL: two workers begin a task that lasts, and their answers are lost.
int PlayLostStarts(Platform* platform, bool has_trouble) {
  constexpr int kWorkers = 10;
  constexpr int kMayMiss = 1;
  for (int i = 0; i < kWorkers; ++i) {
    platform->AddWorker("m-" + std::to_string(i), "svc-a", "zone-a", "a",
                        "r1-" + std::to_string(i / 4), 16000, 32768);
  }
  platform->Put("op/config", Config(3, {{"qa", "svc-a"}}, {"svc-a"}));
  if (!StartEntries(platform)) {
    return kCouldNotRun;
  }
  std::set<std::string> ended_by_order;
  platform->on_start = [&](const Worker&, const std::string& task, const Run&) {
    ended_by_order.erase(task);
  };
  platform->on_end = [&](const Worker& worker, const End& end) {
    if (end.how != "stopped") {
      return;
    }
    if (static_cast<int>(ended_by_order.size()) >= kMayMiss) {
      platform->Break("a stop ends " + end.task + " at " + worker.id +
                      " while others of its step are ended by a stop");
    }
    ended_by_order.insert(end.task);
  };
  if (has_trouble) {
    const std::lock_guard<std::mutex> lock(platform->mutex);
    platform->lost_starts = {"m-2", "m-5"};
  }
  Job job;
  job.id = JobId(1);
  Step step;
  step.count = kWorkers;
  step.cpu = 9000;
  step.long_running = true;
  step.may_miss = kMayMiss;
  step.max_per_server = 1;
  job.steps.push_back(step);
  if (!platform->Submit(0, "/qa/", kKey, job)) {
    return kCouldNotRun;
  }
  Wait(12000);
  return Verdict(platform);
}

int Play(int argc, char** argv) {
  const std::map<std::string, std::function<int(Platform*, bool)>> cases = {
      {"given-up", PlayGivenUp}, {"advice", PlayAdvice},
      {"label", PlayLabel},      {"quota", PlayQuota},
      {"wave", PlayWave},        {"harm", PlayHarm},
      {"paced", PlayPaced},      {"lost-starts", PlayLostStarts},
  };
  if (argc != 5 || cases.count(argv[1]) == 0) {
    std::cerr << "usage: standin-3 CASE RECORD ROOT TROUBLE\n";
    return kCouldNotRun;
  }
  Platform platform(argv[2], argv[3]);
  const int outcome = cases.at(argv[1])(&platform, std::string(argv[4]) != "0");
  platform.StopEntries();
  return outcome;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  int outcome = 2;
  try {
    outcome = review::Play(argc, argv);
  } catch (const std::exception& exception) {
    std::cerr << exception.what() << "\n";
  }
  return outcome;
}

// A worker begins a run, its channel is reset before the answer, and it answers
// 503 to what it is sent next.
#include <atomic>

#include "../standin/site.h"

using namespace review;

namespace {

constexpr Ms kGrey{5000};
// The largest share of its requests that a grey worker fails.
constexpr double kMostFailed = 0.4;

Json::Value Config() {
  Json::Value config;
  config["Version"] = 7;
  Json::Value route;
  route["Name"] = "quotes";
  route["Host"] = "site.example";
  route["Prefix"] = "/quotes/";
  route["Service"] = "reservations";
  route["MaxAttempts"] = 3;
  route["Stretch"] = 1.6;
  route["TargetDurationMs"] = 600;
  config["Routes"].append(route);
  Json::Value service;
  service["Name"] = "reservations";
  service["AdmissionCheck"] = true;
  config["Services"].append(service);
  Json::Value tenant;
  tenant["Name"] = "schools";
  tenant["Weight"] = 1.0;
  tenant["ApiKeys"].append("key-1");
  config["Tenants"].append(tenant);
  return config;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return 2;
  }
  const std::string id = "5c0e7a21d94b36f8";
  Record record(argv[3]);
  Site site(argv[1], argv[2], &record);
  site.store.Put("op/config", Config());
  const char* const zones[] = {"zone-a", "zone-b", "zone-c"};
  for (int i = 0; i < 12; ++i) {
    site.AddWorker("m-" + std::to_string(10 + i), "reservations", zones[i % 3],
                   "r" + std::to_string(i / 4), 64000);
  }
  for (int i = 0; i < 3; ++i) {
    site.AddInstance("entry-" + std::to_string(i + 1), zones[i]);
  }
  if (!site.AwaitReady({"reservations"}, Ms(15000))) {
    record.Line("the instances did not get ready");
    return 2;
  }
  Sleep(Ms(1000));
  std::atomic<bool> is_broken = false;
  std::string last_machine;
  site.on_start = [&](const std::string& task, const Worker& begun_on) {
    last_machine = begun_on.machine_name();
    int running = 0;
    for (const auto& [machine, worker] : site.workers) {
      running += worker->Runs(task) ? 1 : 0;
    }
    if (running > 1) {
      is_broken = true;
      record.Line(std::string("the task has ") + std::to_string(running) +
                  " runs at the same time");
    }
  };
  JobFacts facts;
  facts.team = "schools";
  facts.cpu = 3300;
  facts.duration = Ms(2000);
  // Opens the connections to the workers.
  const Json::Value job = Job("quote", Step(1, 3300, 2000));
  if (!site.Submit("entry-1", "/quotes/", "4c0e7a21d94b36f8", "key-1", job,
                   facts) ||
      !Await(Ms(8000), [&]() {
        return site.State("entry-1", "/quotes/", "4c0e7a21d94b36f8", "key-1") ==
               "completed";
      })) {
    return 2;
  }
  const std::string grey = last_machine;
  if (HasTrouble()) {
    // The worker that the last task ran on, which is chosen again.
    site.FindWorker(grey)->TurnGreyAtNextStart(kGrey);
  }
  if (!site.Submit("entry-1", "/quotes/", id, "key-1", job, facts)) {
    return 2;
  }
  Sleep(kGrey);
  if (HasTrouble()) {
    const auto [failed, calls] = site.FindWorker(grey)->GreyCalls();
    record.Line("the grey worker failed " + std::to_string(failed) + " of " +
                std::to_string(calls) + " calls in 5 s");
    if (failed > kMostFailed * calls) {
      return 2;
    }
  }
  record.Line(is_broken ? "BROKEN: a task had two runs at the same time"
                        : "HELD: no task had two runs at the same time");
  return is_broken ? 1 : 0;
}

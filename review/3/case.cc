// The only worker with a label is lost while jobs wait for it, and other jobs
// of the queue need no label.
#include "../standin/site.h"

using namespace review;

namespace {

constexpr int kLasting = 26;
constexpr int kWorkers = 8;
constexpr Ms kFinish{14000};  // `finish_s`
constexpr Ms kIdle{3000};     // the span of the rule

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
  Record record(argv[3]);
  Site site(argv[1], argv[2], &record);
  site.store.Put("op/config", Config());
  const char* const zones[] = {"zone-a", "zone-b", "zone-c"};
  for (int i = 0; i < kWorkers; ++i) {
    site.AddWorker("m-" + std::to_string(i), "reservations", zones[i % 3],
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
  JobFacts lasting;
  lasting.team = "schools";
  lasting.cpu = 500;
  Json::Value spread = Step(kWorkers, 500, 900);
  spread["MaxPerServer"] = 1;
  spread["LongRunning"] = true;
  for (int i = 0; i < kLasting; ++i) {
    if (!site.Submit("entry-1", "/quotes/",
                     "5c0e7a21d94b36" + std::to_string(10 + i), "key-1",
                     Job("ledger", spread), lasting)) {
      return 2;
    }
  }
  if (!Await(Ms(5000), [&]() {
        return site.UsedBy("schools") == kLasting * kWorkers * 500;
      })) {
    record.Line("the tasks that last did not start");
    return 2;
  }
  Sleep(Ms(2000));
  if (HasTrouble()) {
    site.FindWorker("m-7")->Crash();
  }
  Sleep(Ms(1000));
  JobFacts facts;
  facts.team = "schools";
  facts.cpu = 3300;
  facts.duration = Ms(800);
  const std::string id = "6c0e7a21d94b36f8";
  if (!site.Submit("entry-2", "/quotes/", id, "key-1",
                   Job("quote", Step(4, 3300, 800)), facts)) {
    return 2;
  }
  Sleep(kFinish);
  const Clock::time_point until = Clock::now() + kIdle;
  bool has_run = false;
  bool has_room = true;
  while (Clock::now() < until) {
    has_run |= site.RunsJob(id);
    has_room &= site.HasRoom("reservations", facts.cpu);
    Sleep(Ms(20));
  }
  record.Line(has_room ? "there was room for it, as the rule asks"
                       : "there was no room for it");
  const std::string state = site.State("entry-1", "/quotes/", id, "key-1");
  const bool is_broken =
      !has_run && has_room && (state == "queued" || state == "running");
  record.Line(std::string(is_broken ? "BROKEN" : "HELD") +
              ": the job of four short tasks is shown as " + state);
  return is_broken ? 1 : 0;
}

// A task that lasts loses its worker four times.
#include <iostream>

#include "../standin/site.h"

int main(int argc, char** argv) {
  using namespace review;
  if (argc != 4) {
    return 2;
  }
  constexpr int kCrashes = 4;
  constexpr Ms kDown{1000};
  const std::string id = "5c0e7a21d94b36f8";
  const std::string task = id + ".0.0.0";
  Record record(argv[3]);
  Site site(argv[1], argv[2], &record);
  Json::Value config;
  config["Version"] = 7;
  Json::Value route;
  route["Name"] = "bookings";
  route["Host"] = "site.example";
  route["Prefix"] = "/bookings/";
  route["Service"] = "reservations";
  route["MaxAttempts"] = 3;
  route["Stretch"] = 2.2;
  route["TargetDurationMs"] = 2500;
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
  site.store.Put("op/config", config);
  const char* const zones[] = {"zone-a", "zone-b", "zone-c"};
  for (int i = 0; i < 8; ++i) {
    site.AddWorker("i-" + std::to_string(i), "reservations", zones[i % 3],
                   "r" + std::to_string(i / 4), 64000);
  }
  for (int i = 0; i < 3; ++i) {
    site.AddInstance("entry-" + std::to_string(i + 1), zones[i]);
  }
  if (!site.AwaitReady({"reservations"}, Ms(15000))) {
    record.Line("the instances did not get ready");
    return 2;
  }
  Json::Value step = Step(1, 5400, 900);
  step["LongRunning"] = true;
  JobFacts facts;
  facts.team = "schools";
  facts.cpu = 5400;
  if (!site.Submit("entry-1", "/bookings/", id, "key-1", Job("ledger", step),
                   facts)) {
    record.Line("the job was not accepted");
    return 2;
  }
  const auto is_running = [&]() { return site.WorkerOf(task) != nullptr; };
  bool is_broken = false;
  for (int i = 0; i < kCrashes && !is_broken; ++i) {
    if (!Await(Ms(12000), is_running)) {
      record.Line("the task does not run");
      is_broken = true;
      break;
    }
    Sleep(Ms(1000));
    if (HasTrouble()) {
      Worker* const worker = site.WorkerOf(task);
      if (worker == nullptr) {
        continue;
      }
      worker->Crash();
      Sleep(kDown);
      worker->Boot();
    }
    is_broken = site.State("entry-2", "/bookings/", id, "key-1") == "failed";
  }
  // No run of the task ended "failed", so the job must not be shown as failed,
  // and the task must run again.
  Await(Ms(12000), is_running);
  Sleep(Ms(1000));
  const std::string state = site.State("entry-1", "/bookings/", id, "key-1");
  is_broken |= state == "failed" || !is_running();
  record.Line(is_broken ? "BROKEN: the job is shown as " + state +
                              (is_running() ? "" : ", and nothing runs")
                        : "HELD: the task runs, the job is shown as " + state);
  return is_broken ? 1 : 0;
}

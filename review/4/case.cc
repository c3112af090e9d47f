// The limit of a team is lowered while its jobs wait in three queues.
#include "../standin/site.h"

using namespace review;

namespace {

constexpr std::int64_t kLimit = 162000;
constexpr std::int64_t kLoweredLimit = 13000;
constexpr std::int64_t kTaskCpu = 6000;
constexpr const char* kServices[] = {"rigging", "delivery", "loans"};
constexpr int kJobs = 6;
constexpr Ms kFinish{14000};  // `finish_s`
constexpr Ms kIdle{3000};     // the span of the rule

Json::Value Config(int version, std::int64_t limit) {
  Json::Value config;
  config["Version"] = version;
  for (const char* const name : kServices) {
    Json::Value route;
    route["Name"] = name;
    route["Host"] = "site.example";
    route["Prefix"] = std::string("/") + name + "/";
    route["Service"] = name;
    route["MaxAttempts"] = 4;
    route["Stretch"] = 1.6;
    route["TargetDurationMs"] = 600;
    config["Routes"].append(route);
    Json::Value service;
    service["Name"] = name;
    service["AdmissionCheck"] = true;
    config["Services"].append(service);
  }
  Json::Value tenant;
  tenant["Name"] = "fairs";
  tenant["Weight"] = 1.0;
  tenant["ApiKeys"].append("key-1");
  tenant["MaxCount"]["Cpu"] = Json::Int64(limit);
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
  site.store.Put("op/config", Config(7, kLimit));
  const char* const zones[] = {"zone-a", "zone-b", "zone-c"};
  for (int i = 0; i < 9; ++i) {
    site.AddWorker("m-" + std::to_string(i), kServices[i / 3], zones[i % 3],
                   "r" + std::to_string(i / 3), 64000);
  }
  for (int i = 0; i < 3; ++i) {
    site.AddInstance("entry-" + std::to_string(i + 1), zones[i]);
  }
  if (!site.AwaitReady({"rigging", "delivery", "loans"}, Ms(15000))) {
    record.Line("the instances did not get ready");
    return 2;
  }
  JobFacts facts;
  facts.team = "fairs";
  facts.cpu = kTaskCpu;
  facts.duration = Ms(1300);
  const auto path_of = [](int i) {
    return "/" + std::string(kServices[i % 3]) + "/";
  };
  const auto id_of = [](int i) {
    return std::to_string(i) + "c0e7a21d94b36f8";
  };
  for (int i = 0; i < kJobs; ++i) {
    if (!site.Submit("entry-1", path_of(i), id_of(i), "key-1",
                     Job("check", Step(6, kTaskCpu, 1300)), facts)) {
      record.Line("a job was not accepted");
      return 2;
    }
    Sleep(Ms(100));
  }
  const Clock::time_point sent_at = Clock::now();
  Sleep(Ms(300));
  if (HasTrouble()) {
    site.store.Put("op/config", Config(8, kLoweredLimit));
    record.Line("config 8 acknowledged: MaxCount 13000");
  }
  // After `finish_s`, a job must not have nothing running for 3 s: its turn has
  // come, the workers are idle and the team uses nothing of its limit.
  const auto are_done = [&]() {
    bool are_completed = true;
    for (int i = 0; i < kJobs; ++i) {
      are_completed &=
          site.State("entry-2", path_of(i), id_of(i), "key-1") == "completed";
    }
    return are_completed;
  };
  std::this_thread::sleep_until(sent_at + kFinish);
  Clock::time_point idle_since = Clock::now();
  bool is_broken = false;
  while (!is_broken && Clock::now() < sent_at + kFinish + Ms(60000)) {
    const bool is_idle =
        site.UsedBy("fairs") == 0 && site.HasRoom("rigging", kTaskCpu) &&
        site.HasRoom("delivery", kTaskCpu) && site.HasRoom("loans", kTaskCpu);
    if (!is_idle) {
      idle_since = Clock::now();
    } else if (are_done()) {
      record.Line("HELD: all jobs are completed");
      return 0;
    }
    is_broken = is_idle && Clock::now() - idle_since >= kIdle;
    Sleep(Ms(is_idle ? 500 : 20));
  }
  record.Line(is_broken ? "BROKEN: nothing ran for 3 s, with open jobs, idle "
                          "workers and nothing used of the limit"
                        : "the jobs were not completed in time");
  return is_broken ? 1 : 2;
}

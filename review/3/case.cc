// The zone of a pool's scheduler is cut off while a team uses its whole limit.
#include <algorithm>
#include <atomic>

#include "../standin/site.h"

using namespace review;

namespace {

constexpr std::int64_t kLimit = 40000;
constexpr std::int64_t kTaskCpu = 2000;
constexpr double kOverage = 0.1;  // `QuotaOverage`
constexpr Ms kCut{5500};

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
  tenant["MaxCount"]["Cpu"] = Json::Int64(kLimit);
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
  for (int i = 0; i < 3; ++i) {
    site.AddInstance("entry-" + std::to_string(i + 1), zones[i]);
  }
  if (!site.AwaitReady({"reservations"}, Ms(15000))) {
    record.Line("the instances did not get ready");
    return 2;
  }
  // Three workers in the zone of the scheduler, five in the others.
  const std::string holder = site.Holder("pool/reservations");
  const std::string cut_zone = site.instances.at(holder)->zone;
  std::vector<std::string> others;
  for (const auto& [name, instance] : site.instances) {
    if (name != holder) {
      others.push_back(name);
    }
  }
  for (int i = 0; i < 8; ++i) {
    const std::string zone =
        i < 3 ? cut_zone : site.instances.at(others[i % 2])->zone;
    site.AddWorker("m-" + std::to_string(i), "reservations", zone,
                   "r" + std::to_string(i / 4), 16000);
  }
  std::atomic<std::int64_t> most = 0;
  site.on_start = [&](const std::string& task, const Worker&) {
    const std::int64_t used = site.UsedBy("schools");
    if (used > most) {
      most = used;
      record.Line("after the start of " + task + " the team uses " +
                  std::to_string(used));
    }
  };
  Sleep(Ms(1500));
  JobFacts facts;
  facts.team = "schools";
  facts.cpu = kTaskCpu;
  facts.duration = Ms(9000);
  const Json::Value job = Job("quote", Step(20, kTaskCpu, 9000));
  if (!site.Submit(others[0], "/quotes/", "5c0e7a21d94b36f8", "key-1", job,
                   facts) ||
      !Await(Ms(5000), [&]() { return site.UsedBy("schools") >= kLimit; })) {
    record.Line("the first job did not start");
    return 2;
  }
  if (HasTrouble()) {
    record.Line("zone " + cut_zone + " is cut off, with " + holder);
    std::int64_t token = 0;
    for (const auto& [machine, worker] : site.workers) {
      token = std::max(token, worker->Fence());
    }
    site.instances.at(holder)->store_mode = StoreMode::kSilent;
    for (const auto& [machine, worker] : site.workers) {
      const bool is_cut = worker->zone_name() == cut_zone;
      worker->SetReachesStore(!is_cut);
      worker->SetReachableFor(is_cut ? 0 : token + 1,
                              is_cut ? token : Worker::kAnyToken);
    }
  }
  const Clock::time_point cut_at = Clock::now();
  Sleep(Ms(2500));
  site.Submit(others[0], "/quotes/", "6c0e7a21d94b36f8", "key-1", job, facts);
  std::this_thread::sleep_until(cut_at + kCut);
  if (HasTrouble()) {
    record.Line("the cut ends");
    site.instances.at(holder)->store_mode = StoreMode::kServes;
    for (const auto& [machine, worker] : site.workers) {
      worker->SetReachesStore(true);
      worker->SetReachableFor(0, Worker::kAnyToken);
    }
  }
  Sleep(Ms(4000));
  const double allowed = kLimit * (1.0 + kOverage) + kTaskCpu;
  const bool is_broken = static_cast<double>(most) > allowed;
  record.Line(std::string(is_broken ? "BROKEN" : "HELD") + ": " +
              std::to_string(most) + " used at most, " +
              std::to_string(static_cast<int>(allowed)) + " allowed");
  return is_broken ? 1 : 0;
}

// The store goes down when it has carried out the write of a job and not
// answered it yet.
#include "../standin/site.h"

using namespace review;

namespace {

constexpr Ms kDown{3000};

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
  for (int i = 0; i < 8; ++i) {
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
  Sleep(Ms(2000));
  // An instance without duties writes nothing but the jobs that it takes.
  std::string instance;
  for (const auto& [name, any] : site.instances) {
    if (name != site.Holder("pool/reservations") &&
        name != site.Holder("fleet")) {
      instance = name;
    }
  }
  JobFacts facts;
  facts.team = "schools";
  facts.cpu = 3300;
  facts.duration = Ms(800);
  if (HasTrouble()) {
    site.store.GoDownAfterNextWrite(kDown);
  }
  const int status = site.SubmitOnce(instance, "/quotes/", id, "key-1",
                                     Job("quote", Step(2, 3300, 800)), facts);
  // The caller does not send the job again.
  const bool has_run =
      Await(kDown + Ms(6000), [&]() { return site.RunsJob(id); });
  const bool is_rejected = status == 429 || status == 503;
  const bool is_broken = is_rejected && has_run;
  record.Line(std::string(is_broken ? "BROKEN" : "HELD") +
              ": the only request was answered " + std::to_string(status) +
              (has_run ? ", the job runs" : ", the job does not run"));
  return is_broken ? 1 : 0;
}

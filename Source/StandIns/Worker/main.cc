// standin-worker: stand-ins for the backend servers of one pool, on consecutive
// ports of 127.0.0.1. Registers them in the instance list.

#include <csignal>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "Core/Common/json.h"
#include "Core/Common/logging.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "StandIns/Worker/worker_server.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"

ABSL_FLAG(std::string, pool, "", "name of the pool");
ABSL_FLAG(std::vector<std::string>,
          zones,
          {},
          "zone of each worker, separated by commas");
ABSL_FLAG(std::uint16_t, base_port, 19000, "port of the first worker");
ABSL_FLAG(int, slots, 8, "slots of each worker");
ABSL_FLAG(int, reboot_ms, 1000, "duration of a reboot in milliseconds");
ABSL_FLAG(std::string,
          instances,
          "127.0.0.1:18001",
          "IP:PORT of the instance list");

namespace daisyroad {
namespace {

constexpr int kWorkersPerRack = 4;

std::string RegistrationBody(const std::string& name,
                             const std::string& zone,
                             int index,
                             bool leaving) {
  const std::string pool = absl::GetFlag(FLAGS_pool);
  Json::Value body;
  body["Name"] = "worker";
  body["ID"] = name;
  body["Address"] = "127.0.0.1";
  body["Port"] = absl::GetFlag(FLAGS_base_port) + index;
  body["Meta"]["zone"] = zone;
  body["Meta"]["rack"] =
      zone + "-" + pool + "-rack-" + std::to_string(index / kWorkersPerRack);
  body["Meta"]["pool"] = pool;
  body["Meta"]["state"] = leaving ? "leaving" : "live";
  return WriteJson(body);
}

// Retries until the instance list has accepted the registration.
void Register(EventLoop* loop, HttpClient* http, const std::string& body) {
  HttpClientRequest request;
  request.method = "PUT";
  request.url =
      "http://" + absl::GetFlag(FLAGS_instances) + "/v1/agent/service/register";
  request.body = body;
  http->Send(request, [=](const Result<HttpResponse>& response) {
    if (!response.ok() || response.value().status != 200) {
      loop->After(Milliseconds(500), [=]() { Register(loop, http, body); });
    }
  });
}

int Main() {
  InitializeLogging(LogLevel::kWarning);
  EventLoop loop;
  HttpClient http(
      [&loop](const std::function<void()>& function) { loop.Post(function); });
  std::vector<std::unique_ptr<WorkerServer>> workers;
  const std::vector<std::string> zones = absl::GetFlag(FLAGS_zones);
  for (std::size_t i = 0; i < zones.size(); ++i) {
    const int index = static_cast<int>(i);
    const std::string& zone = zones[i];
    WorkerServer::Options options;
    options.name = absl::GetFlag(FLAGS_pool) + "-" + std::to_string(index + 1);
    options.port =
        static_cast<std::uint16_t>(absl::GetFlag(FLAGS_base_port) + index);
    options.slots = absl::GetFlag(FLAGS_slots);
    options.reboot_time = Milliseconds(absl::GetFlag(FLAGS_reboot_ms));
    const std::string name = options.name;
    options.on_leaving_change = [&loop, &http, name, zone,
                                 index](bool leaving) {
      Register(&loop, &http, RegistrationBody(name, zone, index, leaving));
    };
    workers.push_back(std::make_unique<WorkerServer>(&loop, options));
    const Status started = workers.back()->Start();
    if (!started.ok()) {
      std::cerr << started.error().ToString() << "\n";
      return 1;
    }
    options.on_leaving_change(false);
  }
  loop.Every(Milliseconds(2), [&workers]() {
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (const std::unique_ptr<WorkerServer>& worker : workers) {
      worker->Tick(now);
    }
  });
  loop.OnSignals({SIGTERM, SIGINT}, [&loop](int) { loop.Stop(); });
  loop.Run();
  for (const std::unique_ptr<WorkerServer>& worker : workers) {
    worker->Stop();
  }
  return 0;
}

}  // namespace
}  // namespace daisyroad

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return daisyroad::Main();
}

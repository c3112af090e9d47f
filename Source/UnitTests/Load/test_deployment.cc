#include "UnitTests/Load/test_deployment.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "Core/Common/json.h"
#include "Core/Common/random.h"
#include "Core/Keys/key_hasher.h"
#include "Load/worker_fleet.h"

namespace daisyroad {
namespace {

constexpr char kOperatorSecret[] = "test-operator";
constexpr char kSalt[] = "00112233445566778899aabbccddeeff";
constexpr Milliseconds kAwaitTimeout{15000};
constexpr Milliseconds kPollInterval{100};

constexpr char kDeclaration[] = R"(site = "test"
regions = ["here"]

[[zones]]
name = "north"
region = "here"

[[zones]]
name = "south"
region = "here"

[[pools]]
name = "desk"
workers = { north = 2, south = 2 }
cores = 64
memory_gb = 128
slots = 8
connections = 64

[[services]]
name = "desk"
pool = "desk"
service_level = 0.99
max_down = 1

[[queues]]
name = "confirmations"
service = "desk"
class = "urgent"

[[queues]]
name = "quotes"
service = "desk"
class = "urgent"
idempotent = true

[[queues]]
name = "runs"
service = "desk"
class = "long"
idempotent = true

[[teams]]
name = "shop"
share = 2
upper_limit = 20
queues = ["confirmations", "quotes", "runs"]

[[teams]]
name = "office"
share = 1
upper_limit = 20
queues = ["confirmations", "quotes", "runs"]
)";

const char* ZoneOf(int index) {
  return index % 2 == 0 ? "north" : "south";
}

bool IsFree(int port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int reuse = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  const bool bound = ::bind(listener, reinterpret_cast<sockaddr*>(&address),
                            sizeof(address)) == 0;
  ::close(listener);
  return bound;
}

// Returns the first of `count` consecutive free ports below the ephemeral port
// range.
int FindPorts(int count) {
  constexpr int kLowest = 20000;
  constexpr int kRange = 12000;
  for (int i = 0; i < kRange; i += count) {
    const int first = kLowest + (::getpid() * 37 + i) % (kRange - count);
    int free = 0;
    while (free < count && IsFree(first + free)) {
      ++free;
    }
    if (free == count) {
      return first;
    }
  }
  throw std::runtime_error("no consecutive free ports found");
}

std::string MakeFolder() {
  std::string path =
      std::filesystem::temp_directory_path() / "daisyroad-test-XXXXXX";
  if (::mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot create a folder for settings");
  }
  return path;
}

// Repeats `attempt` until it returns true. Throws an exception with `what`
// after kAwaitTimeout.
template <typename Attempt>
void Await(const std::string& what, const Attempt& attempt) {
  const MonotonicTime until = std::chrono::steady_clock::now() + kAwaitTimeout;
  while (!attempt()) {
    if (std::chrono::steady_clock::now() > until) {
      throw std::runtime_error(what + " within 15 s");
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace

TestDeployment::TestDeployment(std::uint64_t seed, StorePath store_path)
    : seed(seed),
      store_path(store_path),
      base_port(FindPorts(kPorts)),
      folder(MakeFolder()) {
  this->StartPlatform();
  if (store_path == StorePath::kLinks) {
    this->StartLinks();
  }
  for (int i = 0; i < kEntries; ++i) {
    this->entries.push_back(this->StartEntry(i));
  }
  this->Declare();
  this->AwaitReady();
  this->IssueKeys();
  this->AwaitKeys();
}

TestDeployment::~TestDeployment() {
  this->entries.clear();
  this->links.clear();
  this->platform.clear();
  // The variable keeps settings and logs for inspection.
  if (std::getenv("DAISYROAD_KEEP_TEST_FILES") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
}

std::string TestDeployment::AddressOf(int offset) const {
  return "127.0.0.1:" + std::to_string(this->base_port + offset);
}

std::string TestDeployment::OutputOf(const std::string& name) const {
  return this->folder + "/" + name + ".log";
}

void TestDeployment::StartPlatform() {
  const auto port = [this](int offset) {
    return std::to_string(this->base_port + offset);
  };
  this->platform.push_back(std::make_unique<ChildProcess>(
      "standin-store", std::vector<std::string>{"--port=" + port(kStorePort)},
      this->OutputOf("store")));
  this->platform.push_back(std::make_unique<ChildProcess>(
      "standin-instances",
      std::vector<std::string>{"--port=" + port(kInstancesPort),
                               "--lag_ms=500"},
      this->OutputOf("instances")));
  this->platform.push_back(std::make_unique<ChildProcess>(
      "standin-worker",
      std::vector<std::string>{
          "--pool=desk", "--zones=north,south,north,south",
          "--base_port=" + port(kFirstWorkerPort),
          "--instances=" + this->AddressOf(kInstancesPort)},
      this->OutputOf("workers")));
}

std::unique_ptr<ChildProcess> TestDeployment::StartEntry(int index) {
  const std::string name = "entry-" + std::to_string(index);
  const std::string settings = this->folder + "/" + name + ".toml";
  std::ofstream(settings) << this->EntrySettings(index);
  return std::make_unique<ChildProcess>(
      "daisyroad",
      std::vector<std::string>{
          "--settings=" + settings,
          std::string("--bootstrap_operator_key=boot:") + kSalt + ":" +
              KeyHasher::Hash(kOperatorSecret, kSalt).digest},
      this->OutputOf(name));
}

void TestDeployment::RestartEntry(int index) {
  this->entries[index].reset();
  this->entries[index] = this->StartEntry(index);
}

void TestDeployment::StartLinks() {
  for (int i = 0; i < kEntries; ++i) {
    this->links.push_back(std::make_unique<ChildProcess>(
        "standin-link",
        std::vector<std::string>{
            "--port=" + std::to_string(this->base_port + kFirstLinkPort + i),
            "--target=" + std::to_string(this->base_port + kStorePort)},
        this->OutputOf("link-" + std::to_string(i))));
  }
}

std::string TestDeployment::EntrySettings(int index) const {
  std::string text =
      "[instance]\nname = \"entry-" + std::to_string(index) + "\"\nzone = \"" +
      ZoneOf(index) + "\"\nregion = \"here\"\n\n[listen]\ncallers = \"" +
      this->AddressOf(kFirstCallerPort + index) + "\"\npeers = \"" +
      this->AddressOf(kFirstPeerPort + index) +
      "\"\n\n[store]\naddresses = [\"" +
      (this->store_path == StorePath::kLinks
           ? this->AddressOf(kFirstLinkPort + index)
           : this->store()) +
      "\"]\n\n[instance_list]\naddress = \"" + this->AddressOf(kInstancesPort) +
      "\"\n";
  for (int i = 0; i < kEntries; ++i) {
    if (i != index) {
      text += "\n[[seeds]]\naddress = \"" +
              this->AddressOf(kFirstPeerPort + i) + "\"\nzone = \"" +
              ZoneOf(i) + "\"\n";
    }
  }
  return text;
}

void TestDeployment::AwaitReady() {
  for (int i = 0; i < kEntries; ++i) {
    HttpClientRequest request;
    request.url = "http://" + this->AddressOf(kFirstCallerPort + i) + "/readyz";
    Await("no readiness from entry instance " + std::to_string(i), [&]() {
      const Result<HttpResponse> answer = this->http.Send(request);
      return answer.ok() && answer.value().status == 200;
    });
  }
}

void TestDeployment::Declare() {
  Json::Value body;
  body["text"] = kDeclaration;
  this->CallOperatorApi("POST", "declaration", body);
}

void TestDeployment::IssueKeys() {
  for (const char* team : {"shop", "office"}) {
    Json::Value body;
    body["team"] = team;
    const Json::Value key = this->CallOperatorApi("POST", "keys", body);
    this->secrets[TeamName(team)] = key["secret"].asString();
    this->key_ids[TeamName(team)] = key["id"].asString();
  }
}

void TestDeployment::AwaitKeys() {
  for (int i = 0; i < kEntries; ++i) {
    Await("no team keys on entry instance " + std::to_string(i), [&]() {
      const Result<Json::Value> keys = this->http.Call(
          "GET",
          "http://" + this->AddressOf(kFirstCallerPort + i) + "/v1/ops/keys",
          Json::Value(), kOperatorSecret);
      return keys.ok() && keys.value().size() == this->secrets.size();
    });
  }
}

Json::Value TestDeployment::CallOperatorApi(const std::string& method,
                                            const std::string& path,
                                            const Json::Value& body) {
  Json::Value answer;
  Await("operator call " + path + " did not succeed", [&]() {
    const Result<Json::Value> result = this->http.Call(
        method,
        "http://" + this->AddressOf(kFirstCallerPort) + "/v1/ops/" + path, body,
        kOperatorSecret);
    if (result.ok()) {
      answer = result.value();
    }
    return result.ok();
  });
  return answer;
}

std::vector<PlannedCall> TestDeployment::Calls(Milliseconds length,
                                               int rate) const {
  Random random(this->seed);
  const char* queues[] = {"confirmations", "confirmations", "quotes", "runs"};
  const std::int64_t count = length.count() * rate / 1000;
  std::vector<PlannedCall> calls;
  for (std::int64_t i = 0; i < count; ++i) {
    PlannedCall call;
    call.at = Milliseconds(i * length.count() / count);
    call.echo = "t" + std::to_string(this->seed) + "-" + std::to_string(i);
    call.team = TeamName(random.Chance(0.5) ? "shop" : "office");
    call.queue = QueueName(queues[random.Below(4)]);
    call.idempotent = call.queue.str() != "confirmations";
    call.run = Milliseconds(50 + random.Below(350));
    call.answer_bytes = static_cast<int>(random.Below(2000));
    calls.push_back(std::move(call));
  }
  return calls;
}

LoadRunResult TestDeployment::Play(const std::vector<PlannedCall>& calls,
                                   const std::vector<ScriptedEvent>& events) {
  CallSettings settings;
  EventPlayer::Options options;
  for (int i = 0; i < kEntries; ++i) {
    settings.entries.push_back(this->AddressOf(kFirstCallerPort + i));
  }
  settings.secrets = this->secrets;
  settings.seed = this->seed;
  options.entries = settings.entries;
  options.operator_secret = kOperatorSecret;
  options.key_ids = this->key_ids;
  return PlayLoad(settings, calls, options, events);
}

std::vector<StartRecord> TestDeployment::Starts() {
  std::vector<ListedInstance> fleet;
  for (int i = 0; i < kWorkers; ++i) {
    ListedInstance worker;
    worker.name = WorkerName("desk-" + std::to_string(i + 1));
    worker.address = this->worker(i);
    worker.zone = ZoneName(ZoneOf(i));
    worker.initial_pool = PoolName("desk");
    fleet.push_back(std::move(worker));
  }
  const Result<std::vector<StartRecord>> starts =
      FetchStartRecords(&this->http, fleet);
  if (!starts.ok()) {
    throw std::runtime_error(starts.error().ToString());
  }
  return starts.value();
}

AuditReport TestDeployment::Audit(const LoadRunResult& run) {
  return AuditRun(run, this->Starts());
}

}  // namespace daisyroad

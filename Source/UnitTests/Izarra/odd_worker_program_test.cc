// The program with one odd entry among those of the workers.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>

#include "Core/Common/json.h"
#include "Load/blocking_http.h"
#include "UnitTests/Izarra/platform_stand_in.h"
#include "UnitTests/Load/child_process.h"

namespace daisyroad::platform {
namespace {

constexpr char kWorker[] = "i-good";
constexpr char kWorkerKey[] = "servers/i-good";
constexpr char kOddKey[] = "servers/i-odd";
constexpr char kPool[] = "pool-a";
constexpr Milliseconds kPollInterval{20};
constexpr Milliseconds kStartTimeout{15000};
constexpr Milliseconds kStopTimeout{10000};
// Longer than the interval at which the workers are read.
constexpr Milliseconds kReadTime{600};
// The longest lease of a worker: what a successor waits for a worker that may
// still run tasks.
constexpr Milliseconds kLease{6000};
constexpr int kNestingDepth = 100000;

bool IsFree(std::uint16_t port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_bound = ::bind(listener, reinterpret_cast<sockaddr*>(&address),
                               sizeof(address)) == 0;
  ::close(listener);
  return is_bound;
}

// Returns a port below the ephemeral range, so that no connection takes it
// before the program listens there.
std::uint16_t FreePort() {
  constexpr int kLowest = 20000;
  constexpr int kRange = 12000;
  static int next = ::getpid() * 37;
  for (int i = 0; i < kRange; ++i) {
    const std::uint16_t port =
        static_cast<std::uint16_t>(kLowest + next++ % kRange);
    if (IsFree(port)) {
      return port;
    }
  }
  throw std::runtime_error("no free port found");
}

std::string LocalAddress(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

bool AwaitFor(Milliseconds timeout, const std::function<bool()>& condition) {
  const MonotonicTime until = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

// One entry instance beside the stand-in of its platform.
class Deployment {
 public:
  Deployment()
      : platform(kWorker),
        folder(std::filesystem::temp_directory_path() /
               "daisyroad-odd-XXXXXX") {
    if (::mkdtemp(this->folder.data()) == nullptr) {
      throw std::runtime_error("cannot create a folder for settings");
    }
    this->platform.Put(
        "op/config",
        std::string(R"({"Version":7,"Routes":[{"Name":"q","Host":"h",)") +
            R"("Prefix":"/q/","Service":")" + kPool +
            R"(","MaxAttempts":3,"Stretch":2.0,"Public":true,)"
            R"("TargetDurationMs":600}],"Services":[{"Name":")" +
            kPool + R"("}],"Tenants":[]})");
  }

  ~Deployment() {
    this->process.reset();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }

  void Start() {
    const std::string settings = this->folder + "/entry.toml";
    this->callers = LocalAddress(FreePort());
    std::ofstream(settings)
        << "node = \"entry-1\"\nzone = \"zone-a\"\nstop_grace = \"3s\"\n"
        << "[listen]\ncallers = \"" << this->callers << "\"\nreadiness = \""
        << LocalAddress(FreePort()) << "\"\npeers = \""
        << LocalAddress(FreePort()) << "\"\n[platform]\nstore = \""
        << this->platform.address() << "\"\nmachines = \""
        << this->platform.address() << "\"\n[workers]\nlease = \""
        << kLease.count() << "ms\"\n";
    this->process = std::make_unique<ChildProcess>(
        "daisyroad-izarra", std::vector<std::string>{"--settings=" + settings},
        this->OutputFile());
  }

  void Stop() {
    ::kill(this->process->id(), SIGTERM);
    REQUIRE(this->process->WaitForExit(kStopTimeout) == 0);
  }

  bool IsRunning() {
    return this->process->WaitForExit(Milliseconds(0)) ==
           ChildProcess::kStillRunning;
  }

  // Submits a job of one task until it is accepted. Returns the task's name.
  std::string Submit() {
    std::ostringstream id;
    id << std::hex << (0x5c0e7a2100000000U + ++this->jobs);
    HttpClientRequest request;
    request.method = "POST";
    request.url = "http://" + this->callers + "/q/" + id.str();
    request.headers["Host"] = "h";
    request.body = R"({"Spec":"x","Steps":[{"Count":1,"Cpu":500}]})";
    REQUIRE(AwaitFor(kStartTimeout, [&]() {
      const Result<HttpResponse> response = this->http.Send(request);
      return response.ok() && response.value().status == 200;
    }));
    return id.str() + ".0.0.0";
  }

  bool IsStarted(const std::string& task) const {
    const std::vector<std::string> starts = this->platform.Starts();
    return std::find(starts.begin(), starts.end(), task) != starts.end();
  }

  std::string Output() const {
    std::ostringstream text;
    text << std::ifstream(this->OutputFile()).rdbuf();
    return text.str();
  }

  int CountLines(const std::string& pattern) const {
    std::istringstream lines(this->Output());
    int count = 0;
    for (std::string line; std::getline(lines, line);) {
      count += line.find(pattern) != std::string::npos;
    }
    return count;
  }

  // Waits until the entries of the workers have been read and adopted.
  bool AwaitReads() const {
    const int before = this->platform.WorkerReads();
    return AwaitFor(kStartTimeout, [&]() {
      return this->platform.WorkerReads() >= before + 3;
    });
  }

  PlatformStandIn platform;

 private:
  std::string OutputFile() const { return this->folder + "/entry.log"; }

  std::string folder;
  std::string callers;
  std::uint64_t jobs = 0;
  BlockingHttp http;
  std::unique_ptr<ChildProcess> process;
};

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string Nested(const std::string& open, const std::string& close) {
  std::string text;
  for (int i = 0; i < kNestingDepth; ++i) {
    text += open;
  }
  text += "1";
  for (int i = 0; i < kNestingDepth; ++i) {
    text += close;
  }
  return text;
}

// Submits a job and checks that it starts on the worker while the process and
// its list of workers hold.
void CheckServes(Deployment* deployment) {
  const std::string good = deployment->platform.WorkerEntry(kPool);
  // A worker that drains gets nothing, so the list is followed.
  deployment->platform.Put(kWorkerKey,
                           Replaced(good, "\"ready\"", "\"draining\""));
  REQUIRE(deployment->AwaitReads());
  const std::string task = deployment->Submit();
  std::this_thread::sleep_for(kReadTime);
  CHECK_FALSE(deployment->IsStarted(task));
  deployment->platform.Put(kWorkerKey, good);
  CHECK(AwaitFor(kStartTimeout, [&]() { return deployment->IsStarted(task); }));
  REQUIRE(deployment->IsRunning());
}

TEST_CASE("The program lives and follows its workers beside an odd entry",
          "[lives]") {
  Deployment deployment;
  const std::string good = deployment.platform.WorkerEntry(kPool);
  deployment.platform.Put(kWorkerKey, good);
  deployment.Start();
  CheckServes(&deployment);
  const std::string address = deployment.platform.address();
  for (const std::string& odd :
       {Nested("[", "]"), Nested("{\"a\":", "}"),
        Replaced(good, "16000", Nested("[", "]")),
        Replaced(good, "16000", "1e400"), Replaced(good, "16000", "1e30"),
        Replaced(good, "16000", "9223372036854775807"),
        Replaced(good, "16000", "-9223372036854775808"),
        Replaced(good, "32768", "99999999999999999999"),
        Replaced(good, "\"Seq\":4", "\"Seq\":1e400"),
        Replaced(good, address, "127.0.0.1:99999"),
        Replaced(good, address, "127.0.0.1:0"),
        Replaced(good, address, "127.0.0.1:-1"),
        Replaced(good, address, "127.0.0.1:80\\r\\nX-Odd: 1"),
        Replaced(good, address, ""), Replaced(good, address, "127.0.0.1:1"),
        Replaced(good, address, "worker.example:80"),
        std::string("\xff\xfe\0", 3), std::string()}) {
    CAPTURE(odd.substr(0, 300));
    deployment.platform.Put(kOddKey, odd);
    CheckServes(&deployment);
  }
  deployment.platform.Remove(kOddKey);
  CheckServes(&deployment);
  // In the place of the worker's own entry for a while.
  for (const std::string& odd :
       {Nested("[", "]"), Replaced(good, address, "127.0.0.1:99999")}) {
    deployment.platform.Put(kWorkerKey, odd);
    REQUIRE(deployment.AwaitReads());
    CheckServes(&deployment);
  }
  CHECK(deployment.CountLines("event=start ") == 1);
}

TEST_CASE("An odd entry that stays is logged once", "[logged]") {
  Deployment deployment;
  deployment.platform.Put(kWorkerKey, deployment.platform.WorkerEntry(kPool));
  deployment.Start();
  CheckServes(&deployment);
  for (int i = 0; i < 3; ++i) {
    deployment.platform.Put(kOddKey, "[" + std::to_string(i));
    REQUIRE(deployment.AwaitReads());
  }
  CHECK(deployment.CountLines("worker_unreadable") == 1);
}

TEST_CASE("A worker with a port out of range is neither asked nor remembered",
          "[port]") {
  Deployment deployment;
  const std::string good = deployment.platform.WorkerEntry(kPool);
  deployment.platform.Put(kWorkerKey, good);
  deployment.Start();
  CheckServes(&deployment);
  deployment.platform.Put(kOddKey, Replaced(good, deployment.platform.address(),
                                            "127.0.0.1:99999"));
  REQUIRE(deployment.AwaitReads());
  CheckServes(&deployment);
  CHECK(deployment.CountLines("worker_unreadable") == 1);
  CHECK(deployment.CountLines("worker_unreachable") == 0);
  const std::string remembered =
      deployment.platform.Value(std::string("daisyroad/workers/") + kPool);
  CHECK(remembered.find("i-good") != std::string::npos);
  CHECK(remembered.find("i-odd") == std::string::npos);
}

TEST_CASE("A successor does not wait for a worker with a port out of range",
          "[successor]") {
  Deployment deployment;
  const std::string good = deployment.platform.WorkerEntry(kPool);
  deployment.platform.Put(kOddKey, Replaced(good, deployment.platform.address(),
                                            "127.0.0.1:99999"));
  deployment.Start();
  const std::string task = deployment.Submit();
  REQUIRE(AwaitFor(kStartTimeout, [&]() {
    return deployment.CountLines("event=pool_ready") == 1;
  }));
  REQUIRE(deployment.AwaitReads());
  std::this_thread::sleep_for(kReadTime);
  deployment.Stop();
  deployment.platform.Put(kWorkerKey, good);
  deployment.Start();
  REQUIRE(AwaitFor(kStartTimeout, [&]() {
    return deployment.CountLines("event=pool_ready") == 2;
  }));
  CHECK(AwaitFor(kLease / 2, [&]() { return deployment.IsStarted(task); }));
  CHECK(AwaitFor(kStartTimeout, [&]() { return deployment.IsStarted(task); }));
}

}  // namespace
}  // namespace daisyroad::platform

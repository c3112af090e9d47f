#include "UnitTests/Izarra/deployment.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

#include "Core/Common/json.h"
#include "UnitTests/Load/child_process.h"

namespace daisyroad::platform {
namespace {

constexpr char kWorker[] = "i-good";
constexpr Milliseconds kPollInterval{20};
constexpr Milliseconds kStartTimeout{15000};
constexpr Milliseconds kStopTimeout{10000};
constexpr Milliseconds kCallerDeadline{3000};

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

}  // namespace

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

Deployment::Deployment()
    : platform(kWorker),
      folder(std::filesystem::temp_directory_path() /
             "daisyroad-entry-XXXXXX") {
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

Deployment::~Deployment() {
  this->process.reset();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

void Deployment::Start(const std::string& store_address,
                       const std::string& more_settings) {
  const std::string settings = this->folder + "/entry.toml";
  this->callers = LocalAddress(FreePort());
  std::ofstream(settings)
      << "node = \"entry-1\"\nzone = \"zone-a\"\nstop_grace = \"3s\"\n"
      << "[listen]\ncallers = \"" << this->callers << "\"\nreadiness = \""
      << LocalAddress(FreePort()) << "\"\npeers = \""
      << LocalAddress(FreePort()) << "\"\n[platform]\nstore = \""
      << (store_address.empty() ? this->platform.address() : store_address)
      << "\"\nmachines = \"" << this->platform.address()
      << "\"\n[workers]\nlease = \"" << kWorkerLease.count() << "ms\"\n"
      << more_settings;
  this->process = std::make_unique<ChildProcess>(
      "daisyroad-izarra", std::vector<std::string>{"--settings=" + settings},
      this->OutputFile());
}

void Deployment::Stop() {
  ::kill(this->process->id(), SIGTERM);
  REQUIRE(this->process->WaitForExit(kStopTimeout) == 0);
}

bool Deployment::IsRunning() {
  return this->process->WaitForExit(Milliseconds(0)) ==
         ChildProcess::kStillRunning;
}

pid_t Deployment::process_id() const {
  return this->process->id();
}

HttpClientRequest Deployment::MakeSubmission(const std::string& job) const {
  HttpClientRequest request;
  request.method = "POST";
  request.url = "http://" + this->callers + "/q/" + job;
  request.headers["Host"] = "h";
  request.body = R"({"Spec":"x","Steps":[{"Count":1,"Cpu":500}]})";
  return request;
}

std::string Deployment::Submit() {
  std::ostringstream id;
  id << std::hex << (0x5c0e7a2100000000U + ++this->jobs);
  const HttpClientRequest request = this->MakeSubmission(id.str());
  REQUIRE(AwaitFor(kStartTimeout, [&]() {
    const Result<HttpResponse> response = this->http.Send(request);
    return response.ok() && response.value().status == 200;
  }));
  return id.str() + ".0.0.0";
}

int Deployment::SubmitOnce(const std::string& job) const {
  HttpClientRequest request = this->MakeSubmission(job);
  request.headers["X-Request-Deadline"] =
      std::to_string(kCallerDeadline.count());
  request.timeout = 2 * kCallerDeadline;
  BlockingHttp caller;
  const Result<HttpResponse> response = caller.Send(request);
  return response.ok() ? response.value().status : 0;
}

bool Deployment::IsStarted(const std::string& task) const {
  const std::vector<std::string> starts = this->platform.Starts();
  return std::find(starts.begin(), starts.end(), task) != starts.end();
}

std::string Deployment::Output() const {
  std::ostringstream text;
  text << std::ifstream(this->OutputFile()).rdbuf();
  return text.str();
}

int Deployment::CountLines(const std::string& pattern) const {
  std::istringstream lines(this->Output());
  int count = 0;
  for (std::string line; std::getline(lines, line);) {
    count += line.find(pattern) != std::string::npos;
  }
  return count;
}

bool Deployment::AwaitReads() const {
  const int before = this->platform.WorkerReads();
  return AwaitFor(kStartTimeout,
                  [&]() { return this->platform.WorkerReads() >= before + 3; });
}

}  // namespace daisyroad::platform

// The program with one odd entry among those of the workers.

#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "UnitTests/Izarra/deployment.h"

namespace daisyroad::platform {
namespace {

constexpr char kOddKey[] = "servers/i-odd";
constexpr Milliseconds kStartTimeout{15000};
// Longer than the interval at which the workers are read.
constexpr Milliseconds kReadTime{600};
constexpr int kNestingDepth = 100000;

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
  CHECK(
      AwaitFor(kWorkerLease / 2, [&]() { return deployment.IsStarted(task); }));
  CHECK(AwaitFor(kStartTimeout, [&]() { return deployment.IsStarted(task); }));
}

}  // namespace
}  // namespace daisyroad::platform

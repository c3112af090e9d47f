#include "Core/Entry/monitored_worker_client.h"

#include <catch2/catch.hpp>

#include "UnitTests/Dispatch/dispatch_fixture.h"

namespace daisyroad {
namespace {

class Watched {
 public:
  Watched() {
    this->fixture.context.settings.worker_request_timeout = Milliseconds(100);
    this->client.Watch([this](const std::string& address, const WorkerStatus&) {
      this->silent.push_back(address);
    });
  }

  void Renew() {
    this->client.RenewLeases("w0:1", "entry", {}, Milliseconds(1),
                             WorkerClock(0), [](const Result<LeaseReply>&) {});
  }
  void Poll() {
    this->client.WaitFinished("w0:1", "entry", {}, Milliseconds(10000),
                              [](const Result<std::vector<TaskReport>>&) {});
  }
  void Run(Milliseconds time) { this->fixture.loop.RunFor(time); }
  FakeWorkers& workers() { return this->fixture.workers; }

  DispatchFixture fixture{1};
  MonitoredWorkerClient client{&this->fixture.context, &this->fixture.workers};
  std::vector<std::string> silent;
};

// Guards against a connection that stays open, carries nothing and is used
// until its requests run out of time one after the other.
TEST_CASE("An unanswered request is probed on a new connection") {
  Watched watched;
  watched.Renew();
  watched.Run(Milliseconds(50));
  CHECK(watched.workers().statuses.empty());
  watched.Run(Milliseconds(150));
  REQUIRE(watched.workers().statuses.size() == 1);
  CHECK(watched.workers().statuses[0].fresh_connection);
  watched.workers().statuses[0].answer(WorkerStatus());
  CHECK(watched.silent == std::vector<std::string>{"w0:1"});
  CHECK(watched.workers().retired == std::vector<std::string>{"w0:1"});
  CHECK(watched.fixture.Logged("verdict=silent"));
}

// Guards against blaming the connection for a worker that is dead, or for one
// that answers late but before the probe ends.
TEST_CASE("A dead or slow worker is not taken for a silent connection") {
  Watched watched;
  watched.Renew();
  watched.Run(Milliseconds(200));
  REQUIRE(watched.workers().statuses.size() == 1);
  SECTION("dead") {
    watched.workers().statuses[0].answer(
        Error{Errc::kUnavailable, "worker.status", "", "refused"});
  }
  SECTION("late") {
    watched.workers().leases[0].answer(LeaseReply());
    watched.workers().statuses[0].answer(WorkerStatus());
  }
  CHECK(watched.silent.empty());
  CHECK(watched.workers().retired.empty());
}

// Guards against probes because a long poll has nothing to report, and against
// a silent poll that goes unnoticed while a task has ended.
TEST_CASE("A poll is probed only when it owes an answer") {
  Watched watched;
  watched.Poll();
  watched.Run(Milliseconds(200));
  CHECK(watched.workers().statuses.empty());
  watched.client.ExpectFinished("w0:1");
  watched.Run(Milliseconds(200));
  CHECK(watched.workers().statuses.size() == 1);
}

}  // namespace
}  // namespace daisyroad

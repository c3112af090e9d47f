#include "Core/Entry/monitored_worker_client.h"

#include <catch2/catch.hpp>

#include "UnitTests/Dispatch/dispatch_fixture.h"

namespace daisyroad {
namespace {

class MonitoredClientFixture {
 public:
  MonitoredClientFixture() {
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

// Guards against reusing a connection that stays open but carries no data, so
// that one request after the other times out.
TEST_CASE("An unanswered request is probed on a new connection") {
  MonitoredClientFixture monitored;
  monitored.Renew();
  monitored.Run(Milliseconds(50));
  CHECK(monitored.workers().statuses.empty());
  monitored.Run(Milliseconds(150));
  REQUIRE(monitored.workers().statuses.size() == 1);
  CHECK(monitored.workers().statuses[0].fresh_connection);
  monitored.workers().statuses[0].answer(WorkerStatus());
  CHECK(monitored.silent == std::vector<std::string>{"w0:1"});
  CHECK(monitored.workers().retired == std::vector<std::string>{"w0:1"});
  CHECK(monitored.fixture.Logged("verdict=silent"));
}

// Guards against retiring connections because a worker is dead, or because it
// replies late but before the probe ends.
TEST_CASE("A dead or slow worker is not taken for a silent connection") {
  MonitoredClientFixture monitored;
  monitored.Renew();
  monitored.Run(Milliseconds(200));
  REQUIRE(monitored.workers().statuses.size() == 1);
  SECTION("dead") {
    monitored.workers().statuses[0].answer(
        Error{Errc::kUnavailable, "worker.status", "", "refused"});
  }
  SECTION("late") {
    monitored.workers().leases[0].answer(LeaseReply());
    monitored.workers().statuses[0].answer(WorkerStatus());
  }
  CHECK(monitored.silent.empty());
  CHECK(monitored.workers().retired.empty());
}

// Guards against probing because a long poll has nothing to report, and against
// missing a silent poll connection after a task has ended.
TEST_CASE("A poll is probed only when a reply to it is expected") {
  MonitoredClientFixture monitored;
  monitored.Poll();
  monitored.Run(Milliseconds(200));
  CHECK(monitored.workers().statuses.empty());
  monitored.client.ExpectFinished("w0:1");
  monitored.Run(Milliseconds(200));
  CHECK(monitored.workers().statuses.size() == 1);
}

}  // namespace
}  // namespace daisyroad

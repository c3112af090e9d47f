#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Core/Site/job_service.h"
#include "Core/Site/leadership.h"
#include "Core/Site/prefix_mirror.h"
#include "Core/Site/store_keys.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "Core/Transport/rpc_client.h"
#include "UnitTests/Site/fake_revision_store.h"

namespace daisyroad {
namespace {

constexpr std::size_t kMostRecordBytes = 10000;

const QueueName kQueue("queue");
const JobId kJob("job");

// The service of an instance that has no duties itself, for a pool without a
// scheduler.
class Fixture {
 public:
  Fixture()
      : store(&loop),
        http([this](std::function<void()> function) {
          this->loop.Post(std::move(function));
        }),
        rpc(&http),
        mirror(&store,
               &loop,
               "site/",
               Milliseconds(2000),
               [](const std::vector<StoreChange>&) {}),
        leadership(&store,
                   &loop,
                   &mirror,
                   "one",
                   "127.0.0.1:1",
                   1.0,
                   Leadership::Listener()),
        jobs(
            &store,
            &loop,
            &rpc,
            &leadership,
            [](const PoolName&) { return nullptr; },
            Milliseconds(5000),
            kMostRecordBytes) {
    SiteConfig config;
    config.queues[kQueue].name = kQueue;
    config.queues[kQueue].pool = PoolName("pool");
    config.queues[kQueue].is_open = true;
    OperatorState state;
    state.config = std::make_shared<const SiteConfig>(config);
    this->jobs.SetOperatorState(state, BootClock::now());
  }

  CallerRequest Request(Milliseconds time_left) const {
    CallerRequest request;
    request.queue = kQueue;
    request.job = kJob;
    request.deadline = std::chrono::steady_clock::now() + time_left;
    return request;
  }
  JobService::Callback Record() {
    return [this](const JobAnswer& received) { this->answer = received; };
  }

  EventLoop loop;
  FakeRevisionStore store;
  HttpClient http;
  RpcClient rpc;
  PrefixMirror mirror;
  Leadership leadership;
  JobService jobs;
  std::optional<JobAnswer> answer;
};

// Guards against questions that end without an answer because reads of the
// store take no account of the caller's deadline.
TEST_CASE("A question is answered before its deadline if the store is silent") {
  constexpr Milliseconds kDeadline{500};
  Fixture fixture;
  fixture.store.is_silent = true;
  fixture.jobs.AskStatus(fixture.Request(kDeadline), fixture.Record());
  fixture.loop.RunFor(kDeadline);
  REQUIRE(fixture.answer.has_value());
  CHECK(std::holds_alternative<RequestRefused>(*fixture.answer));
}

// Guards against cancellations that end without an answer for the same reason.
TEST_CASE("A cancellation is answered before its deadline in any case") {
  constexpr Milliseconds kDeadline{1000};
  Fixture silent;
  silent.store.is_silent = true;
  silent.jobs.Cancel(silent.Request(Milliseconds(500)), silent.Record());
  silent.loop.RunFor(Milliseconds(500));
  REQUIRE(silent.answer.has_value());
  CHECK(std::holds_alternative<RequestRefused>(*silent.answer));

  Fixture losing;
  losing.store.Put(JobKey(PoolName("pool"), kJob), "{}");
  losing.store.loses_answers = true;
  losing.jobs.Cancel(losing.Request(kDeadline), losing.Record());
  losing.loop.RunFor(kDeadline);
  REQUIRE(losing.answer.has_value());
  CHECK(std::holds_alternative<OutcomeUnknown>(*losing.answer));
}

// Guards against a job that is sent to the store again and again, which refuses
// its record each time, until the caller gives up.
TEST_CASE("A job that the store cannot hold is refused at once") {
  Fixture fixture;
  JobSpec spec;
  spec.steps.resize(1);
  spec.steps[0].task_count = 1;
  spec.payload.assign(kMostRecordBytes, 'x');
  fixture.jobs.Submit(fixture.Request(Milliseconds(60000)), spec,
                      fixture.Record());
  REQUIRE(fixture.answer.has_value());
  CHECK(std::holds_alternative<RequestInvalid>(*fixture.answer));
  CHECK(fixture.store.items.empty());

  Fixture other;
  spec.payload.resize(kMostRecordBytes - 1000);
  other.jobs.Submit(other.Request(Milliseconds(1000)), spec, other.Record());
  other.loop.RunFor(Milliseconds(500));
  REQUIRE(other.answer.has_value());
  CHECK(std::holds_alternative<JobAccepted>(*other.answer));
}

}  // namespace
}  // namespace daisyroad

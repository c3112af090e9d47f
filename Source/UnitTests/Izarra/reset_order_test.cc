#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "Core/Jobs/order.h"
#include "Core/Jobs/worker_listing.h"
#include "Core/Platform/run_client.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "UnitTests/Transport/resetting_server.h"
#include "platform/http_run_client.h"

namespace daisyroad::platform {
namespace {

constexpr Milliseconds kTimeout{10000};

// Guards against two runs of a task: the worker began the first one, reset the
// connection and refused what it got next (review/1).
TEST_CASE("A start order whose connection is reset has an unknown outcome") {
  for (const int status : {409, 421, 429, 503}) {
    CAPTURE(status);
    ResettingServer server(status, R"({"ClockMs":1000,"Reason":"room"})");
    EventLoop loop;
    HttpClient http(
        [&loop](std::function<void()> function) { loop.Post(function); });
    HttpRunClient client(&http);
    WorkerListing worker;
    worker.name = WorkerName("w");
    worker.address = server.address();
    StartRun order;
    order.worker = worker.name;
    order.task = TaskRef{JobId("5c0e7a21d94b36f8"), 0, 0, 0};
    order.run = 1;
    std::optional<StartOutcome> first;
    std::optional<StartOutcome> second;
    client.Start(worker, order, 1, [&](const StartAnswer& answer) {
      first = answer.outcome;
      order.task.index = 1;
      client.Start(worker, order, 1, [&](const StartAnswer& next) {
        second = next.outcome;
        loop.Stop();
      });
    });
    loop.RunFor(kTimeout);
    CHECK(first == StartOutcome::kStarted);
    CHECK(second == StartOutcome::kUnknown);
    CHECK(server.requests() == 2);
  }
}

}  // namespace
}  // namespace daisyroad::platform

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

// Guards against ends that the next process of a worker discards unread: it got
// an acknowledgement that was meant for the one before.
TEST_CASE("An acknowledgement whose connection is reset is not repeated") {
  for (const std::int64_t acknowledged : {0, 57}) {
    CAPTURE(acknowledged);
    ResettingServer server(200, R"({"ClockMs":1000,"Running":[],"Ended":[]})");
    EventLoop loop;
    HttpClient http(
        [&loop](std::function<void()> function) { loop.Post(function); });
    HttpRunClient client(&http);
    WorkerListing worker;
    worker.name = WorkerName("w");
    worker.address = server.address();
    AskReport order;
    order.worker = worker.name;
    std::optional<bool> is_answered;
    client.Report(worker, order, 1, [&](const Result<RunReport>&) {
      order.acknowledged = acknowledged;
      client.Report(worker, order, 1, [&](const Result<RunReport>& report) {
        is_answered = report.ok();
        loop.Stop();
      });
    });
    loop.RunFor(kTimeout);
    CHECK(is_answered == (acknowledged == 0));
    CHECK(server.requests() == (acknowledged == 0 ? 3 : 2));
  }
}

}  // namespace
}  // namespace daisyroad::platform

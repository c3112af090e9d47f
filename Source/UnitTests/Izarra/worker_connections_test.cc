#include <catch2/catch.hpp>
#include <string>

#include "Core/Common/metrics_registry.h"
#include "Core/Jobs/order.h"
#include "Core/Jobs/worker_listing.h"
#include "Core/Platform/run_client.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "Core/Transport/http_server.h"
#include "platform/http_run_client.h"

namespace daisyroad::platform {
namespace {

constexpr int kStartsPerBurst = 40;
constexpr int kBursts = 3;
// A worker accepts 64 connections from nine entry instances together.
constexpr int kMaxConnections = 7;

// Guards against a connection for each task of a burst (issue 19).
TEST_CASE("A burst of starts opens few connections to a worker") {
  HttpServer server;
  REQUIRE(server
              .Start(HttpServerOptions(),
                     [](const HttpRequest&, const HttpResponder& respond) {
                       HttpResponse response;
                       response.body = R"({"ClockMs":1000})";
                       respond(response);
                     })
              .ok());
  EventLoop loop;
  MetricsRegistry metrics;
  HttpClient http(
      [&loop](std::function<void()> function) { loop.Post(function); },
      &metrics);
  HttpRunClient client(&http);
  WorkerListing worker;
  worker.name = WorkerName("w");
  worker.address = "127.0.0.1:" + std::to_string(server.port());
  int started = 0;
  for (int burst = 0; burst < kBursts; ++burst) {
    int answered = 0;
    for (int i = 0; i < kStartsPerBurst; ++i) {
      StartRun order;
      order.worker = worker.name;
      order.task = TaskRef{JobId("5c0e7a21d94b36f8"), 0, burst, i};
      order.run = 1;
      client.Start(worker, order, 1, [&](const StartAnswer& answer) {
        started += answer.outcome == StartOutcome::kStarted ? 1 : 0;
        if (++answered == kStartsPerBurst) {
          loop.Stop();
        }
      });
    }
    loop.RunFor(std::chrono::seconds(10));
    REQUIRE(answered == kStartsPerBurst);
  }
  CHECK(started == kBursts * kStartsPerBurst);
  CHECK(metrics.Counter("daisyroad_http_connections_total",
                        "traffic=\"worker\"") <= kMaxConnections);
}

}  // namespace
}  // namespace daisyroad::platform

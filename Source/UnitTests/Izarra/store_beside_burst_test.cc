#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "Core/Common/metrics_registry.h"
#include "Core/Jobs/order.h"
#include "Core/Jobs/worker_listing.h"
#include "Core/Platform/revision_store.h"
#include "Core/Platform/run_client.h"
#include "Core/Site/site_settings.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_server.h"
#include "platform/platform_clients.h"

namespace daisyroad::platform {
namespace {

constexpr int kWorkers = 200;
constexpr int kStarts = 2000;
// Starts that may be answered before a call of the store that came last.
constexpr int kMaxStartsBefore = kStarts / 4;

void RespondToStart(const HttpRequest& /*request*/,
                    const HttpResponder& respond) {
  HttpResponse response;
  response.body = R"({"ClockMs":1000})";
  respond(response);
}

void RespondNotFound(const HttpRequest& /*request*/,
                     const HttpResponder& respond) {
  HttpResponse response;
  response.status = 404;
  respond(response);
}

// Guards against jobs and cancellations that stay unknown because calls of the
// store wait behind a burst of starts (issue 19).
TEST_CASE("A call of the store does not wait for the starts sent before it") {
  HttpServerOptions any_address;
  any_address.address = "0.0.0.0";
  HttpServer workers;
  REQUIRE(workers.Start(any_address, &RespondToStart).ok());
  HttpServer store;
  REQUIRE(store.Start(HttpServerOptions(), &RespondNotFound).ok());
  EventLoop loop;
  MetricsRegistry metrics;
  SiteSettings settings;
  settings.store_address = "127.0.0.1:" + std::to_string(store.port());
  PlatformClients clients(settings, &loop, &metrics);
  int answered = 0;
  for (int i = 0; i < kStarts; ++i) {
    WorkerListing worker;
    worker.name = WorkerName("w" + std::to_string(i % kWorkers));
    worker.address = "127.0.1." + std::to_string(i % kWorkers + 1) + ":" +
                     std::to_string(workers.port());
    StartRun order;
    order.worker = worker.name;
    order.task = TaskRef{JobId("5c0e7a21d94b36f8"), 0, 0, i};
    order.run = 1;
    clients.workers.Start(worker, order, 1, [&](const StartAnswer&) {
      if (++answered == kStarts) {
        loop.Stop();
      }
    });
  }
  std::optional<int> answered_before;
  clients.store.Get("key", std::chrono::seconds(10),
                    [&](const Result<std::optional<StoreItem>>& item) {
                      CHECK(item.ok());
                      answered_before = answered;
                    });
  loop.RunFor(std::chrono::seconds(30));
  REQUIRE(answered == kStarts);
  REQUIRE(answered_before);
  CHECK(*answered_before <= kMaxStartsBefore);
}

}  // namespace
}  // namespace daisyroad::platform

#include <catch2/catch.hpp>
#include <ctime>
#include <mutex>
#include <vector>

#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "Core/Transport/http_server.h"

namespace daisyroad {
namespace {

constexpr int kHeldRequests = 300;
constexpr int kRequests = 500;
// An event may cost twice as much as alone, not a share of all that wait.
constexpr double kMaxCostRatio = 2.0;

double ProcessCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

// Sends requests to `url` one after the other and returns the CPU time that
// they took in this process.
double MeasureRequests(const std::string& url,
                       HttpClient* client,
                       EventLoop* loop) {
  HttpClientRequest request;
  request.url = url;
  int left = kRequests;
  std::function<void()> send;
  send = [&]() {
    client->Send(request, [&](const Result<HttpResponse>& response) {
      REQUIRE(response.ok());
      if (--left == 0) {
        loop->Stop();
      } else {
        send();
      }
    });
  };
  const double begun = ProcessCpuSeconds();
  send();
  loop->RunFor(std::chrono::seconds(60));
  REQUIRE(left == 0);
  return ProcessCpuSeconds() - begun;
}

// Guards against a client that spends its CPU time on requests that wait for
// their response, such as the reports of all workers of a pool (issue 19).
TEST_CASE("The cost of a request does not grow with the requests that wait") {
  std::mutex mutex;
  std::vector<HttpResponder> held;
  HttpServer server;
  REQUIRE(
      server
          .Start(HttpServerOptions(),
                 [&](const HttpRequest& request, const HttpResponder& respond) {
                   if (request.path == "/held") {
                     const std::lock_guard<std::mutex> lock(mutex);
                     held.push_back(respond);
                   } else {
                     respond(HttpResponse());
                   }
                 })
          .ok());
  const std::string base = "http://127.0.0.1:" + std::to_string(server.port());
  EventLoop loop;
  HttpClient client(
      [&loop](std::function<void()> function) { loop.Post(function); });
  MeasureRequests(base + "/", &client, &loop);
  const double alone = MeasureRequests(base + "/", &client, &loop);
  HttpClientRequest request;
  request.url = base + "/held";
  request.timeout = std::chrono::minutes(5);
  for (int i = 0; i < kHeldRequests; ++i) {
    client.Send(request, [](const Result<HttpResponse>&) {});
  }
  while (true) {
    loop.RunFor(Milliseconds(20));
    const std::lock_guard<std::mutex> lock(mutex);
    if (held.size() == kHeldRequests) {
      break;
    }
  }
  CHECK(MeasureRequests(base + "/", &client, &loop) <= kMaxCostRatio * alone);
}

}  // namespace
}  // namespace daisyroad

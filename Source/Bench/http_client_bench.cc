// Measures the processor time that the HTTP client takes for each order to a
// worker, beside report requests that the workers hold.

#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <ctime>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "Bench/bench_registry.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "Core/Transport/http_server.h"

namespace daisyroad {
namespace {

constexpr int kWorkers = 40;
constexpr int kOrdersInProgress = 120;
constexpr int kOrders = 20000;
constexpr int kOrdersPerWorker = 6;
// Half of a core carries 2,000 orders a second and has time left to decide.
constexpr double kMaxMicroseconds = 100.0;

double CpuMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

// Serves as workers until its standard input is closed.
void ServeWorkers(int ports, int until_closed) {
  std::vector<HttpServer> servers(kWorkers);
  std::mutex mutex;
  std::vector<HttpResponder> held;
  for (HttpServer& server : servers) {
    const Status status = server.Start(
        HttpServerOptions(),
        [&](const HttpRequest& request, const HttpResponder& respond) {
          if (request.path == "/held") {
            const std::lock_guard<std::mutex> lock(mutex);
            held.push_back(respond);
            return;
          }
          HttpResponse response;
          response.body = R"({"ClockMs":1000})";
          respond(response);
        });
    const int port = status.ok() ? server.port() : 0;
    if (write(ports, &port, sizeof(port)) != sizeof(port)) {
      return;
    }
  }
  char byte = 0;
  static_cast<void>(read(until_closed, &byte, 1));
}

std::vector<BenchResult> RunHttpClientBench(std::uint64_t seed) {
  int ports[2];
  int stop[2];
  if (pipe(ports) != 0 || pipe(stop) != 0) {
    return {};
  }
  const pid_t child = fork();
  if (child == 0) {
    close(stop[1]);
    ServeWorkers(ports[1], stop[0]);
    _exit(0);
  }
  close(stop[0]);
  std::vector<std::string> urls;
  for (int i = 0; i < kWorkers; ++i) {
    int port = 0;
    if (read(ports[0], &port, sizeof(port)) == sizeof(port)) {
      urls.push_back("http://127.0.0.1:" + std::to_string(port));
    }
  }
  EventLoop loop;
  HttpClient client([&loop](std::function<void()> function) {
    loop.Post(std::move(function));
  });
  for (const std::string& url : urls) {
    HttpClientRequest request;
    request.method = "POST";
    request.url = url + "/held";
    request.timeout = std::chrono::minutes(1);
    request.max_in_progress = kOrdersPerWorker;
    client.Send(request, [](const Result<HttpResponse>&) {});
  }
  int sent = 0;
  int answered = 0;
  int failed = 0;
  std::function<void()> send;
  send = [&]() {
    HttpClientRequest request;
    request.method = "POST";
    request.url = urls[sent++ % urls.size()] + "/start";
    request.headers["Content-Type"] = "application/json";
    request.headers["X-Expect-Instance"] = "i-1e0aceedac";
    request.body = std::string(400, 'x');
    request.traffic = "worker";
    request.max_in_progress = kOrdersPerWorker;
    client.Send(std::move(request), [&](const Result<HttpResponse>& response) {
      failed += response.ok() ? 0 : 1;
      if (++answered == kOrders) {
        loop.Stop();
      } else if (sent < kOrders) {
        send();
      }
    });
  };
  const double begun = CpuMicroseconds();
  for (int i = 0; i < kOrdersInProgress; ++i) {
    send();
  }
  loop.RunFor(std::chrono::seconds(60));
  BenchResult result;
  result.name = "http.order";
  result.seed = seed;
  result.measured = (CpuMicroseconds() - begun) / kOrders;
  result.baseline = kMaxMicroseconds;
  result.ok =
      answered == kOrders && failed == 0 && result.measured <= kMaxMicroseconds;
  result.unit = "us of processor time an order";
  result.detail = std::to_string(answered) + " answered, " +
                  std::to_string(failed) + " failed, " +
                  std::to_string(kWorkers) + " workers";
  close(stop[1]);
  waitpid(child, nullptr, 0);
  close(ports[0]);
  close(ports[1]);
  return {result};
}

const BenchRegistration kHttpClient("http", RunHttpClientBench);

}  // namespace
}  // namespace daisyroad

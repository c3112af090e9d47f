#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "UnitTests/Transport/listening_socket.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kSilenceTimeout{300};
constexpr Milliseconds kPause{100};
constexpr int kParts = 12;

// Sends a response of kParts bytes, one in kPause, and stays silent after
// `sent_parts` of them.
class SlowServer {
 public:
  explicit SlowServer(int sent_parts) : sent_parts(sent_parts) {
    this->thread = std::thread([this]() { this->Serve(); });
  }
  ~SlowServer() { this->thread.join(); }
  SlowServer(const SlowServer&) = delete;
  SlowServer& operator=(const SlowServer&) = delete;

  std::string url() const { return this->listener.url(); }

 private:
  void Serve() const {
    const int connection = this->listener.Accept();
    char buffer[4096];
    static_cast<void>(read(connection, buffer, sizeof(buffer)));
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kParts) +
        "\r\n\r\n";
    static_cast<void>(write(connection, head.data(), head.size()));
    for (int i = 0; i < this->sent_parts; ++i) {
      std::this_thread::sleep_for(kPause);
      static_cast<void>(write(connection, "x", 1));
    }
    // Returns when the client closes the connection.
    static_cast<void>(read(connection, buffer, sizeof(buffer)));
    close(connection);
  }

  ListeningSocket listener;
  int sent_parts;
  std::thread thread;
};

Result<HttpResponse> Fetch(const SlowServer& server) {
  EventLoop loop;
  HttpClient client(
      [&loop](std::function<void()> function) { loop.Post(function); });
  HttpClientRequest request;
  request.url = server.url();
  request.timeout = Milliseconds(10000);
  request.silence_timeout = kSilenceTimeout;
  Result<HttpResponse> result = Error{Errc::kInternal, "test", "", ""};
  client.Send(request, [&](const Result<HttpResponse>& response) {
    result = response;
    loop.Stop();
  });
  loop.Run();
  return result;
}

// Guards against a large response that is given up while it arrives.
TEST_CASE("A response that keeps arriving is not cut off") {
  SlowServer server(kParts);
  const Result<HttpResponse> response = Fetch(server);
  REQUIRE(response.ok());
  CHECK(response.value().body.size() == kParts);
}

// Guards against a long timeout for large responses that also delays the
// detection of silent connections.
TEST_CASE("A response that stops arriving fails after the silence timeout") {
  SlowServer server(2);
  const MonotonicTime begun = std::chrono::steady_clock::now();
  const Result<HttpResponse> response = Fetch(server);
  const Duration elapsed = std::chrono::steady_clock::now() - begun;
  REQUIRE_FALSE(response.ok());
  CHECK(response.error().code == Errc::kTimeout);
  CHECK(elapsed >= kSilenceTimeout + 2 * kPause);
  CHECK(elapsed < Milliseconds(3000));
}

}  // namespace
}  // namespace daisyroad

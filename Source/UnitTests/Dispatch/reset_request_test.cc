#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "Core/Platform/http_store_client.h"
#include "Core/Platform/http_worker_client.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "UnitTests/Transport/resetting_server.h"

namespace daisyroad {
namespace {

constexpr Milliseconds kTimeout{2000};
constexpr Milliseconds kGiveUpAfter{10000};

// Guards against a start that is taken for refused: the worker began the task,
// reset the connection and was full for the repetition (review/1).
TEST_CASE("A start whose connection is reset may have been received") {
  for (const int status : {409, 412, 429, 503}) {
    CAPTURE(status);
    ResettingServer server(
        status,
        R"({"worker_now_ms":1000,"incarnation":"x","reason":"leaving"})");
    EventLoop loop;
    HttpClient http(
        [&loop](std::function<void()> function) { loop.Post(function); });
    HttpWorkerClient client(&http, "zone", kTimeout);
    std::optional<Result<StartReply>> second;
    StartTask start;
    start.task = TaskId("t1");
    client.Start(server.address(), start, kTimeout,
                 [&](const Result<StartReply>&) {
                   start.task = TaskId("t2");
                   client.Start(server.address(), start, kTimeout,
                                [&](const Result<StartReply>& reply) {
                                  second = reply;
                                  loop.Stop();
                                });
                 });
    loop.RunFor(kGiveUpAfter);
    REQUIRE(second);
    REQUIRE_FALSE(second->ok());
    CHECK(second->error().code != Errc::kUnavailable);
    CHECK(server.requests() == 2);
  }
}

// Guards against a write that is taken for failed: the store carried it out,
// reset the connection and found another version at the repetition (review/2).
TEST_CASE("A write whose connection is reset may have taken effect") {
  ResettingServer server(200, "false");
  EventLoop loop;
  HttpClient http(
      [&loop](std::function<void()> function) { loop.Post(function); });
  HttpStoreClient::Options options;
  options.address = server.address();
  HttpStoreClient client(&http, options);
  std::optional<Result<bool>> second;
  client.CompareAndSwap("a", "1", 0, [&](const Result<bool>&) {
    client.CompareAndSwap("b", "1", 0, [&](const Result<bool>& written) {
      second = written;
      loop.Stop();
    });
  });
  loop.RunFor(kGiveUpAfter);
  REQUIRE(second);
  REQUIRE_FALSE(second->ok());
  CHECK(second->error().code != Errc::kUnavailable);
  CHECK(server.requests() == 2);
}

}  // namespace
}  // namespace daisyroad

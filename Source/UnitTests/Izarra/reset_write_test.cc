#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "Core/Platform/machine_client.h"
#include "Core/Platform/revision_store.h"
#include "Core/Transport/event_loop.h"
#include "Core/Transport/http_client.h"
#include "UnitTests/Transport/resetting_server.h"
#include "platform/http_machine_client.h"
#include "platform/kv_store_client.h"

namespace daisyroad::platform {
namespace {

constexpr Milliseconds kTimeout{2000};
constexpr Milliseconds kGiveUpAfter{10000};

bool SaysNothingWasDone(const Error& error) {
  return error.code == Errc::kUnavailable ||
         error.code == Errc::kResourceExhausted;
}

// Guards against a job that is refused and runs: the store carried out its
// write, reset the connection and refused the repetition (review/2).
TEST_CASE("A write whose connection is reset may have taken effect") {
  for (const int status : {412, 429, 503}) {
    CAPTURE(status);
    ResettingServer server(status, R"({"Revision":7})");
    EventLoop loop;
    HttpClient http(
        [&loop](std::function<void()> function) { loop.Post(function); });
    KvStoreClient client(&http, server.address());
    StoreTransaction transaction;
    transaction.expected.push_back({"key", 0});
    transaction.writes.push_back({"key", "value", 0});
    std::optional<Result<TransactionResult>> second;
    client.Commit(transaction, kTimeout, [&](const Result<TransactionResult>&) {
      client.Commit(transaction, kTimeout,
                    [&](const Result<TransactionResult>& result) {
                      second = result;
                      loop.Stop();
                    });
    });
    loop.RunFor(kGiveUpAfter);
    REQUIRE(second);
    REQUIRE_FALSE(second->ok());
    CHECK_FALSE(SaysNothingWasDone(second->error()));
    CHECK(server.requests() == 2);
  }
}

TEST_CASE("An order for a machine whose connection is reset has no outcome") {
  for (const int status : {400, 409, 429, 503}) {
    CAPTURE(status);
    ResettingServer server(status, R"({"Reason":"busy"})");
    EventLoop loop;
    HttpClient http(
        [&loop](std::function<void()> function) { loop.Post(function); });
    HttpMachineClient client(&http, server.address(), "entry-1");
    std::optional<Result<MachineOrderOutcome>> second;
    client.Upkeep(MachineName("m"), 1, 1,
                  [&](const Result<MachineOrderOutcome>&) {
                    client.Upkeep(MachineName("m"), 1, 2,
                                  [&](const Result<MachineOrderOutcome>& next) {
                                    second = next;
                                    loop.Stop();
                                  });
                  });
    loop.RunFor(kGiveUpAfter);
    REQUIRE(second);
    REQUIRE_FALSE(second->ok());
    CHECK_FALSE(SaysNothingWasDone(second->error()));
    CHECK(server.requests() == 2);
  }
}

}  // namespace
}  // namespace daisyroad::platform

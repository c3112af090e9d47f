#include <catch2/catch.hpp>

#include "Core/Common/error.h"
#include "Core/Common/hash.h"
#include "Core/Common/json.h"
#include "Core/Common/log_decision.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Common/printable.h"

namespace daisyroad {
namespace {

// Guards against error messages without the step or peer.
TEST_CASE("An error names its step and peer") {
  const Error error{Errc::kTimeout, "store.put", "127.0.0.1:8500",
                    "no answer within 500 ms"};
  CHECK(error.ToString() ==
        "store.put at 127.0.0.1:8500: timeout: no answer within 500 ms");
}

// Guards against hashes that differ between builds, which would make instances
// disagree on placement.
TEST_CASE("Hashes have fixed values") {
  CHECK(Sha256Hex("") ==
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
  CHECK(StableHash("daisyroad") == StableHash("daisyroad"));
  CHECK(StableHash("daisyroad", 1) != StableHash("daisyroad", 2));
}

// Guards against texts that a peer or an earlier version reads differently.
TEST_CASE("JSON is written compactly and read back unchanged") {
  Json::Value value;
  value["text"] = "a \"quoted\" \\ path\n\x01 caf\xc3\xa9";
  value["nul"] = Json::Value(std::string("a\0b", 3));
  value["number"] = Json::Int64(-9007199254740993);
  value["large"] = Json::UInt64(18446744073709551615U);
  value["share"] = 0.1;
  value["yes"] = true;
  value["nothing"] = Json::nullValue;
  value["list"].append(1);
  value["list"].append(Json::arrayValue);
  value["empty"] = Json::objectValue;
  const std::string text = WriteJson(value);
  const Result<Json::Value> read = ParseJson(text);
  REQUIRE(read.ok());
  CHECK(read.value() == value);
  CHECK(WriteJson(read.value()) == text);
  CHECK(text.starts_with(R"({"empty":{},"large":18446744073709551615,)"
                         R"("list":[1,[]],"nothing":null,)"));
}

// Guards against a membership change that moves keys between the remaining
// candidates.
TEST_CASE("Rendezvous hashing moves only the keys of a removed candidate") {
  const std::vector<std::string> all = {"a", "b", "c", "d"};
  const std::vector<std::string> without_d = {"a", "b", "c"};
  for (int i = 0; i < 200; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const std::string before = all[RendezvousIndex(key, all)];
    if (before != "d") {
      CHECK(before == without_d[RendezvousIndex(key, without_d)]);
    }
  }
}

// Guards against lenient parsing that accepts malformed JSON or duplicate keys.
TEST_CASE("JSON parsing rejects malformed text") {
  const std::string text =
      GENERATE(as<std::string>{}, "", "{", "{\"a\":1,\"a\":2}", "{} x",
               "{\"a\":1,}", "/* c */ {}", "[1", std::string(200, '['));
  CHECK_FALSE(ParseJson(text).ok());
}

// Guards against log lines that a text from outside breaks or fills.
TEST_CASE("A text from outside is printable and bounded") {
  CHECK(Printable("a b\n\x1b\xff~") == "a b\\x0a\\x1b\\xff~");
  CHECK(Printable(std::string("a\0b", 3)) == "a\\x00b");
  const std::string fitting(kMaxPrintableBytes - 7, 'a');
  CHECK(Printable(fitting) == fitting);
  for (const char c : {'a', '\n'}) {
    const std::string cut = Printable(std::string(100000, c));
    CHECK(cut.size() <= kMaxPrintableBytes);
    CHECK(cut.ends_with("..."));
  }
}

// Guards against parse errors that hide where the text is wrong.
TEST_CASE("A parse error is one line with the position") {
  CHECK(ParseJson("{\n\"a\": x}").error().detail ==
        "* Line 2, Column 6 Syntax error: value, object or array expected.");
}

// Guards against log injection through caller-supplied text.
TEST_CASE("A decision line escapes values") {
  const std::string line =
      LogDecision("route").Field("team", "a\nb").Field("n", 3).line();
  CHECK(line == "decision=route team=\"a\\x0ab\" n=3");
}

// Guards against output that a Prometheus scraper rejects.
TEST_CASE("Metrics render in the text exposition format") {
  MetricsRegistry registry;
  registry.Counter("tasks_total", "team=\"a\"") += 2;
  registry.Gauge("up") = 1;
  CHECK(registry.Render() ==
        "# TYPE tasks_total counter\ntasks_total{team=\"a\"} 2\n"
        "# TYPE up gauge\nup 1\n");
}

}  // namespace
}  // namespace daisyroad

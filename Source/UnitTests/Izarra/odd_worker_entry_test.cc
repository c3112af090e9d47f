// Entries among those of the workers that another writer left.

#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "Core/Common/json.h"
#include "platform/store_codec.h"

namespace daisyroad::platform {
namespace {

using namespace std::string_literals;

constexpr char kKey[] = "servers/i-7f3a91c2";
constexpr int kNestingDepth = 100000;
constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
// Longest line that a pipe accepts as a whole, in bytes.
constexpr std::size_t kMaxLineBytes = 4096;
constexpr std::size_t kMaxKeyBytes = 200;

// An entry as workers write it.
Json::Value GoodEntry() {
  return ParseJson(
             R"({"Service":"huvo11a","Address":"10.128.0.9:8080",)"
             R"("Zone":"izarra-a","Version":"v1","Slots":8,"State":"ready",)"
             R"("ColdLeftMs":0,)"
             R"("Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},)"
             R"("Labels":["a","r1-3"],"ClockMs":482113,"Seq":4,)"
             R"("born":1764923455123})")
      .value();
}

std::string With(const char* field, const Json::Value& value) {
  Json::Value entry = GoodEntry();
  entry[field] = value;
  return WriteJson(entry);
}

// `number` is inserted as text because some numbers have no Json::Value.
std::string WithNumber(const char* field, const std::string& number) {
  Json::Value entry = GoodEntry();
  const bool is_capacity = entry["Capacity"].isMember(field);
  (is_capacity ? entry["Capacity"] : entry)[field] = "NUMBER";
  std::string text = WriteJson(entry);
  const std::string placeholder = "\"NUMBER\"";
  return text.replace(text.find(placeholder), placeholder.size(), number);
}

bool IsWorker(const std::string& value) {
  return StoreCodec().DecodeWorker(kKey, value).ok();
}

std::string Repeated(const std::string& text, int count) {
  std::string result;
  for (int i = 0; i < count; ++i) {
    result += text;
  }
  return result;
}

TEST_CASE("The entry of a worker is decoded with all its fields", "[good]") {
  const Result<WorkerListing> worker =
      StoreCodec().DecodeWorker(kKey, WriteJson(GoodEntry()));
  REQUIRE(worker.ok());
  CHECK(worker.value().name == WorkerName("i-7f3a91c2"));
  CHECK(worker.value().pool == PoolName("huvo11a"));
  CHECK(worker.value().address == "10.128.0.9:8080");
  CHECK(worker.value().zone == ZoneName("izarra-a"));
  CHECK(worker.value().capacity == Resources{16000, 32768, 0});
  CHECK(worker.value().labels == std::vector<std::string>{"a", "r1-3"});
  CHECK(worker.value().rack == RackName("r1-3"));
  CHECK(worker.value().incarnation == 1764923455123);
  CHECK_FALSE(worker.value().is_draining);
}

// Writers omit fields whose value is 0, false or empty.
TEST_CASE("A worker with omitted or largest values is still decoded",
          "[good]") {
  for (const char* const omitted :
       {"Version", "Slots", "ColdLeftMs", "Labels", "ClockMs", "Seq", "born"}) {
    Json::Value entry = GoodEntry();
    entry.removeMember(omitted);
    CAPTURE(omitted);
    CHECK(IsWorker(WriteJson(entry)));
  }
  Json::Value entry = GoodEntry();
  entry["Capacity"].removeMember("Gpu");
  CHECK(IsWorker(WriteJson(entry)));
  entry["Capacity"]["Cpu"] = 0;
  CHECK(IsWorker(WriteJson(entry)));
  CHECK(IsWorker(WithNumber("Cpu", "2147483647")));
  CHECK(IsWorker(WithNumber("Cpu", "16000.0")));
  CHECK(IsWorker(WithNumber("ColdLeftMs", "812.5")));
  CHECK(IsWorker(WithNumber("Seq", std::to_string(kMaxInt64))));
  CHECK(IsWorker(With("Address", "10.128.0.9:1")));
  CHECK(IsWorker(With("Address", "10.128.0.9:65535")));
}

TEST_CASE("An entry nested too deeply ends no process and names no worker",
          "[nested]") {
  const std::string arrays =
      Repeated("[", kNestingDepth) + Repeated("]", kNestingDepth);
  const std::string objects =
      Repeated("{\"a\":", kNestingDepth) + "1" + Repeated("}", kNestingDepth);
  for (const std::string& nested : {arrays, objects}) {
    CHECK_FALSE(IsWorker(nested));
    CHECK_FALSE(IsWorker(WithNumber("Labels", nested)));
    CHECK_FALSE(IsWorker(WithNumber("Cpu", nested)));
    CHECK_FALSE(IsWorker(nested.substr(0, nested.size() / 2)));
    CHECK_FALSE(IsWorker(WithNumber("Extra", nested)));
  }
  CHECK(IsWorker(WriteJson(GoodEntry())));
}

TEST_CASE("A number that no type holds ends no process and names no worker",
          "[number]") {
  const std::string digits = Repeated("9", 400);
  for (const char* const field :
       {"Cpu", "MemMb", "Gpu", "born", "Seq", "ColdLeftMs"}) {
    for (const std::string& number : {std::string("1e400"), "-1e400"s, digits,
                                      "-" + digits, "1e" + digits}) {
      CAPTURE(field, number);
      CHECK_FALSE(IsWorker(WithNumber(field, number)));
    }
  }
}

TEST_CASE("Capacity that cannot be summed or is no whole number is not read",
          "[capacity]") {
  for (const char* const field : {"Cpu", "MemMb", "Gpu"}) {
    for (const char* const number :
         {"1e30", "99999999999999999999", "9223372036854775807",
          "-9223372036854775808", "2147483648", "-1", "0.5", "\"16000\"",
          "true", "null", "[]", "{}"}) {
      CAPTURE(field, number);
      CHECK_FALSE(IsWorker(WithNumber(field, number)));
    }
  }
}

TEST_CASE("Fields of another type or out of range name no worker", "[fields]") {
  for (const char* const number : {"1e30", "99999999999999999999", "-1", "0.5",
                                   "\"7\"", "true", "null", "[]", "{}"}) {
    CAPTURE(number);
    CHECK_FALSE(IsWorker(WithNumber("born", number)));
    CHECK_FALSE(IsWorker(WithNumber("Seq", number)));
    CHECK_FALSE(IsWorker(WithNumber("Slots", number)));
  }
  for (const char* const number :
       {"1e30", "99999999999999999999", "9223372036854775808", "-1", "\"7\"",
        "true", "null", "[]", "{}"}) {
    CAPTURE(number);
    CHECK_FALSE(IsWorker(WithNumber("ColdLeftMs", number)));
  }
  for (const char* const labels :
       {"7", "\"a\"", "{\"a\":\"b\"}", "true", "null", "[7]",
        "[\"a\",7,\"r1-3\"]", "[\"a\",[\"r1-3\"]]"}) {
    CAPTURE(labels);
    CHECK_FALSE(IsWorker(WithNumber("Labels", labels)));
  }
  CHECK_FALSE(IsWorker(WithNumber("Version", "7")));
  for (const char* const field :
       {"Service", "Address", "Zone", "State", "Capacity"}) {
    for (const char* const value : {"7", "true", "null", "[]", "[{}]"}) {
      CAPTURE(field, value);
      CHECK_FALSE(IsWorker(WithNumber(field, value)));
    }
  }
  for (const char* const state : {"", "odd", "READY", "ready "}) {
    CAPTURE(state);
    CHECK_FALSE(IsWorker(With("State", state)));
  }
}

TEST_CASE("An entry whose address cannot be called names no worker",
          "[address]") {
  for (const char* const address : {"",
                                    ":",
                                    ":8080",
                                    "10.128.0.9",
                                    "10.128.0.9:",
                                    "10.128.0.9:0",
                                    "10.128.0.9:65536",
                                    "10.128.0.9:99999",
                                    "10.128.0.9:-1",
                                    "10.128.0.9:+80",
                                    "10.128.0.9:http",
                                    "10.128.0.9:80x",
                                    "10.128.0.9:0x50",
                                    "10.128.0.9:99999999999999999999",
                                    "10.128.0.9:80:80",
                                    "10.128.0.9::80",
                                    "10.128.0.9 :80",
                                    "10.128.0.9: 80",
                                    " 10.128.0.9:80",
                                    "10.128.0.9:80 ",
                                    "10.128.0.9:80\n",
                                    "10.128.0.9\n:80",
                                    "10.128.0.9:80\r\nX-Odd: 1",
                                    "10.128.0.9:80/odd",
                                    "10.128.0.9:80?odd",
                                    "10.128.0.9:80#odd",
                                    "user@10.128.0.9:80",
                                    "http://10.128.0.9:80",
                                    "10.128.0.9/:80",
                                    "10.128.0:80",
                                    "10.128.0.256:80",
                                    "10.128.0.9.1:80",
                                    "localhost:80",
                                    "worker.example:80",
                                    "[::1]:80",
                                    "::1:80",
                                    "\xff\xfe:80"}) {
    CAPTURE(address);
    CHECK_FALSE(IsWorker(With("Address", address)));
  }
  CHECK_FALSE(IsWorker(With("Address", std::string("10.128.0.9\0:80", 14))));
  CHECK_FALSE(IsWorker(With("Address", std::string("10.128.0.9:80\0", 14))));
}

TEST_CASE("A key that cannot be sent as a header names no worker", "[id]") {
  const std::string value = WriteJson(GoodEntry());
  StoreCodec codec;
  for (const std::string& id :
       {std::string(), std::string(" "), "i-1 "s, "a b"s, "a\nb"s,
        "a\r\nX-Odd: 1"s, "a\tb"s, std::string("a\0b", 3), "a\x7f"s, "\x01"s,
        "\xff\xfe"s, "\xc3\xa4"s, std::string(kMaxKeyBytes, 'a')}) {
    CAPTURE(id);
    CHECK_FALSE(codec.DecodeWorker("servers/" + id, value).ok());
  }
  for (const char* const key : {"", "s", "servers", "other/i-1"}) {
    CAPTURE(key);
    CHECK_FALSE(codec.DecodeWorker(key, value).ok());
  }
  CHECK(codec.DecodeWorker("servers/i-7f3a91c2.x_y:1", value).ok());
}

TEST_CASE("The error of an odd entry fits in one line of the log", "[error]") {
  const std::string digits = Repeated("9", 100000);
  const std::string list = "[" + Repeated(digits + ",", 2) + "0]";
  StoreCodec codec;
  for (const std::string& value :
       {std::string("\xff\xfe\n\x1b[2J"), "{\"Cpu\":\"\n\"}"s, digits, list,
        "{\"a\":\n\n1e400}"s, Repeated("[", kNestingDepth)}) {
    for (const std::string& key :
         {std::string(kKey), "servers/a\nb\x1b[2J"s,
          "servers/" + std::string(100000, 'a'), "servers/\xff"s}) {
      const Result<WorkerListing> worker = codec.DecodeWorker(key, value);
      REQUIRE_FALSE(worker.ok());
      const std::string text = worker.error().ToString();
      CHECK(text.size() < kMaxLineBytes / 2);
      for (const char c : text) {
        REQUIRE((c >= ' ' && c <= '~'));
      }
    }
  }
}

}  // namespace
}  // namespace daisyroad::platform
